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
	// bucketCount is the number of parts of the digest. Two stores that differ
	// in a few records compare versions in a few buckets only.
	bucketCount = 64
	// sendsPerChange is how many messages carry a change after it has become
	// known here. With 4, a change reaches about 98% of the daemons; the digest
	// finds the others.
	sendsPerChange = 4
	// recentTime is how long a change may be carried.
	recentTime = 10 * time.Second
	// ghostTime is how long a removed record is not taken back from peers that
	// remove it a little later.
	ghostTime = 2 * time.Minute
	// spreadLimit is the number of records up to which an offer counts as news.
	// A larger one fills an empty store or ends a partition, and the other
	// daemons that need it find the difference themselves.
	spreadLimit = 32
)

type entry struct {
	record  Record
	changed time.Time
	sends   int
}

type ghost struct {
	record  Record
	removed time.Time
}

// A Store holds the newest known version of every record.
type Store struct {
	clock rattanclock.Clock

	mutex   sync.Mutex
	entries map[key]*entry
	ghosts  map[key]ghost
	buckets [bucketCount]uint64
	keys    [bucketCount]map[key]struct{}
	changed time.Time
	recent  []key
	pushes  []key
	wake    chan struct{}

	registered map[rattanv1.RecordKind][]func([]Record)
	queue      []Record
	notifying  bool
}

// NewStore returns an empty Store.
func NewStore(clock rattanclock.Clock) *Store {
	s := &Store{
		clock:      clock,
		entries:    make(map[key]*entry),
		ghosts:     make(map[key]ghost),
		wake:       make(chan struct{}, 1),
		registered: make(map[rattanv1.RecordKind][]func([]Record)),
	}
	for i := range s.keys {
		s.keys[i] = make(map[key]struct{})
	}
	return s
}

// Subscribe adds a function that gets every later change of a kind. Changes of
// one record arrive in the order of their versions, one call at a time, without
// the Store's lock held, so the function may call the Store.
func (s *Store) Subscribe(kind rattanv1.RecordKind, changed func([]Record)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// notify reads the old map without the lock.
	registered := maps.Clone(s.registered)
	registered[kind] = append(slices.Clone(registered[kind]), changed)
	s.registered = registered
}

// Merge keeps those records that are newer than what the Store holds and
// returns them. Registered functions have been called when it returns, unless
// another goroutine is calling them, which then also reports these changes.
// A withdrawal is only ever added: its version counts as 1, and a second record
// of the same name changes nothing.
func (s *Store) Merge(records ...Record) (changed []Record) {
	s.mutex.Lock()
	now := s.clock.Now()
	for _, record := range records {
		if record.Kind == rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL {
			record.Epoch, record.Version = 0, 1
		}
		if s.keep(record, now) {
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

func (s *Store) keep(record Record, now time.Time) bool {
	if !s.newer(record) {
		return false
	}
	k := record.key()
	if old, ok := s.entries[k]; ok {
		s.discount(old.record)
	}
	delete(s.ghosts, k)
	s.count(record)
	s.entries[k] = &entry{record: record, changed: now}
	if lifetime(record.Kind) == 0 {
		s.changed = now
	}
	return true
}

func (s *Store) newer(record Record) bool {
	k := record.key()
	if record.volatile() || record.Kind == rattanv1.RecordKind_RECORD_KIND_UNSPECIFIED {
		return false
	}
	if g, ok := s.ghosts[k]; ok && record.Compare(g.record) <= 0 {
		return false
	}
	old, ok := s.entries[k]
	return !ok || record.Compare(old.record) > 0
}

func (s *Store) count(record Record) {
	if lifetime(record.Kind) > 0 {
		return
	}
	k := record.key()
	s.buckets[k.bucket()] += record.hash()
	s.keys[k.bucket()][k] = struct{}{}
}

func (s *Store) discount(record Record) {
	if lifetime(record.Kind) > 0 {
		return
	}
	k := record.key()
	s.buckets[k.bucket()] -= record.hash()
	delete(s.keys[k.bucket()], k)
}

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
	case s.wake <- struct{}{}:
	default:
	}
}

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
		registered := s.registered
		s.mutex.Unlock()
		report(batch, registered)
		s.mutex.Lock()
	}
	s.notifying = false
}

func report(batch []Record, registered map[rattanv1.RecordKind][]func([]Record)) {
	for start := 0; start < len(batch); {
		end := start + 1
		for end < len(batch) && batch[end].Kind == batch[start].Kind {
			end++
		}
		for _, changed := range registered[batch[start].Kind] {
			changed(batch[start:end:end])
		}
		start = end
	}
}

// Get returns the record of that kind and name.
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

// Remove forgets a record of a daemon that has been gone for long. Only a newer
// version is taken back within the next 2 minutes. Other kinds, withdrawals
// among them, are never removed, and Remove returns false for them.
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
	s.discount(e.record)
	delete(s.entries, k)
	s.ghosts[k] = ghost{record: e.record, removed: s.clock.Now()}
	return true
}

// Sweep drops expired suspicions and the memory of removed records. It is
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
	for k, g := range s.ghosts {
		if rattanclock.Elapsed(g.removed, now) > ghostTime {
			delete(s.ghosts, k)
		}
	}
}

// Digest returns a hash over the versions of all records but suspicions. Its
// cost does not depend on the number of records. It is never 0.
func (s *Store) Digest() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sum uint64
	for _, bucket := range s.buckets {
		sum += bucket
	}
	return max(sum, 1)
}

// bucketDigests returns the parts of the digest.
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

// takeRecent returns changes that still have to be carried, up to limit bytes,
// and counts them as sent once.
func (s *Store) takeRecent(limit int) []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.recent) == 0 {
		return nil
	}
	now := s.clock.Now()
	var taken []Record
	var again, rest []key
	for i, k := range s.recent {
		e, ok := s.entries[k]
		if !ok || e.sends <= 0 || rattanclock.Elapsed(e.changed, now) > recentTime {
			continue
		}
		size := e.record.wireBytes()
		if size > smallRecordBytes {
			// Large records travel by version; see Exchange.Push.
			continue
		}
		if size > limit {
			rest = append(rest, s.recent[i:]...)
			break
		}
		limit -= size
		e.sends--
		taken = append(taken, e.record)
		again = append(again, k)
	}
	s.recent = append(rest, again...)
	return taken
}

// takePushes returns the urgent changes that have not been pushed yet.
func (s *Store) takePushes() []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pushes := s.pushes
	s.pushes = nil
	slices.SortFunc(pushes, compareKeys)
	pushes = slices.Compact(pushes)
	records := make([]Record, 0, len(pushes))
	for _, k := range pushes {
		if e, ok := s.entries[k]; ok {
			records = append(records, e.record)
		}
	}
	return records
}

// lacks reports whether a record of that version would change the Store.
func (s *Store) lacks(record Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newer(record)
}

// lastChange returns the time of the last change that the digest covers.
func (s *Store) lastChange() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// woken is signalled when there is something to push.
func (s *Store) woken() <-chan struct{} {
	return s.wake
}
