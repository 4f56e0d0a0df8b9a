// Package rattancache holds what one daemon knows of the shared store: the
// configuration, the endpoints, the live VMs and the groups' primaries. What it
// knows never goes back to an older revision, whichever source offers it.
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

// A Decoder reads the keys of the store that belong to the platform.
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

// A InvalidEntry is an entry of the store that cannot be read.
type InvalidEntry struct {
	Key      string
	Revision int64
	Err      error
}

// A Snapshot is what is known at one moment; it must not be changed.
type Snapshot struct {
	// Catalog is nil until a configuration is known.
	Catalog *rattancatalog.Catalog
	// Endpoints are the registered endpoints by id.
	Endpoints map[string]rattancatalog.Endpoint
	// Evacuated are the failure domains out of service.
	Evacuated map[string]bool
	VMs       map[string]VMRecord
	// Members names the newest daemon of each VM, also of those without a lease.
	Members   map[string]MemberRecord
	Groups    map[string]GroupEntry
	Leader    LeaderRecord
	HasLeader bool

	catalogRevision int64
}

// A GroupEntry is a group's record with its revision.
type GroupEntry struct {
	Record   rattangrant.PrimaryRecord
	Revision int64
}

// Cache is safe for concurrent use.
type Cache struct {
	clock   rattanclock.Clock
	decoder Decoder

	mu    sync.Mutex
	items map[string]rattankv.Item
	// deleted holds the revision of each deletion, so that an older source
	// cannot bring a key back.
	deleted  map[string]int64
	revision int64
	view     *Snapshot
	// gone is when a VM was last seen to disappear.
	gone    map[string]time.Time
	changed chan struct{}
	// complete is when everything in the store was known for the first time.
	complete time.Time
}

// New returns an empty Cache.
func New(clock rattanclock.Clock, decoder Decoder) *Cache {
	return &Cache{
		clock: clock, decoder: decoder,
		items:   make(map[string]rattankv.Item),
		deleted: make(map[string]int64),
		view:    &Snapshot{},
		gone:    make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Snapshot returns what is known now.
func (k *Cache) Snapshot() *Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// Changed returns the present view and a channel that is closed at the next change.
func (k *Cache) Changed() (*Snapshot, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view, k.changed
}

// RemovedSince returns the VMs whose entry disappeared after a time.
func (k *Cache) RemovedSince(since time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, at := range k.gone {
		if at.After(since) {
			names = append(names, name)
		}
	}
	return names
}

// UnregisteredSince returns since when a VM without an entry has had none, as seen
// here; the zero time before everything in the store was known.
func (k *Cache) UnregisteredSince(name string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.gone[name]; ok {
		return at
	}
	return k.complete
}

// Apply takes the changes of a watch in. It returns the entries that cannot be read.
func (k *Cache) Apply(changes rattankv.Changes) []InvalidEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	touched := false
	for _, event := range changes.Events {
		if event.Deleted {
			touched = k.remove(event.Key, event.Revision) || touched
		} else {
			touched = k.put(event.Item) || touched
		}
	}
	k.revision = max(k.revision, changes.AsOf)
	if !touched {
		return nil
	}
	return k.rebuild()
}

// Replace takes the result of a full read of a prefix in: keys that it lacks
// were deleted by then.
func (k *Cache) Replace(prefix string, page rattankv.Page) []InvalidEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	present := make(map[string]bool, len(page.Items))
	touched := false
	for _, item := range page.Items {
		present[item.Key] = true
		touched = k.put(item) || touched
	}
	for key, item := range k.items {
		if strings.HasPrefix(key, prefix) && !present[key] && item.Revision <= page.AsOf {
			touched = k.remove(key, page.AsOf) || touched
		}
	}
	if !touched {
		return nil
	}
	return k.rebuild()
}

// AdvanceRevision records that everything up to a revision is known.
func (k *Cache) AdvanceRevision(revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.complete.IsZero() {
		k.complete = k.clock.Now()
	}
	k.revision = max(k.revision, revision)
}

// Revision returns the store's revision up to which everything is known.
func (k *Cache) Revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// SyncedAt returns when everything in the store was known for the first
// time; the zero time when that is not so yet.
func (k *Cache) SyncedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// Item returns the known item of a key.
func (k *Cache) Item(key string) (rattankv.Item, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item, ok := k.items[key]
	return item, ok
}

// Items returns all known items, for a daemon that cannot reach the store.
func (k *Cache) Items() rattankv.Page {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rattankv.Page{Items: slices.Collect(maps.Values(k.items)), AsOf: k.revision}
}

func (k *Cache) put(item rattankv.Item) bool {
	if item.Revision <= k.items[item.Key].Revision || item.Revision <= k.deleted[item.Key] {
		return false
	}
	k.items[item.Key] = item
	delete(k.deleted, item.Key)
	if name, ok := vmName(item.Key); ok {
		delete(k.gone, name)
	}
	return true
}

func (k *Cache) remove(key string, revision int64) bool {
	item, ok := k.items[key]
	if !ok || revision < item.Revision {
		k.deleted[key] = max(k.deleted[key], revision)
		return false
	}
	delete(k.items, key)
	k.deleted[key] = revision
	if name, ok := vmName(key); ok {
		k.gone[name] = k.clock.Now()
	}
	return true
}

func (k *Cache) rebuild() []InvalidEntry {
	view := &Snapshot{
		Catalog:   k.view.Catalog,
		Endpoints: make(map[string]rattancatalog.Endpoint),
		Evacuated: make(map[string]bool),
		VMs:       make(map[string]VMRecord),
		Members:   make(map[string]MemberRecord),
		Groups:    make(map[string]GroupEntry),

		catalogRevision: k.view.catalogRevision,
	}
	var faults []InvalidEntry
	for key, item := range k.items {
		if err := k.decode(view, key, item); err != nil {
			faults = append(faults, InvalidEntry{Key: key, Revision: item.Revision, Err: err})
		}
	}
	k.view = view
	close(k.changed)
	k.changed = make(chan struct{})
	return faults
}

func (k *Cache) decode(view *Snapshot, key string, item rattankv.Item) error {
	if k.decoder.IsConfig(key) {
		return k.decodeConfig(view, item)
	}
	if domain, ok := k.decoder.EvacuatedDomain(key); ok {
		view.Evacuated[domain] = true
		return nil
	}
	if id, ok := k.decoder.EndpointID(key); ok {
		endpoint, err := k.decoder.DecodeEndpoint(id, item.Value)
		if err == nil {
			view.Endpoints[id] = endpoint
		}
		return err
	}
	if name, ok := vmName(key); ok {
		var record VMRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return err
		}
		record.Lease = item.Lease
		view.VMs[name] = record
		return nil
	}
	if name, ok := rollName(key); ok {
		var record MemberRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return err
		}
		record.CreateRevision, record.Revision = item.CreateRevision, item.Revision
		view.Members[name] = record
		return nil
	}
	if name, ok := groupName(key); ok {
		entry := GroupEntry{Revision: item.Revision}
		if err := json.Unmarshal(item.Value, &entry.Record); err != nil {
			return err
		}
		view.Groups[name] = entry
		return nil
	}
	if key == LeaderKey {
		view.HasLeader = true
		return json.Unmarshal(item.Value, &view.Leader)
	}
	return nil
}

// decodeConfig keeps the present catalog when the item holds no newer one.
func (k *Cache) decodeConfig(view *Snapshot, item rattankv.Item) error {
	if k.view.Catalog != nil && k.view.catalogRevision == item.Revision {
		return nil
	}
	catalog, err := k.decoder.DecodeConfig(item.Value)
	if err != nil {
		return err
	}
	if view.Catalog == nil || catalog.Version() > view.Catalog.Version() {
		view.Catalog = catalog
		view.catalogRevision = item.Revision
	}
	return nil
}
