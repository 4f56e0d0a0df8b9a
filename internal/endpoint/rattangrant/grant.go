// Package rattangrant ensures that a group has only one primary at a time. The
// store holds the primary record of each group. A daemon may send primary
// operations, which only the primary may run, while it holds a grant. It holds
// one while it has renewed the lease of its registration in the store within the
// grant lifetime and has read the primary records since it registered.
//
// A switchover first writes a switching record and then waits until every
// registered daemon has confirmed that it stopped. It revokes the leases of those
// that do not confirm, and then waits for the grant lifetime. Package rattanquorum
// extends grants while no daemon can reach the store.
package rattangrant

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
)

// A PrimaryRecord is the stored record of a group's primary.
type PrimaryRecord struct {
	// Primary is the id of the primary endpoint, empty before the first one is chosen.
	Primary string `json:"primary"`
	// Term is the one that the primary leads, 0 if the writer did not know it.
	Term uint64 `json:"term,omitempty"`
	// TermHistory holds the newest terms whose start is known.
	TermHistory rattanmodel.TermHistory `json:"terms,omitempty"`
	// Holders are the endpoints that may hold a part of the group's log, with and without an
	// entry in the store.
	Holders rattanholder.Holders `json:"holders,omitempty"`
	// SyncReplicas is how many replicas are known to hold each acknowledged commit. It rises
	// some time after the setting.
	SyncReplicas int `json:"sync_replicas,omitempty"`
	// Awaited are the endpoints that a switchover waits for, since they may hold commits that
	// the others lack.
	Awaited []string `json:"awaited,omitempty"`
	// Version rises with each change of the record.
	Version int64 `json:"number"`
	// IsSwitching is true from the beginning of a switchover until its end.
	IsSwitching bool `json:"switching"`
	// IsPlanned is true for a switchover whose old primary still responds, which is
	// faster than a failover.
	IsPlanned bool `json:"planned,omitempty"`
	// FencingToken is the fencing token of the daemon that wrote the record.
	FencingToken int64 `json:"generation"`
}

// entry is what the daemon knows of one group, with the primary operations that it
// has in flight there.
type entry struct {
	record   PrimaryRecord
	revision rattankv.Revision
	// newestTerm is the newest term in which an endpoint of the group was seen since the
	// record is known.
	newestTerm uint64
	inFlight   map[*operation]struct{}
}

// isOutdated reports whether the group has a newer term than that of the recorded primary:
// another endpoint was promoted, and the record of that is lost or was never written.
func (e *entry) isOutdated() bool { return e.record.Term != 0 && e.newestTerm > e.record.Term }

// Grants holds the grants of one daemon. It is safe for concurrent use.
type Grants struct {
	clock    rattanclock.Clock
	lifetime time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	// hasInitialSync is true when the records were read after the daemon registered.
	hasInitialSync bool
	// renewedAt is when the last successful renewal of the lease was sent.
	renewedAt time.Time
	// delegatedUntil is when the grants that another daemon has delegated end.
	delegatedUntil time.Time
	// syncedAt is when the last request was sent whose response brought the cache up
	// to date with the whole store.
	syncedAt time.Time
	// extendedUntil is when the extension by a quorum of daemons ends. Until then it
	// replaces the lease.
	extendedUntil time.Time
	// changed is closed and replaced at each change that may unblock a waiter.
	changed chan struct{}
}

// New returns Grants without any grant. The clock must include the time that the
// VM is suspended.
func New(clock rattanclock.Clock, lifetime time.Duration) *Grants {
	return &Grants{clock: clock, lifetime: lifetime, entries: make(map[string]*entry), changed: make(chan struct{})}
}

// Lifetime returns how long a grant lasts after a renewal of the lease.
func (g *Grants) Lifetime() time.Duration { return g.lifetime }

// Now returns the time of the clock by which grants expire.
func (g *Grants) Now() time.Time { return g.clock.Now() }

// UpdateRecord sets a group's primary record unless the known record has a higher
// version, and reports whether the record is new. A store that was restored from an
// older copy holds records of lower versions at higher revisions: the known ones stay.
func (g *Grants) UpdateRecord(group string, record PrimaryRecord, revision rattankv.Revision) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(group)
	isKnown := e.revision != 0
	if isKnown && (record.Version < e.record.Version || record.Version == e.record.Version && revision <= e.revision) {
		return false
	}
	if record.Version > e.record.Version {
		e.newestTerm = 0
	}
	e.record, e.revision = record, revision
	g.broadcastChange()
	return true
}

// A KnownRecord is a group's newest known record with the revision at which it was read.
type KnownRecord struct {
	PrimaryRecord
	Revision rattankv.Revision
}

// Records returns the newest known records by group.
func (g *Grants) Records() map[string]KnownRecord {
	return g.recordsIf(func(KnownRecord) bool { return true })
}

// RecordsBefore returns the records by group that were read before an era of the store
// and not again since: the store may lack them.
func (g *Grants) RecordsBefore(era int64) map[string]KnownRecord {
	return g.recordsIf(func(known KnownRecord) bool { return known.Revision.Era() < era })
}

func (g *Grants) recordsIf(isWanted func(KnownRecord) bool) map[string]KnownRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make(map[string]KnownRecord)
	for group, e := range g.entries {
		known := KnownRecord{PrimaryRecord: e.record, Revision: e.revision}
		if e.revision != 0 && isWanted(known) {
			records[group] = known
		}
	}
	return records
}

// MarkInitialSync records that all primary records were read with a request sent at
// sentAt, after the daemon had registered.
func (g *Grants) MarkInitialSync(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasInitialSync = true
	g.renew(sentAt)
}

// Renew records that a renewal of the lease, sent at sentAt, succeeded.
func (g *Grants) Renew(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renew(sentAt)
}

func (g *Grants) renew(sentAt time.Time) {
	wasHeld := g.isHeld()
	if sentAt.After(g.renewedAt) {
		g.renewedAt = sentAt
	}
	if !wasHeld && g.isHeld() {
		g.broadcastChange()
	}
}

// MarkLeaseLost records that the lease has ended. The daemon then has to register and
// read the primary records again.
func (g *Grants) MarkLeaseLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasInitialSync = false
	g.extendedUntil = time.Time{}
}

// MarkSynced records that the cache is up to date with the whole store as of a request
// sent at sentAt.
func (g *Grants) MarkSynced(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sentAt.After(g.syncedAt) {
		g.syncedAt = sentAt
	}
}

// SyncedAt returns since when the cache is known to have been up to date with the
// whole store, the zero time before the first sync.
func (g *Grants) SyncedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncedAt
}

// Extend extends the grants until a time, after a quorum of daemons has agreed. The
// extension ends at the latest when limit has passed since the last renewal of the
// lease or since the last sync with the store, whichever is earlier.
func (g *Grants) Extend(until time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasHeld := g.isHeld()
	for _, known := range []time.Time{g.syncedAt, g.renewedAt} {
		if last := known.Add(limit); until.After(last) {
			until = last
		}
	}
	if g.hasInitialSync && until.After(g.extendedUntil) {
		g.extendedUntil = until
	}
	if !wasHeld && g.isHeld() {
		g.broadcastChange()
	}
}

// Remaining returns for how long the daemon holds grants if nothing renews them.
func (g *Grants) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.delegatedUntil
	if g.isHeldByLease() && g.renewedAt.Add(g.lifetime).After(until) {
		until = g.renewedAt.Add(g.lifetime)
	}
	if g.extendedUntil.After(until) {
		until = g.extendedUntil
	}
	return max(0, until.Sub(g.clock.Now()))
}

// AcceptDelegation accepts grants that another daemon delegates until a time.
func (g *Grants) AcceptDelegation(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasHeld := g.isHeld()
	if until.After(g.delegatedUntil) {
		g.delegatedUntil = until
	}
	if !wasHeld && g.isHeld() {
		g.broadcastChange()
	}
}

// LeaseExpiry returns when the grants from the daemon's own lease end, and whether
// it holds them now.
func (g *Grants) LeaseExpiry() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.renewedAt.Add(g.lifetime), g.isHeldByLease()
}

// IsHeld reports whether the daemon holds grants now, from its lease, by delegation
// or by extension.
func (g *Grants) IsHeld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isHeld()
}

// Primary returns the endpoint to which the daemon may send primary operations of a
// group now, and false if there is none.
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
func (g *Grants) Record(group string) (record PrimaryRecord, revision rattankv.Revision, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, known := g.entries[group]
	if !known || e.revision == 0 {
		return PrimaryRecord{}, 0, false
	}
	return e.record, e.revision, true
}

// Changed returns a channel that is closed at the next change of a record or a grant,
// or when the last operation in flight of a group ends.
func (g *Grants) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// isHeldByLease reports whether the daemon's own lease gives it grants now.
func (g *Grants) isHeldByLease() bool {
	return g.hasInitialSync && g.clock.Now().Sub(g.renewedAt) < g.lifetime
}

func (g *Grants) isHeld() bool {
	now := g.clock.Now()
	return g.isHeldByLease() || now.Before(g.delegatedUntil) || now.Before(g.extendedUntil)
}

// isValid reports whether the daemon may send operations to the primary of the entry
// now.
func (g *Grants) isValid(e *entry) bool {
	return !e.record.IsSwitching && e.record.Primary != "" && !e.isOutdated() && g.isHeld()
}

func (g *Grants) entry(group string) *entry {
	e, ok := g.entries[group]
	if !ok {
		e = &entry{}
		g.entries[group] = e
	}
	return e
}

// broadcastChange wakes all that wait for Changed.
func (g *Grants) broadcastChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}
