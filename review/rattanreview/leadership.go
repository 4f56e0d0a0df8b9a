package main

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// recovery is recovery_s of the deployment.
	recovery = 12 * time.Second
	// downTime is how long the daemons are down after the final fault.
	downTime = 1200 * time.Millisecond
	// restartDelay is after which time a killed process is started again.
	restartDelay = 500 * time.Millisecond
	// leaderTime is how long after the restart of all a new leader writes to the store.
	leaderTime = 5 * time.Second
	// observed is how long requests are counted, before the final fault and at the end.
	observed = 4 * time.Second
	// loadClients is the number of clients, each with a request every loadPause.
	loadClients = 18
	loadPause   = 100 * time.Millisecond
)

// routeTypes are the databases of each service.
var routeTypes = []string{"primary", "bounded_staleness", "read_your_writes"}

// runLeadership kills all daemons after a change of the configuration, then the one that
// last wrote to the store under a condition. The store does the next such write and its
// answer is lost. After that the primaries crash. Rule RECOVER: a quarter of the requests
// is served once recovery has passed. TROUBLE=0 leaves out the loss of that one answer.
func runLeadership(record *rattanrig.Record, isTroubled bool) (bool, error) {
	s, err := newSite(record, []rattanrig.ServiceOptions{serviceOptions("s1"), serviceOptions("s2"), serviceOptions("s3")}, []string{"a", "a", "b", "b", "c", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	writer := &conditionalWriter{}
	s.platform.LoseAnswers(writer.loses)
	load := newLoad(s)
	defer load.stop()
	time.Sleep(observed)
	before := load.share(time.Now().Add(-observed), time.Now())
	if err := s.restartAll(); err != nil {
		return false, err
	}
	time.Sleep(leaderTime)
	leader := writer.daemon(s)
	if leader == nil {
		return false, errors.New("no daemon has written to the store under a condition")
	}
	writer.loseNext(isTroubled)
	if err := leader.Signal(syscall.SIGKILL); err != nil {
		return false, err
	}
	leader.Wait()
	time.Sleep(restartDelay)
	if err := leader.Start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for _, service := range s.services {
		primary := service.Primary()
		record.Say("%s crashes", primary.ID())
		primary.Crash()
	}
	time.Sleep(recovery)
	counted := time.Now()
	time.Sleep(observed)
	after := load.share(counted, time.Now())
	record.Say("served before the final fault: %.3f; later than recovery after it: %.3f", before, after)
	const least = 0.25
	return before >= least && after < least, nil
}

// restartAll kills all daemons right after a change of the configuration was acknowledged,
// and starts them again.
func (s *site) restartAll() error {
	if err := s.platform.Configure(); err != nil {
		return err
	}
	for _, d := range s.fleet.Daemons() {
		if err := d.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	for _, d := range s.fleet.Daemons() {
		d.Wait()
		if err := d.Start(); err != nil {
			return err
		}
	}
	if !s.fleet.AwaitReady(readyLimit) {
		return errors.New("the daemons are not ready in time after their restart")
	}
	return nil
}

// A conditionalWriter follows the writes to the store under a condition.
type conditionalWriter struct {
	mu sync.Mutex
	// last is the newest such call.
	last rattanrig.Call
	// isLosing is true until the answer to the next such call is lost.
	isLosing bool
}

// loses reports whether the answer to a call is lost.
func (w *conditionalWriter) loses(call rattanrig.Call) bool {
	if !call.IsDone || !rattanrig.HasCondition(call.Body) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = call
	isLost := w.isLosing
	w.isLosing = false
	return isLost
}

func (w *conditionalWriter) loseNext(isLosing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLosing = isLosing
}

// daemon returns the daemon that made the newest write under a condition, nil if it is not
// known.
func (w *conditionalWriter) daemon(s *site) *rattanrig.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, value := range rattanrig.WrittenValues(w.last.Body) {
		for _, d := range s.fleet.Daemons() {
			if strings.Contains(value, d.Name) {
				return d
			}
		}
	}
	return nil
}

// A load is a steady flow of requests to all daemons and databases.
type load struct {
	site    *site
	done    chan struct{}
	clients sync.WaitGroup

	mu      sync.Mutex
	answers []rattanrig.Answer
}

func newLoad(s *site) *load {
	l := &load{site: s, done: make(chan struct{})}
	for i := range loadClients {
		l.clients.Go(func() { l.run(i) })
	}
	return l
}

// run sends one request after the other on a session, and reconnects to the next daemon
// after a failure.
func (l *load) run(client int) {
	databases := len(l.site.services) * len(routeTypes)
	service := l.site.services[client%len(l.site.services)]
	database := service.Name() + "-" + routeTypes[client%databases/len(l.site.services)]
	daemons := l.site.fleet.Daemons()
	for next := client; ; next++ {
		session, err := rattanrig.Connect(daemons[next%len(daemons)], database, l.site.record)
		if err != nil {
			l.add(rattanrig.Answer{Sent: time.Now(), Err: err})
		}
		for err == nil && l.pause() {
			answer := session.Query("READ i1", 2*time.Second)
			l.add(answer)
			if !answer.IsOK() {
				break
			}
		}
		if session != nil {
			session.Close()
		}
		if !l.pause() {
			return
		}
	}
}

// pause waits between two requests. It returns false at the end of the load.
func (l *load) pause() bool {
	select {
	case <-l.done:
		return false
	case <-time.After(loadPause):
		return true
	}
}

func (l *load) add(answer rattanrig.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

// share returns the share of the requests sent between two times that were served.
func (l *load) share(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := 0, 0
	for _, a := range l.answers {
		if a.Sent.Before(from) || a.Sent.After(to) {
			continue
		}
		sent++
		if a.IsOK() {
			served++
		}
	}
	l.site.record.Say("%d of %d requests served", served, sent)
	return float64(served) / float64(max(sent, 1))
}

func (l *load) stop() {
	close(l.done)
	l.clients.Wait()
}
