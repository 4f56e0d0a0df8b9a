package rattanfailover

import (
	"cmp"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A Detector decides for one monitor of one group when to replace the primary.
// It is safe for concurrent use.
type Detector struct {
	group string
	self  Daemon
	clock rattanclock.Clock

	mu       sync.Mutex
	domains  []string
	monitors []Daemon
	// term is the term whose primary is judged; evidence of lower terms is ignored.
	term     uint64
	misses   int
	lastMiss time.Time
	sequence uint64
	// opinions has the newest opinion of every monitor, the own one included.
	opinions map[string]opinion
	heard    map[string]time.Time
	// agreedSince is when a majority of the failure domains began to suspect;
	// zero while none does.
	agreedSince time.Time
}

type opinion struct {
	Suspicion
	received time.Time
}

// A Decision says whether to start a failover of Term now.
type Decision struct {
	Failover bool
	Term     uint64
}

// NewDetector returns the Detector of a daemon for a group.
func NewDetector(group string, self Daemon, clock rattanclock.Clock) *Detector {
	return &Detector{group: group, self: self, clock: clock, opinions: map[string]opinion{}, heard: map[string]time.Time{}}
}

// SetMonitors sets the failure domains that host the group's endpoints and the
// monitors in them.
func (d *Detector) SetMonitors(domains []string, monitors []Daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domains, d.monitors = domains, monitors
}

// SetTerm starts the judgement of a higher term's primary. A lower or equal term
// changes nothing.
func (d *Detector) SetTerm(term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term <= d.term {
		return
	}
	d.term = term
	d.misses = 0
	d.agreedSince = time.Time{}
}

// ObserveProbe takes in the result of a probe or of live traffic: whether the
// primary of term worked. Failures that arrive closer together than half a
// probe interval count once, because they have one cause.
func (d *Detector) ObserveProbe(term uint64, worked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch {
	case term != d.term:
	case worked:
		d.misses = 0
	case d.misses == 0 || now.Sub(d.lastMiss) >= ProbeInterval/2:
		d.misses++
		d.lastMiss = now
	}
}

// OwnSuspicion returns the daemon's own opinion, to be spread. The second result is
// false when it is not news: no suspicion now and none before, or the same one
// within the renewal time.
func (d *Detector) OwnSuspicion() (Suspicion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.opinions[d.self.Name]
	suspected := d.misses >= missesToSuspect
	if !suspected && !previous.Suspected {
		return Suspicion{}, false
	}
	same := suspected == previous.Suspected && d.term == previous.Term
	if same && d.clock.Now().Sub(previous.received) < suspicionRenewal {
		return Suspicion{}, false
	}
	d.sequence++
	own := Suspicion{Group: d.group, Monitor: d.self, Sequence: d.sequence, Term: d.term, Suspected: suspected}
	d.opinions[d.self.Name] = opinion{own, d.clock.Now()}
	return own, true
}

// Suspects reports whether the daemon itself suspects the primary.
func (d *Detector) Suspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses >= missesToSuspect
}

// first reports whether the daemon has the lowest rank of the monitors.
func (d *Detector) first() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Rank(d.group, d.term, d.present(d.clock.Now()), d.self.Name) == 0
}

// ObserveSuspicion takes in the opinion of another monitor. An older one is ignored.
func (d *Detector) ObserveSuspicion(s Suspicion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Group != d.group || s.Monitor.Name == d.self.Name {
		return
	}
	known := d.opinions[s.Monitor.Name]
	newer := cmp.Or(cmp.Compare(s.Monitor.Incarnation, known.Monitor.Incarnation), cmp.Compare(s.Sequence, known.Sequence))
	if newer > 0 {
		d.opinions[s.Monitor.Name] = opinion{s, d.clock.Now()}
	}
}

// ObserveHeartbeat records a sign of life of another daemon.
func (d *Detector) ObserveHeartbeat(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[daemon] = d.clock.Now()
}

// Decide returns whether this daemon should start a failover now: a majority of
// the failure domains suspects the primary, and the monitors of lower rank had
// their time.
func (d *Detector) Decide() Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.agreed(now) {
		d.agreedSince = time.Time{}
		return Decision{}
	}
	if d.agreedSince.IsZero() {
		d.agreedSince = now
	}
	rank := Rank(d.group, d.term, d.present(now), d.self.Name)
	if rank < 0 || now.Sub(d.agreedSince) < time.Duration(rank)*rankDelay {
		return Decision{}
	}
	return Decision{Failover: true, Term: d.term}
}

// agreed reports whether a majority of the failure domains suspects the primary.
// The vote of a failure domain is the majority of its monitors that were heard
// from; one without any has no vote but counts.
func (d *Detector) agreed(now time.Time) bool {
	votes := 0
	for _, domain := range d.domains {
		present, suspecting := 0, 0
		for _, monitor := range d.present(now) {
			if monitor.FailureDomain != domain {
				continue
			}
			present++
			if d.suspects(monitor.Name, now) {
				suspecting++
			}
		}
		if suspecting*2 > present {
			votes++
		}
	}
	return votes*2 > len(d.domains)
}

func (d *Detector) suspects(monitor string, now time.Time) bool {
	known := d.opinions[monitor]
	return known.Suspected && known.Term == d.term && now.Sub(known.received) < suspicionLife
}

// present returns the monitors that were heard from lately, and the daemon itself.
func (d *Detector) present(now time.Time) []Daemon {
	var present []Daemon
	for _, monitor := range d.monitors {
		heard, ok := d.heard[monitor.Name]
		if monitor.Name == d.self.Name || ok && now.Sub(heard) < heardWithin {
			present = append(present, monitor)
		}
	}
	return present
}
