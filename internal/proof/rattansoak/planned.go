package rattansoak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// leavingLimit is the daemons' limit for new statements at an endpoint that goes
	// out of service. leavingBound is when none may arrive any more, which leaves time
	// for a statement that a slow machine has delayed.
	leavingLimit = 2 * time.Second
	leavingBound = 3 * time.Second
	// plannedGap is the longest pause between two planned works, plannedTime the
	// shortest duration of one and plannedSpread what is added at most.
	plannedGap    = 1500 * time.Millisecond
	plannedTime   = 1 * time.Second
	plannedSpread = 5 * time.Second
	// suspensionSlack is how long after it was resumed a daemon may still send what it
	// was about to send.
	suspensionSlack = 1 * time.Second
)

// An interval is a time span; end is zero while it lasts.
type interval struct {
	start, end time.Time
}

func (i interval) contains(t time.Time) bool {
	return !t.Before(i.start) && (i.end.IsZero() || t.Before(i.end.Add(suspensionSlack)))
}

// recordSuspension records that a daemon is suspended until the returned function is
// called.
func (f *Fleet) recordSuspension() (resumed func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := len(f.suspended)
	f.suspended = append(f.suspended, interval{start: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.suspended[at].end = time.Now()
	}
}

// wasSuspended reports whether a daemon was suspended at a time, or shortly before.
func (f *Fleet) wasSuspended(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.suspended, func(i interval) bool { return i.contains(t) })
}

// plan takes endpoints out of service and back, one work after another, while faults
// are injected.
func (r *run) plan(random *rand.Rand, duration time.Duration) error {
	for begun := time.Now(); time.Since(begun) < duration; {
		time.Sleep(time.Duration(random.Int64N(int64(plannedGap))))
		ids := []string{r.fleet.randomEndpoint(random)}
		if random.IntN(2) == 0 {
			ids = slices.Sorted(maps.Keys(domains))
		}
		leave, name := r.fleet.drain, "drain"
		if random.IntN(2) == 0 {
			leave, name = r.fleet.evacuate, "evacuate"
		}
		lasts := plannedTime + time.Duration(random.Int64N(int64(plannedSpread)))
		r.mu.Lock()
		r.result.Planned = append(r.result.Planned, fmt.Sprintf("%s %v for %s", name, ids, lasts.Round(time.Millisecond)))
		r.mu.Unlock()
		if err := leave(ids, true); err != nil {
			return errors.Wrap(err, name)
		}
		time.Sleep(lasts)
		if err := leave(ids, false); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// drain makes endpoints drain, or start again under their ids.
func (f *Fleet) drain(ids []string, isLeaving bool) error {
	f.mu.Lock()
	for _, id := range ids {
		f.draining[id] = isLeaving
		if !isLeaving {
			f.endpoints[id].CloseToNew(time.Time{})
			f.starts[id]++
		}
	}
	f.mu.Unlock()
	if err := f.register(); err != nil || !isLeaving {
		return err
	}
	f.closeToNew(ids)
	return nil
}

// evacuate takes the failure domains of endpoints out of service, or back.
func (f *Fleet) evacuate(ids []string, isLeaving bool) error {
	for _, id := range ids {
		if !isLeaving {
			f.endpoints[id].CloseToNew(time.Time{})
		}
		if err := f.setEvacuated(domains[id], isLeaving); err != nil {
			return err
		}
	}
	if isLeaving {
		f.closeToNew(ids)
	}
	return nil
}

func (f *Fleet) setEvacuated(domain string, isEvacuated bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[domain] = isEvacuated
	return f.writeEvacuation(domain)
}

// writeEvacuation writes or removes the evacuation of a failure domain as it should be.
// The caller holds f.mu.
func (f *Fleet) writeEvacuation(domain string) error {
	key := platformtest.EvacuationKey(domain)
	if !f.evacuated[domain] {
		f.store.Delete(key)
		return nil
	}
	return f.store.Put(key, map[string]any{})
}

func (f *Fleet) closeToNew(ids []string) {
	for _, id := range ids {
		f.endpoints[id].CloseToNew(time.Now().Add(leavingBound))
	}
}

// checkLateStatements reports new statements that reached an endpoint too long after it
// went out of service, unless a daemon was suspended: it may then send what it had
// decided to send before.
func (r *run) checkLateStatements() {
	for id, endpoint := range r.fleet.endpoints {
		for _, at := range endpoint.Late() {
			if !r.fleet.wasSuspended(at) {
				r.reportViolation("a new statement reached %s at %s, over %s after it went out of service", id, at.Format(time.StampMilli), leavingBound)
			}
		}
	}
}
