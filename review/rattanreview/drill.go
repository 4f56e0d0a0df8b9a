package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// drillWriters is the number of sessions that write, one statement after the other.
	drillWriters = 12
	// promoteLimit is how long another instance may take to be promoted.
	promoteLimit = 5 * time.Second
	// ledTime is how long the new primary leads before the daemons are killed.
	ledTime = 1500 * time.Millisecond
	// awayTime is how long the store is away, and the daemons are down a little longer.
	awayTime = time.Second
	// cutAfterRestart is how long the cut lasts after the start of the daemons.
	cutAfterRestart = 700 * time.Millisecond
	// watched is how long the clients go on after the cut.
	watched = 6 * time.Second
	// thaw is thaw_ms of the deployment.
	thaw = 300 * time.Millisecond
)

// runDrill cuts off the zone of a primary, so that another instance is promoted. Then all
// daemons are killed while the store is away, and it comes back from a copy of the time
// before the cut. Rule ONE: no write is committed at the old primary and acknowledged after
// the promote has taken effect. TROUBLE=0 lets the store keep what it has acknowledged.
func runDrill(record *rattanrig.Record, isTroubled bool) (bool, error) {
	s, err := newSite(record, []rattanrig.ServiceOptions{serviceOptions("s1")}, []string{"b", "b", "b", "c", "c", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	service := s.services[0]
	primary := service.Primary()
	away, back := s.platform.Drill()
	writers := newWriters(s, service.Name()+"-primary", drillWriters)
	time.Sleep(time.Second)
	record.Say("the zone of %s is cut off", primary.ID())
	if err := primary.SetCut(true); err != nil {
		return false, err
	}
	promoted, err := awaitPromotion(service)
	if err != nil {
		return false, err
	}
	time.Sleep(ledTime)
	if !isTroubled {
		away, back = func() {}, func() error { return nil }
	}
	if err := s.killAllDuring(away, back); err != nil {
		return false, err
	}
	time.Sleep(cutAfterRestart)
	if err := primary.SetCut(false); err != nil {
		return false, err
	}
	healed := time.Now()
	record.Say("the cut of %s ends", primary.ID())
	time.Sleep(watched)
	return writesAtOldPrimary(s, service, writers.stop(), promoted, healed), nil
}

// awaitPromotion waits until an instance has been promoted.
func awaitPromotion(service *rattanrig.Service) (rattanrig.Promotion, error) {
	for deadline := time.Now().Add(promoteLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if promotions := service.Promotions(); len(promotions) > 0 {
			return promotions[0], nil
		}
	}
	return rattanrig.Promotion{}, errors.New("no instance was promoted in time")
}

// killAllDuring kills all daemons while the store is away and starts them once it is back.
func (s *site) killAllDuring(away func(), back func() error) error {
	away()
	for _, d := range s.fleet.Daemons() {
		if err := d.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(awayTime)
	if err := back(); err != nil {
		return err
	}
	time.Sleep(downTime - awayTime)
	for _, d := range s.fleet.Daemons() {
		d.Wait()
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// writesAtOldPrimary reports whether writes were acknowledged that ran at a primary whose
// term a promote had ended. Those within thaw after the end of the cut do not count.
func writesAtOldPrimary(s *site, service *rattanrig.Service, answers []rattanrig.Answer, promoted rattanrig.Promotion, healed time.Time) bool {
	runs := service.Runs()
	count, acknowledged := 0, 0
	for _, a := range answers {
		run, isRun := runs[a.ID]
		if !a.IsOK() || !isRun {
			continue
		}
		acknowledged++
		if !run.IsOld || run.At.Sub(healed) < thaw {
			continue
		}
		count++
		s.record.Line("old primary: %s (%s) ran at %s %.3f s after %s was promoted and %.3f s after the cut, acknowledged with %s",
			a.ID, a.Text, run.Instance, run.At.Sub(promoted.At).Seconds(), promoted.Instance, run.At.Sub(healed).Seconds(), a.MAC)
	}
	s.record.Say("%d writes acknowledged, %d of them committed at the old primary after %s was promoted", acknowledged, count, promoted.Instance)
	return count > 0
}

// writers are clients that write, one statement after the other.
type writers struct {
	mu      sync.Mutex
	answers []rattanrig.Answer
	end     chan struct{}
	clients sync.WaitGroup
}

func newWriters(s *site, database string, sessions int) *writers {
	w := &writers{end: make(chan struct{})}
	daemons := s.fleet.Daemons()
	for i := range sessions {
		w.clients.Go(func() {
			for next := i; w.isRunning(); next++ {
				seen := writeUntil(daemons[next%len(daemons)], database, s.record, time.Now().Add(time.Second))
				w.mu.Lock()
				w.answers = append(w.answers, seen...)
				w.mu.Unlock()
			}
		})
	}
	return w
}

func (w *writers) isRunning() bool {
	select {
	case <-w.end:
		return false
	default:
		return true
	}
}

// stop ends the clients and returns what they saw.
func (w *writers) stop() []rattanrig.Answer {
	close(w.end)
	w.clients.Wait()
	return w.answers
}
