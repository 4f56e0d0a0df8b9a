// Package rattangrant keeps one primary at a time. The store records the
// primary of each group. A daemon may send work that only the primary may run
// while it holds a grant. It holds one while it is listed in the store by a lease
// that it renewed within the grant lifetime, and has read the records since it
// was listed. A switch marks the record first and waits until every listed daemon
// has confirmed that it stopped; the leases of those that do not are revoked, and
// the lifetime has to pass since. Package rattanquorum extends grants while the
// store is away for all.
package rattangrant

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A PrimaryRecord is the store's entry of a group.
type PrimaryRecord struct {
	// Primary is the id of the endpoint that leads, empty before the first choice.
	Primary string `json:"primary"`
	// Version rises with each change of the record.
	Version int64 `json:"number"`
	// IsSwitching is true from the mark of a switch until its end.
	IsSwitching bool `json:"switching"`
	// IsPlanned is true for a switch whose primary still answers, which is faster.
	IsPlanned bool `json:"planned,omitempty"`
	// FencingToken is the fencing token of the daemon that wrote the record.
	FencingToken int64 `json:"generation"`
}

type entry struct {
	record   PrimaryRecord
	revision int64
	work     map[*inFlight]struct{}
}

// Grants holds the grants of one daemon. It is safe for concurrent use.
type Grants struct {
	clock    rattanclock.Clock
	lifetime time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	// hasBaseline is true when the records were read since the daemon was listed.
	hasBaseline bool
	// renewed is when the last renewal of the lease that succeeded was sent.
	renewed time.Time
	// lentUntil is until when another daemon vouches for the records.
	lentUntil time.Time
	// current is when a question was sent whose answer made everything in the
	// store known.
	current time.Time
	// extendedUntil is until when promises of all daemons stand in for the lease.
	extendedUntil time.Time
	// changed is closed and replaced at each change that may unblock a waiter.
	changed chan struct{}
}

// New returns Grants without any grant. The clock must count the time that the
// VM is suspended.
func New(clock rattanclock.Clock, lifetime time.Duration) *Grants {
	return &Grants{clock: clock, lifetime: lifetime, entries: make(map[string]*entry), changed: make(chan struct{})}
}

// Lifetime returns how long a renewal of the lease may be relied on.
func (g *Grants) Lifetime() time.Duration { return g.lifetime }

// Now returns the time of the clock that ages the grants.
func (g *Grants) Now() time.Time { return g.clock.Now() }

// UpdateRecord records a group's record at a revision and ignores older ones.
func (g *Grants) UpdateRecord(group string, record PrimaryRecord, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(group)
	if revision <= e.revision {
		return
	}
	e.record, e.revision = record, revision
	g.announce()
}

// MarkInitialSync says that all records were read by a question sent at asked, after
// the daemon had been listed.
func (g *Grants) MarkInitialSync(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasBaseline = true
	g.renew(asked)
}

// Renew says that a renewal of the lease, sent at asked, succeeded.
func (g *Grants) Renew(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renew(asked)
}

func (g *Grants) renew(asked time.Time) {
	wasHeld := g.isHeld()
	if asked.After(g.renewed) {
		g.renewed = asked
	}
	if !wasHeld && g.isHeld() {
		g.announce()
	}
}

// MarkLeaseLost says that the lease has ended: the records must be read again.
func (g *Grants) MarkLeaseLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasBaseline = false
	g.extendedUntil = time.Time{}
}

// MarkSynced says that everything in the store is known as of a question sent at asked.
func (g *Grants) MarkSynced(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.current) {
		g.current = asked
	}
}

// Extend takes the promises of all daemons, which last until a time. Grants are
// extended to at most limit after the daemon was last listed and knew everything
// in the store.
func (g *Grants) Extend(until time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasHeld := g.isHeld()
	for _, known := range []time.Time{g.current, g.renewed} {
		if last := known.Add(limit); until.After(last) {
			until = last
		}
	}
	if g.hasBaseline && until.After(g.extendedUntil) {
		g.extendedUntil = until
	}
	if !wasHeld && g.isHeld() {
		g.announce()
	}
}

// Remaining returns for how long the daemon holds grants if nothing renews them.
func (g *Grants) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.lentUntil
	if g.isOwned() && g.renewed.Add(g.lifetime).After(until) {
		until = g.renewed.Add(g.lifetime)
	}
	if g.extendedUntil.After(until) {
		until = g.extendedUntil
	}
	return max(0, until.Sub(g.clock.Now()))
}

// AcceptDelegation takes the grants that another daemon vouches for until a time.
func (g *Grants) AcceptDelegation(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasHeld := g.isHeld()
	if until.After(g.lentUntil) {
		g.lentUntil = until
	}
	if !wasHeld && g.isHeld() {
		g.announce()
	}
}

// LeaseExpiry returns until when the daemon's own lease gives it grants.
func (g *Grants) LeaseExpiry() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.renewed.Add(g.lifetime), g.isOwned()
}

// IsHeld reports whether the daemon holds grants at all now.
func (g *Grants) IsHeld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isHeld()
}

// Primary returns the endpoint to which the daemon may send primary work of a
// group now.
func (g *Grants) Primary(group string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[group]
	if !ok || !g.isValid(e) {
		return "", false
	}
	return e.record.Primary, true
}

// Record returns the newest known record of a group with its revision.
func (g *Grants) Record(group string) (record PrimaryRecord, revision int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, known := g.entries[group]
	if !known || e.revision == 0 {
		return PrimaryRecord{}, 0, false
	}
	return e.record, e.revision, true
}

// Changed returns a channel that is closed at the next change of a grant.
func (g *Grants) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Grants) isOwned() bool {
	return g.hasBaseline && g.clock.Now().Sub(g.renewed) < g.lifetime
}

func (g *Grants) isHeld() bool {
	now := g.clock.Now()
	return g.isOwned() || now.Before(g.lentUntil) || now.Before(g.extendedUntil)
}

func (g *Grants) isValid(e *entry) bool {
	return !e.record.IsSwitching && e.record.Primary != "" && g.isHeld()
}

func (g *Grants) entry(group string) *entry {
	e, ok := g.entries[group]
	if !ok {
		e = &entry{}
		g.entries[group] = e
	}
	return e
}

func (g *Grants) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}
