package rattancache

import (
	"cmp"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

const (
	// evacuationHold is how long an evacuation stays in force that a restored store
	// lacks: the operator writes it again within this time, unless it has been lifted.
	evacuationHold = 3 * time.Second
	// goneMemory is how long an endpoint that is gone is remembered, so that an older
	// copy of the store does not bring it back. It is above the age of such a copy.
	goneMemory = 10 * time.Minute
)

// knownEndpoint is the newest entry of an endpoint.
type knownEndpoint struct {
	endpoint rattancatalog.Endpoint
	revision rattankv.Revision
	// goneAt is when the entry was removed, zero while it is there.
	goneAt time.Time
}

// compareEntries orders two entries of one endpoint by the time at which the endpoint
// wrote them.
func compareEntries(a, b rattancatalog.Endpoint) int {
	return cmp.Or(cmp.Compare(a.StartedUnixMS, b.StartedUnixMS), cmp.Compare(a.Heartbeat, b.Heartbeat))
}

// newestEndpoint returns the newest known entry of an endpoint whose entry was read at
// a revision, or false if the endpoint is gone. A restored store may hold an older entry
// than the known one, or that of an endpoint that has left since: an endpoint that
// drains does not come back into use, and one that is gone stays gone, until it writes a
// newer entry.
func (c *Cache) newestEndpoint(read rattancatalog.Endpoint, revision rattankv.Revision) (rattancatalog.Endpoint, bool) {
	known, ok := c.knownEndpoints[read.ID]
	if ok && revision.Era() > known.revision.Era() {
		order := compareEntries(read, known.endpoint)
		if !known.goneAt.IsZero() && order <= 0 {
			return rattancatalog.Endpoint{}, false
		}
		if order < 0 {
			return known.endpoint, true
		}
	}
	c.knownEndpoints[read.ID] = knownEndpoint{endpoint: read, revision: revision}
	return read, true
}

// noteRemoval notes what the removal of an item says. A removal in a later era than
// the item's is no change: the store has lost the item.
func (c *Cache) noteRemoval(item rattankv.Item, revision rattankv.Revision) {
	isLost := revision.Era() > item.Revision.Era()
	if id, ok := c.decoder.EndpointID(item.Key); ok && !isLost {
		if known, isKnown := c.knownEndpoints[id]; isKnown {
			known.goneAt = c.clock.Now()
			c.knownEndpoints[id] = known
		}
	}
	if domain, ok := c.decoder.EvacuatedDomain(item.Key); ok && isLost {
		c.heldEvacuations[domain] = c.clock.Now().Add(evacuationHold)
	}
}

// holdEvacuations adds the evacuations to a snapshot that the store has lost and that
// are still held.
func (c *Cache) holdEvacuations(snapshot *Snapshot) {
	now := c.clock.Now()
	for domain, until := range c.heldEvacuations {
		if snapshot.Evacuated[domain] || !now.Before(until) {
			delete(c.heldEvacuations, domain)
			continue
		}
		snapshot.Evacuated[domain] = true
	}
}

// forgetGone drops the endpoints that have been gone for goneMemory.
func (c *Cache) forgetGone() {
	now := c.clock.Now()
	for id, known := range c.knownEndpoints {
		if !known.goneAt.IsZero() && now.Sub(known.goneAt) >= goneMemory {
			delete(c.knownEndpoints, id)
		}
	}
}

// Refresh ends the evacuations that were held for evacuationHold.
func (c *Cache) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, until := range c.heldEvacuations {
		if !now.Before(until) {
			// Entries that cannot be decoded were reported when they were read.
			_ = c.rebuild()
			return
		}
	}
}
