// Package rattancache is a daemon's local copy of the shared store: the
// configuration, the endpoints, the live VMs and the groups' primaries. An entry
// is never replaced by an older revision, whichever source delivers it.
package rattancache

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// A Decoder recognizes and decodes the store's keys whose format the platform
// defines.
type Decoder interface {
	// IsConfig reports whether the key holds the configuration.
	IsConfig(key string) bool
	// EvacuatedDomain returns the failure domain that the key takes out of service.
	EvacuatedDomain(key string) (string, bool)
	// EndpointID returns the endpoint that the key describes.
	EndpointID(key string) (string, bool)
	DecodeConfig(value []byte) (*rattancatalog.Catalog, error)
	DecodeEndpoint(id string, value []byte) (rattancatalog.Endpoint, error)
}

// An InvalidEntry is an entry of the store that cannot be decoded.
type InvalidEntry struct {
	Key      string
	Revision rattankv.Revision
	Err      error
}

// A Snapshot is the decoded content of the cache at one moment; it must not be
// changed.
type Snapshot struct {
	// Catalog is nil until a configuration has been read.
	Catalog *rattancatalog.Catalog
	// Endpoints are the registered endpoints by id.
	Endpoints map[string]rattancatalog.Endpoint
	// EndpointRevisions are the revisions at which their entries were written.
	EndpointRevisions map[string]rattankv.Revision
	// Evacuated holds the failure domains that are taken out of service.
	Evacuated map[string]bool
	// Abandoned holds the endpoints that operators have declared lost for good.
	Abandoned map[string]bool
	VMs       map[string]VMRecord
	// Members holds the newest daemon of each VM in the membership, including VMs
	// whose lease has ended.
	Members   map[string]MemberRecord
	Groups    map[string]GroupEntry
	Leader    LeaderRecord
	HasLeader bool
	// SettledEra is the store's last era in which no group's record is lost.
	SettledEra int64

	// catalogRevision is the revision of the item that Catalog was decoded from.
	catalogRevision rattankv.Revision
}

// CatalogRevision returns the revision of the item that Catalog was decoded from.
func (s *Snapshot) CatalogRevision() rattankv.Revision { return s.catalogRevision }

// A GroupEntry is the record of a group's primary with its revision.
type GroupEntry struct {
	Record   rattangrant.PrimaryRecord
	Revision rattankv.Revision
	// IsUnreadable is true when the entry cannot be decoded; Record is then empty.
	IsUnreadable bool
}

// Cache is safe for concurrent use.
type Cache struct {
	clock   rattanclock.Clock
	decoder Decoder

	mu    sync.Mutex
	items map[string]rattankv.Item
	// deleted holds the revision at which each deleted key was removed, so that
	// an older read cannot bring the key back.
	deleted map[string]rattankv.Revision
	// revision is the store's revision up to which items holds every change.
	revision rattankv.Revision
	// log holds the latest changes up to revision.
	log      changeLog
	snapshot *Snapshot
	// invalid holds the entries in items that cannot be decoded, by key.
	invalid map[string]InvalidEntry
	// removedAt holds, for each VM without an entry, when this daemon saw the
	// entry removed.
	removedAt map[string]time.Time
	// knownEndpoints holds the newest entry of each endpoint, also of those that are
	// gone, and heldEvacuations until when an evacuation that the store has lost stays
	// in force.
	knownEndpoints  map[string]knownEndpoint
	heldEvacuations map[string]time.Time
	// changed is closed and replaced when the snapshot changes.
	changed chan struct{}
	// syncedAt is when the initial sync ended, the zero time before that.
	syncedAt time.Time
}

// New returns an empty Cache.
func New(clock rattanclock.Clock, decoder Decoder) *Cache {
	return &Cache{
		clock: clock, decoder: decoder,
		items:          make(map[string]rattankv.Item),
		deleted:        make(map[string]rattankv.Revision),
		snapshot:       &Snapshot{},
		invalid:        make(map[string]InvalidEntry),
		removedAt:      make(map[string]time.Time),
		knownEndpoints: make(map[string]knownEndpoint), heldEvacuations: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Snapshot returns the present snapshot.
func (c *Cache) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Changed returns the present snapshot and a channel that is closed when the
// snapshot changes.
func (c *Cache) Changed() (*Snapshot, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot, c.changed
}

// RemovedSince returns the VMs whose entry was removed after the given time and
// has not come back.
func (c *Cache) RemovedSince(since time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, at := range c.removedAt {
		if at.After(since) {
			names = append(names, name)
		}
	}
	return names
}

// UnregisteredSince returns the time since which a VM without an entry has had
// none, as seen by this daemon. For a VM whose removal was not seen this is the end
// of the initial sync, or the zero time before that.
func (c *Cache) UnregisteredSince(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.removedAt[name]; ok {
		return at
	}
	return c.syncedAt
}

// Apply adds the changes from a watch to the cache. It returns the entries that
// cannot be decoded.
func (c *Cache) Apply(changes rattankv.Changes) []InvalidEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	touched := false
	for _, event := range changes.Events {
		if event.Deleted {
			touched = c.remove(event.Key, event.Revision) || touched
		} else {
			touched = c.put(event.Item) || touched
		}
	}
	if changes.AsOf > c.revision {
		c.log.add(changes.Events)
		c.revision = changes.AsOf
	}
	if !touched {
		return nil
	}
	return c.rebuild()
}

// Replace adds the result of a full read of a prefix. Cached keys that are
// missing from it and not newer than the read were deleted, and are removed.
func (c *Cache) Replace(prefix string, page rattankv.Page) []InvalidEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(page.Items))
	touched := false
	for _, item := range page.Items {
		present[item.Key] = true
		touched = c.put(item) || touched
	}
	for key, item := range c.items {
		if strings.HasPrefix(key, prefix) && !present[key] && item.Revision <= page.AsOf {
			touched = c.remove(key, page.AsOf) || touched
		}
	}
	if !touched {
		return nil
	}
	return c.rebuild()
}

// AdvanceRevision records that the cache holds every change up to a revision.
// The first call ends the initial sync.
func (c *Cache) AdvanceRevision(revision rattankv.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.syncedAt.IsZero() {
		c.syncedAt = c.clock.Now()
	}
	if revision > c.revision {
		c.log.reset(revision)
		c.revision = revision
	}
}

// Revision returns the store's revision up to which the cache holds every change.
func (c *Cache) Revision() rattankv.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// SyncedAt returns when the initial sync of the whole store ended; the zero time
// before that.
func (c *Cache) SyncedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncedAt
}

// Item returns the cached item of a key.
func (c *Cache) Item(key string) (rattankv.Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	item, ok := c.items[key]
	return item, ok
}

// Items returns all cached items, for a daemon that cannot reach the store.
func (c *Cache) Items() rattankv.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rattankv.Page{Items: slices.Collect(maps.Values(c.items)), AsOf: c.revision}
}

// put stores an item unless a newer state of its key is known. It reports whether
// the cache changed.
func (c *Cache) put(item rattankv.Item) bool {
	if item.Revision <= c.items[item.Key].Revision || item.Revision <= c.deleted[item.Key] {
		return false
	}
	c.items[item.Key] = item
	delete(c.deleted, item.Key)
	if name, ok := vmName(item.Key); ok {
		delete(c.removedAt, name)
	}
	return true
}

// remove deletes a key unless its item is newer than the deletion. It reports
// whether the cache changed.
func (c *Cache) remove(key string, revision rattankv.Revision) bool {
	item, ok := c.items[key]
	if !ok || revision < item.Revision {
		c.deleted[key] = max(c.deleted[key], revision)
		return false
	}
	delete(c.items, key)
	c.deleted[key] = revision
	c.noteRemoval(item, revision)
	if name, ok := vmName(key); ok {
		c.removedAt[name] = c.clock.Now()
	}
	return true
}

// rebuild decodes all items into a new snapshot. It returns the entries that
// cannot be decoded and were not known as such. They are not decoded again.
func (c *Cache) rebuild() []InvalidEntry {
	snapshot := &Snapshot{
		Catalog:   c.snapshot.Catalog,
		Endpoints: make(map[string]rattancatalog.Endpoint),
		Evacuated: make(map[string]bool),
		Abandoned: make(map[string]bool),
		VMs:       make(map[string]VMRecord),
		Members:   make(map[string]MemberRecord),
		Groups:    make(map[string]GroupEntry),

		EndpointRevisions: make(map[string]rattankv.Revision),

		catalogRevision: c.snapshot.catalogRevision,
	}
	var found []InvalidEntry
	invalid := make(map[string]InvalidEntry)
	for key, item := range c.items {
		known, isInvalid := c.invalid[key]
		if !isInvalid || known.Revision != item.Revision {
			err := c.decode(snapshot, key, item)
			if err == nil {
				continue
			}
			known = InvalidEntry{Key: key, Revision: item.Revision, Err: err}
			found = append(found, known)
		}
		invalid[key] = known
		if name, ok := groupName(key); ok {
			snapshot.Groups[name] = GroupEntry{Revision: item.Revision, IsUnreadable: true}
		}
	}
	c.invalid = invalid
	c.holdEvacuations(snapshot)
	c.forgetGone()
	c.snapshot = snapshot
	close(c.changed)
	c.changed = make(chan struct{})
	return found
}

// decode decodes one item into the snapshot. Keys of no known kind are ignored.
func (c *Cache) decode(snapshot *Snapshot, key string, item rattankv.Item) error {
	if c.decoder.IsConfig(key) {
		return c.decodeConfig(snapshot, item)
	}
	if domain, ok := c.decoder.EvacuatedDomain(key); ok {
		snapshot.Evacuated[domain] = true
		return nil
	}
	if id, ok := c.decoder.EndpointID(key); ok {
		endpoint, err := c.decoder.DecodeEndpoint(id, item.Value)
		if err != nil {
			return err
		}
		if newest, isThere := c.newestEndpoint(endpoint, item.Revision); isThere {
			snapshot.Endpoints[id] = newest
			snapshot.EndpointRevisions[id] = c.knownEndpoints[id].revision
		}
		return nil
	}
	if id, ok := abandonedID(key); ok {
		snapshot.Abandoned[id] = true
		return nil
	}
	if name, ok := vmName(key); ok {
		record, err := decodeVM(item)
		if err != nil {
			return err
		}
		snapshot.VMs[name] = record
		return nil
	}
	if name, ok := memberName(key); ok {
		record, err := decodeMember(item)
		if err != nil {
			return err
		}
		snapshot.Members[name] = record
		return nil
	}
	if name, ok := groupName(key); ok {
		record, err := DecodeGroup(item.Value)
		if err != nil {
			return err
		}
		snapshot.Groups[name] = GroupEntry{Record: record, Revision: item.Revision}
		return nil
	}
	if key == SettledKey {
		return json.Unmarshal(item.Value, &snapshot.SettledEra)
	}
	if key == LeaderKey {
		leader, err := DecodeLeader(item)
		if err != nil {
			return err
		}
		snapshot.Leader, snapshot.HasLeader = leader, true
	}
	return nil
}

// decodeConfig decodes the configuration. The present catalog stays when the item
// is unchanged, cannot be decoded, or has no higher version.
func (c *Cache) decodeConfig(snapshot *Snapshot, item rattankv.Item) error {
	if c.snapshot.Catalog != nil && c.snapshot.catalogRevision == item.Revision {
		return nil
	}
	catalog, err := c.decoder.DecodeConfig(item.Value)
	if err != nil {
		return err
	}
	if snapshot.Catalog == nil || catalog.Version() > snapshot.Catalog.Version() {
		snapshot.Catalog = catalog
		snapshot.catalogRevision = item.Revision
	}
	return nil
}
