package rattanfailover

import (
	"cmp"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A Detector decides on one daemon when the primary of one group must be replaced.
// It is safe for concurrent use.
type Detector struct {
	group string
	self  Daemon
	clock rattanclock.Clock

	mu       sync.Mutex
	domains  []string
	monitors []Daemon
	// term is the term whose primary is monitored; probe results and suspicions of
	// other terms are ignored.
	term     uint64
	misses   int
	lastMiss time.Time
	sequence uint64
	// suspicions has the latest suspicion of every monitor, including this daemon.
	suspicions    map[string]receivedSuspicion
	lastHeartbeat map[string]time.Time
	// majoritySince is when a majority of the failure domains began to suspect the
	// primary; zero while there is no such majority.
	majoritySince time.Time
}

type receivedSuspicion struct {
	Suspicion
	received time.Time
}

// A Decision says whether to start a failover now, and of which term.
type Decision struct {
	Failover bool
	Term     uint64
}

// NewDetector returns the Detector of a daemon for a group.
func NewDetector(group string, self Daemon, clock rattanclock.Clock) *Detector {
	return &Detector{group: group, self: self, clock: clock, suspicions: map[string]receivedSuspicion{}, lastHeartbeat: map[string]time.Time{}}
}

// SetMonitors sets the failure domains that host the group's endpoints and the
// monitors in them.
func (d *Detector) SetMonitors(domains []string, monitors []Daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domains, d.monitors = domains, monitors
}

// SetTerm starts monitoring the primary of a higher term. A lower or equal term
// changes nothing.
func (d *Detector) SetTerm(term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term <= d.term {
		return
	}
	d.term = term
	d.misses = 0
	d.majoritySince = time.Time{}
}

// ObserveProbe records the result of a probe or of a caller's request: whether
// the primary of the term worked. Failures less than half a probe interval apart
// count as one miss, because they have the same cause.
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

// OwnSuspicion returns the daemon's own suspicion, to be published to the other
// daemons. The second result is false when there is nothing to publish: the
// primary is not suspected and was not before, or the same suspicion was published
// within suspicionRenewInterval.
func (d *Detector) OwnSuspicion() (Suspicion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.suspicions[d.self.Name]
	suspected := d.misses >= missesToSuspect
	if !suspected && !previous.Suspected {
		return Suspicion{}, false
	}
	same := suspected == previous.Suspected && d.term == previous.Term
	if same && d.clock.Now().Sub(previous.received) < suspicionRenewInterval {
		return Suspicion{}, false
	}
	d.sequence++
	own := Suspicion{Group: d.group, Monitor: d.self, Sequence: d.sequence, Term: d.term, Suspected: suspected}
	d.suspicions[d.self.Name] = receivedSuspicion{own, d.clock.Now()}
	return own, true
}

// Suspects reports whether this daemon suspects the primary.
func (d *Detector) Suspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses >= missesToSuspect
}

// ranksFirst reports whether this daemon has rank 0 among the live monitors.
func (d *Detector) ranksFirst() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Rank(d.group, d.term, d.liveMonitors(d.clock.Now()), d.self.Name) == 0
}

// ObserveSuspicion records the suspicion of another monitor, unless a later one of
// that monitor is known.
func (d *Detector) ObserveSuspicion(s Suspicion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Group != d.group || s.Monitor.Name == d.self.Name {
		return
	}
	known := d.suspicions[s.Monitor.Name]
	newer := cmp.Or(cmp.Compare(s.Monitor.Incarnation, known.Monitor.Incarnation), cmp.Compare(s.Sequence, known.Sequence))
	if newer > 0 {
		d.suspicions[s.Monitor.Name] = receivedSuspicion{s, d.clock.Now()}
	}
}

// ObserveHeartbeat records that a heartbeat of another daemon was seen.
func (d *Detector) ObserveHeartbeat(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeartbeat[daemon] = d.clock.Now()
}

// Decide returns whether this daemon should start a failover now. This is so when
// a majority of the failure domains suspects the primary and has done so for the
// stagger delay of the daemon's rank, which lets monitors of lower rank try first.
func (d *Detector) Decide() Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.majoritySuspects(now) {
		d.majoritySince = time.Time{}
		return Decision{}
	}
	if d.majoritySince.IsZero() {
		d.majoritySince = now
	}
	rank := Rank(d.group, d.term, d.liveMonitors(now), d.self.Name)
	if rank < 0 || now.Sub(d.majoritySince) < time.Duration(rank)*rankDelay {
		return Decision{}
	}
	return Decision{Failover: true, Term: d.term}
}

// majoritySuspects reports whether a majority of the failure domains suspects the
// primary. A failure domain suspects it when most of its live monitors do. One
// without live monitors does not suspect it, but counts towards the total.
func (d *Detector) majoritySuspects(now time.Time) bool {
	votes := 0
	for _, domain := range d.domains {
		live, suspecting := 0, 0
		for _, monitor := range d.liveMonitors(now) {
			if monitor.FailureDomain != domain {
				continue
			}
			live++
			if d.suspects(monitor.Name, now) {
				suspecting++
			}
		}
		if suspecting*2 > live {
			votes++
		}
	}
	return votes*2 > len(d.domains)
}

func (d *Detector) suspects(monitor string, now time.Time) bool {
	known := d.suspicions[monitor]
	return known.Suspected && known.Term == d.term && now.Sub(known.received) < suspicionTTL
}

// liveMonitors returns the monitors with a heartbeat within heartbeatTimeout. This
// daemon is included if it is a monitor.
func (d *Detector) liveMonitors(now time.Time) []Daemon {
	var live []Daemon
	for _, monitor := range d.monitors {
		last, ok := d.lastHeartbeat[monitor.Name]
		if monitor.Name == d.self.Name || ok && now.Sub(last) < heartbeatTimeout {
			live = append(live, monitor)
		}
	}
	return live
}
