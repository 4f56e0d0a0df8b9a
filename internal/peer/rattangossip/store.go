package rattangossip

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// bucketCount is the number of buckets into which the digest divides the
	// records. Two stores that differ in a few records compare versions in a few
	// buckets only.
	bucketCount = 64
	// sendsPerChange is the number of regular messages in which a daemon sends a
	// change that it has received. With 4, a change reaches about 98% of the
	// daemons; the others find the difference by their digests.
	sendsPerChange = 4
	// recentTime is how long after a change regular messages may include it.
	recentTime = 10 * time.Second
	// tombstoneLifetime is how long a removed record is not accepted again from
	// peers that remove it a little later.
	tombstoneLifetime = 2 * time.Minute
	// spreadLimit is the largest number of changes in one Merge that are sent on
	// to peers. A larger Merge fills an empty store or ends a partition, and the
	// other daemons that need its records find the difference by their digests.
	spreadLimit = 32
)

type entry struct {
	record  Record
	changed time.Time
	// sends is the number of regular messages that still have to include the
	// record.
	sends int
}

// tombstone is the last version of a removed record.
type tombstone struct {
	record  Record
	removed time.Time
}

// A Store holds the newest known version of every record.
type Store struct {
	clock rattanclock.Clock

	mutex      sync.Mutex
	entries    map[key]*entry
	tombstones map[key]tombstone
	// buckets are the digests of the buckets: the sums of their records' hashes.
	// keys are the records in each bucket.
	buckets [bucketCount]uint64
	keys    [bucketCount]map[key]struct{}
	// changed is the time of the last change that the digest covers.
	changed time.Time
	// recent are the changes that regular messages have to include, pushes the
	// urgent ones that have not been pushed; pushSignal is signalled for these.
	recent     []key
	pushes     []key
	pushSignal chan struct{}

	// subscribers are called with the changes in queue. notifying is true while
	// a goroutine does so.
	subscribers map[rattanv1.RecordKind][]func([]Record)
	queue       []Record
	notifying   bool
}

// NewStore returns an empty Store.
func NewStore(clock rattanclock.Clock) *Store {
	s := &Store{
		clock:       clock,
		entries:     make(map[key]*entry),
		tombstones:  make(map[key]tombstone),
		pushSignal:  make(chan struct{}, 1),
		subscribers: make(map[rattanv1.RecordKind][]func([]Record)),
	}
	for i := range s.keys {
		s.keys[i] = make(map[key]struct{})
	}
	return s
}

// Subscribe adds a function that is called with every later change of a record of
// the kind. Changes of one record arrive in the order of their versions, one call
// at a time. The Store's mutex is not held, so the function may call the Store.
func (s *Store) Subscribe(kind rattanv1.RecordKind, changed func([]Record)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// notify reads the map without the mutex, so the map is replaced.
	subscribers := maps.Clone(s.subscribers)
	subscribers[kind] = append(slices.Clone(subscribers[kind]), changed)
	s.subscribers = subscribers
}

// Merge stores those records that are newer than what the Store holds and returns
// them. The subscribed functions have been called when it returns, unless another
// goroutine is calling them: that one then calls them for these changes too.
//
// A withdrawal is only added and never changed: whatever its epoch and version, it
// is stored with version 1, so a second record of the same name has no effect.
func (s *Store) Merge(records ...Record) (changed []Record) {
	s.mutex.Lock()
	now := s.clock.Now()
	for _, record := range records {
		if record.Kind == rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL {
			record.Epoch, record.Version = 0, 1
		}
		if s.put(record, now) {
			changed = append(changed, record)
		}
	}
	if len(changed) <= spreadLimit {
		for _, record := range changed {
			s.spread(record)
		}
	}
	s.queue = append(s.queue, changed...)
	s.mutex.Unlock()
	s.notify()
	return changed
}

// put stores record if it is newer than what the Store holds, and reports whether
// it is.
func (s *Store) put(record Record, now time.Time) bool {
	if !s.isNewer(record) {
		return false
	}
	k := record.key()
	if old, ok := s.entries[k]; ok {
		s.removeFromDigest(old.record)
	}
	delete(s.tombstones, k)
	s.addToDigest(record)
	s.entries[k] = &entry{record: record, changed: now}
	if lifetime(record.Kind) == 0 {
		s.changed = now
	}
	return true
}

// isNewer reports whether record may be stored: it is not volatile, and is newer than
// the stored version and than the tombstone, if there is one.
func (s *Store) isNewer(record Record) bool {
	k := record.key()
	if record.volatile() || record.Kind == rattanv1.RecordKind_RECORD_KIND_UNSPECIFIED {
		return false
	}
	if g, ok := s.tombstones[k]; ok && record.Compare(g.record) <= 0 {
		return false
	}
	old, ok := s.entries[k]
	return !ok || record.Compare(old.record) > 0
}

// addToDigest adds record to its bucket, unless its kind has a lifetime.
func (s *Store) addToDigest(record Record) {
	if lifetime(record.Kind) > 0 {
		return
	}
	k := record.key()
	s.buckets[k.bucket()] += record.hash()
	s.keys[k.bucket()][k] = struct{}{}
}

// removeFromDigest undoes addToDigest.
func (s *Store) removeFromDigest(record Record) {
	if lifetime(record.Kind) > 0 {
		return
	}
	k := record.key()
	s.buckets[k.bucket()] -= record.hash()
	delete(s.keys[k.bucket()], k)
}

// spread schedules a stored record to be sent in regular messages, and to be pushed
// if it is urgent.
func (s *Store) spread(record Record) {
	k := record.key()
	s.entries[k].sends = sendsPerChange
	if !slices.Contains(s.recent, k) {
		s.recent = append(s.recent, k)
	}
	if !urgent(record.Kind) {
		return
	}
	s.pushes = append(s.pushes, k)
	select {
	case s.pushSignal <- struct{}{}:
	default:
	}
}

// notify calls the subscribers with the queued changes, unless another goroutine is
// doing so.
func (s *Store) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.notifying {
		return
	}
	s.notifying = true
	for len(s.queue) > 0 {
		batch := s.queue
		s.queue = nil
		subscribers := s.subscribers
		s.mutex.Unlock()
		callSubscribers(batch, subscribers)
		s.mutex.Lock()
	}
	s.notifying = false
}

// callSubscribers passes each run of changes of the same kind to the kind's
// subscribers.
func callSubscribers(batch []Record, subscribers map[rattanv1.RecordKind][]func([]Record)) {
	for start := 0; start < len(batch); {
		end := start + 1
		for end < len(batch) && batch[end].Kind == batch[start].Kind {
			end++
		}
		for _, changed := range subscribers[batch[start].Kind] {
			changed(batch[start:end:end])
		}
		start = end
	}
}

// Get returns the record with the given kind and name.
func (s *Store) Get(kind rattanv1.RecordKind, name string) (Record, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, ok := s.entries[key{kind: kind, name: name}]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// List returns all records of a kind, in no particular order.
func (s *Store) List(kind rattanv1.RecordKind) []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var records []Record
	for k, e := range s.entries {
		if k.kind == kind {
			records = append(records, e.record)
		}
	}
	return records
}

// Remove removes the record of a daemon that has been unavailable for long and
// reports whether there was one. For the next 2 minutes a tombstone lets only a
// newer version in. Records of other kinds, withdrawals among them, are never
// removed, and Remove returns false for them.
func (s *Store) Remove(kind rattanv1.RecordKind, name string) bool {
	if kind != rattanv1.RecordKind_RECORD_KIND_DAEMON {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := key{kind: kind, name: name}
	e, ok := s.entries[k]
	if !ok {
		return false
	}
	s.removeFromDigest(e.record)
	delete(s.entries, k)
	s.tombstones[k] = tombstone{record: e.record, removed: s.clock.Now()}
	return true
}

// Sweep deletes records whose lifetime has ended and expired tombstones. It is
// called about once a second.
func (s *Store) Sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	for k, e := range s.entries {
		if limit := lifetime(k.kind); limit > 0 && rattanclock.Elapsed(e.changed, now) > limit {
			delete(s.entries, k)
		}
	}
	for k, g := range s.tombstones {
		if rattanclock.Elapsed(g.removed, now) > tombstoneLifetime {
			delete(s.tombstones, k)
		}
	}
}

// Digest returns a hash over the versions of all records, except those of kinds
// with a lifetime. Its cost does not depend on the number of records. It is never
// 0.
func (s *Store) Digest() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sum uint64
	for _, bucket := range s.buckets {
		sum += bucket
	}
	return max(sum, 1)
}

// bucketDigests returns the digests of the buckets.
func (s *Store) bucketDigests() [bucketCount]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buckets
}

// bucketRecords returns the records of the buckets whose bit is set in mask.
func (s *Store) bucketRecords(mask uint64) []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var records []Record
	for i := range bucketCount {
		if mask&(1<<i) == 0 {
			continue
		}
		for k := range s.keys[i] {
			records = append(records, s.entries[k].record)
		}
	}
	return records
}

// lacks reports whether the Store would store record. Only its key and version
// count.
func (s *Store) lacks(record Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isNewer(record)
}

// lastChange returns the time of the last change that the digest covers.
func (s *Store) lastChange() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// pushReady is signalled when there are urgent changes to push.
func (s *Store) pushReady() <-chan struct{} {
	return s.pushSignal
}
