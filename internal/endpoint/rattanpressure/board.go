// Package rattanpressure keeps the newest load report of each endpoint, for daemons that
// send an endpoint too little to know its queue. It does no locking, input or output.
// The times passed to it are those of one clock that is never set, and reports arrive
// with their age, so that it does not matter how the clocks of two VMs differ.
package rattanpressure

import (
	"math"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// MaxAge is the age from which a report says nothing. A queue of statements of some
	// tens of milliseconds has changed completely by then.
	MaxAge = time.Second
	// A wait is over after a few times its length, unless the load lasts: a report of a
	// wait says nothing after waitHorizon times the wait, but not before minHorizon.
	waitHorizon = 10
	minHorizon  = 100 * time.Millisecond
	// busyTime is the time over which the share of busy slots is averaged.
	busyTime = 500 * time.Millisecond
	// maxOwners is how many owners of one endpoint are remembered by their last number.
	maxOwners = 8
)

// A Report is a load with what this daemon knows of its origin.
type Report struct {
	rattanwork.Load
	// MadeAt is when the owner made the report.
	MadeAt time.Time
	// From is the VM that passed the report on, empty if it came from the owner itself.
	From string
}

// entry is what is known of one endpoint.
type entry struct {
	report Report
	// sequence is the board's sequence number of the report.
	sequence uint64
	// numbers are the highest numbers seen from the owners of the endpoint.
	numbers map[string]uint64
	// busy is the mean share of busy slots over the last reports.
	busy float64
	// begun are the times at which this daemon's work in flight there began.
	begun []time.Time
}

// A Board holds the newest report of each endpoint.
type Board struct {
	entries  map[string]*entry
	sequence uint64
}

// New returns an empty Board.
func New() *Board { return &Board{entries: make(map[string]*entry)} }

func (b *Board) entry(endpoint string) *entry {
	e, ok := b.entries[endpoint]
	if !ok {
		e = &entry{numbers: make(map[string]uint64)}
		b.entries[endpoint] = e
	}
	return e
}

// Learn takes a report if it replaces the one that the board holds. It returns false
// when it does not.
func (b *Board) Learn(report Report) bool {
	e := b.entry(report.Endpoint)
	if !e.isReplacedBy(report) {
		return false
	}
	if report.StartedUnixMS != e.report.StartedUnixMS || len(e.numbers) >= maxOwners {
		clear(e.numbers)
		if e.report.StartedUnixMS == report.StartedUnixMS {
			e.numbers[e.report.Owner] = e.report.Number
		}
	}
	e.observeBusy(report)
	b.sequence++
	e.report, e.sequence = report, b.sequence
	e.numbers[report.Owner] = report.Number
	return true
}

// observeBusy records the share of busy slots in a report that replaces the one of the
// entry.
func (e *entry) observeBusy(report Report) {
	if report.Slots == 0 {
		return
	}
	sample := float64(report.Slots-report.FreeSlots) / float64(report.Slots)
	if e.report.MadeAt.IsZero() || e.report.StartedUnixMS != report.StartedUnixMS {
		e.busy = sample
	}
	elapsed := max(report.MadeAt.Sub(e.report.MadeAt), 0)
	e.busy += (sample - e.busy) * (1 - math.Exp(-float64(elapsed)/float64(busyTime)))
}

// isReplacedBy reports whether a report replaces the one of the entry: it is of a later
// process of the endpoint, of the same owner with a higher number, or of another owner
// and younger. A report of an owner from which a later one was seen never does, also
// when it comes by a detour on which its age was underrated.
func (e *entry) isReplacedBy(report Report) bool {
	if report.StartedUnixMS != e.report.StartedUnixMS {
		return report.StartedUnixMS > e.report.StartedUnixMS
	}
	if seen, ok := e.numbers[report.Owner]; ok && report.Number <= seen {
		return false
	}
	return report.Owner == e.report.Owner || report.MadeAt.After(e.report.MadeAt)
}

// Begin records that this daemon sends work to an endpoint. The same time ends it.
func (b *Board) Begin(endpoint string, at time.Time) {
	e := b.entry(endpoint)
	e.begun = append(e.begun, at)
}

// End records that the work which began at a time has ended.
func (b *Board) End(endpoint string, begunAt time.Time) {
	e := b.entry(endpoint)
	if i := slices.IndexFunc(e.begun, begunAt.Equal); i >= 0 {
		e.begun = slices.Delete(e.begun, i, i+1)
	}
}

// An Estimate is the load that a new request is expected to find at an endpoint.
type Estimate struct {
	rattanwork.Load
	// Age is the time since the report was made.
	Age time.Duration
	// Busy is the mean share of busy slots over the last reports.
	Busy float64
	// Since is how many requests this daemon has in flight there that the report does
	// not know.
	Since int
}

// Estimate returns the load of a process of an endpoint, discounted by the age of the
// report, with this daemon's own work since then. It returns false without a report
// that still says something.
func (b *Board) Estimate(endpoint string, startedUnixMS int64, now time.Time) (Estimate, bool) {
	e, ok := b.entries[endpoint]
	if !ok || e.report.MadeAt.IsZero() || e.report.StartedUnixMS < startedUnixMS {
		return Estimate{}, false
	}
	age := max(now.Sub(e.report.MadeAt), 0)
	if age >= MaxAge {
		return Estimate{}, false
	}
	estimate := Estimate{Load: e.report.Load, Age: age, Busy: e.busy}
	for _, begun := range e.begun {
		if begun.After(e.report.MadeAt) {
			estimate.Since++
		}
	}
	estimate.FreeSlots = max(e.report.FreeSlots-estimate.Since, 0)
	beyond := max(estimate.Since-e.report.FreeSlots, 0)
	added := time.Duration(beyond) * e.report.ServiceTime / time.Duration(max(e.report.Slots, 1))
	for i, wait := range e.report.Wait {
		estimate.Wait[i] = remaining(wait, age) + added
	}
	return estimate, true
}

// remaining returns what a wait that was reported some time ago still says.
func remaining(wait, age time.Duration) time.Duration {
	horizon := min(max(waitHorizon*wait, minHorizon), MaxAge)
	return time.Duration(float64(wait) * max(1-float64(age)/float64(horizon), 0))
}

// News returns the reports that the board has taken after a sequence number and that
// did not come from a VM, without those that say nothing any more, and the sequence
// number up to which they reach.
func (b *Board) News(after uint64, vm string, now time.Time) ([]Report, uint64) {
	var reports []Report
	for _, e := range b.entries {
		if e.sequence > after && (vm == "" || e.report.From != vm) && now.Sub(e.report.MadeAt) < MaxAge {
			reports = append(reports, e.report)
		}
	}
	return reports, b.sequence
}

// Reports returns all reports, also old ones, for dumps.
func (b *Board) Reports() []Report {
	reports := make([]Report, 0, len(b.entries))
	for _, e := range b.entries {
		if !e.report.MadeAt.IsZero() {
			reports = append(reports, e.report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return reports
}

// Keep forgets the endpoints for which isKnown is false.
func (b *Board) Keep(isKnown func(endpoint string) bool) {
	for endpoint, e := range b.entries {
		if !isKnown(endpoint) && len(e.begun) == 0 {
			delete(b.entries, endpoint)
		}
	}
}
