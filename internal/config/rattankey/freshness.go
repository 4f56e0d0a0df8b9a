package rattankey

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A Freshness tracks the age of a daemon's list of withdrawn keys. It measures
// time with rattanclock.Elapsed, so the list also ages while a VM is suspended.
type Freshness struct {
	clock rattanclock.Clock

	mu sync.Mutex
	// asOf is the latest time for which the list is known to be complete, from a
	// query to the platform or an exchange with a peer whose list has a known age.
	// It is not set while known is false.
	asOf  time.Time
	known bool
	// domains holds, for each failure domain, when the query was sent of the latest
	// exchange with one of its daemons.
	domains map[string]time.Time
}

// NewFreshness returns a Freshness without any observation; the age is unknown.
func NewFreshness(clock rattanclock.Clock) *Freshness {
	return &Freshness{clock: clock, domains: make(map[string]time.Time)}
}

// ObservePlatform records that the list holds every withdrawal stored before asOf.
// asOf is when the query was sent, not when the response arrived.
func (f *Freshness) ObservePlatform(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(asOf)
}

// ObservePeer records an exchange of withdrawals with a daemon of failureDomain.
// sent is when the query was sent. age is the age of the peer's own list when it
// responded. It is counted back from sent, which is earlier than the response, so
// that the resulting age is never too low.
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

// Age returns the age of the list, and false while it is unknown. The daemon sends
// this age to its peers. It rests on the platform and on the ages that peers report
// and leaves out exchanges with a majority of failure domains: two daemons that
// relied on each other's majority would stay fresh forever.
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

// Check returns nil while the list is at most limit old, or while there was an
// exchange within limit with daemons of a majority of failureDomains. own is the
// daemon's own failure domain and always counts. Otherwise Check returns a
// *NotFreshError.
func (f *Freshness) Check(limit time.Duration, own string, failureDomains []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.age()
	if known && age <= limit {
		return nil
	}
	now := f.clock.Now()
	recent := 0
	for _, domain := range failureDomains {
		last, found := f.domains[domain]
		if domain == own || found && rattanclock.Elapsed(last, now) <= limit {
			recent++
		}
	}
	if recent > len(failureDomains)/2 {
		return nil
	}
	return &NotFreshError{Age: age, IsKnown: known, Limit: limit}
}
