package rattankey

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A Freshness tracks how old a daemon's knowledge of withdrawals is. Elapsed
// time is that of rattanclock.Elapsed, so knowledge ages while a VM is suspended.
type Freshness struct {
	clock rattanclock.Clock

	mu sync.Mutex
	// asOf is the latest time up to which knowledge is complete by contact with
	// the platform or with a fresh peer.
	asOf  time.Time
	known bool
	// domains has the latest contact with a daemon of each failure domain.
	domains map[string]time.Time
}

// NewFreshness returns a Freshness that has heard nothing yet.
func NewFreshness(clock rattanclock.Clock) *Freshness {
	return &Freshness{clock: clock, domains: make(map[string]time.Time)}
}

// ObservePlatform notes that every withdrawal stored before asOf is known. asOf is when
// the query was sent, not when it was answered.
func (f *Freshness) ObservePlatform(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(asOf)
}

// ObservePeer notes an answer of a daemon with which knowledge was exchanged. sent is
// when the question was sent. age is the age of the peer's own knowledge when it
// answered; the result counts from before the question, so it is never too low.
func (f *Freshness) ObservePeer(failureDomain string, sent time.Time, age time.Duration, ageKnown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ageKnown && age >= 0 {
		f.advance(sent.Add(-age))
	}
	if last, found := f.domains[failureDomain]; !found || rattanclock.Elapsed(last, sent) > 0 {
		f.domains[failureDomain] = sent
	}
}

func (f *Freshness) advance(asOf time.Time) {
	if !f.known || rattanclock.Elapsed(f.asOf, asOf) > 0 {
		f.asOf, f.known = asOf, true
	}
}

// Age returns the age of the knowledge by the platform and fresh peers alone,
// which is what the daemon tells its peers. A majority of failure domains is
// left out of it: two daemons that count on each other's majority would stay
// fresh without end.
func (f *Freshness) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

func (f *Freshness) age() (time.Duration, bool) {
	if !f.known {
		return 0, false
	}
	return max(0, rattanclock.Elapsed(f.asOf, f.clock.Now())), true
}

// Check returns nil while the knowledge is at most limit old, or while daemons
// of a majority of failureDomains were heard within limit. own is the daemon's
// own failure domain and counts as heard. Otherwise it returns a *NotFreshError.
func (f *Freshness) Check(limit time.Duration, own string, failureDomains []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.age()
	if known && age <= limit {
		return nil
	}
	now := f.clock.Now()
	heard := 0
	for _, domain := range failureDomains {
		last, found := f.domains[domain]
		if domain == own || found && rattanclock.Elapsed(last, now) <= limit {
			heard++
		}
	}
	if heard > len(failureDomains)/2 {
		return nil
	}
	return &NotFreshError{Age: age, IsKnown: known, Limit: limit}
}
