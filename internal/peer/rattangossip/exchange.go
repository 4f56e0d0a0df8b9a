package rattangossip

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// smallRecordBytes is the size up to which a record is sent without a
	// request. Of a larger one only the version is announced, and the receiver
	// requests the record from one peer.
	smallRecordBytes = 2 << 10
	// recentBytes bounds the recent changes in a regular message.
	recentBytes = 4 << 10
	// pageBytes bounds the records in one message of a comparison of versions,
	// except that one record is always sent. The next exchange brings the rest.
	pageBytes = 256 << 10
	// repairInterval is the shortest time between two comparisons of versions,
	// and between the last change of this daemon's store and a comparison: while
	// a change spreads, stores differ for a short time, and most such
	// differences end without a comparison.
	repairInterval = 400 * time.Millisecond
	// repairOverdue is the time since the last comparison after which the next
	// one is made although this daemon's store has just changed.
	repairOverdue = 2 * time.Second
	// requestInterval is the shortest time between two requests for one version
	// of a record, so that several peers do not send a large one at once.
	requestInterval = time.Second
)

// Names of the volatile records that Exchange uses itself to compare versions.
// Their kind is RECORD_KIND_UNSPECIFIED.
const (
	// bucketsName is the record of the lower halves of the 64 bucket digests, 32
	// bits each, big-endian.
	bucketsName = "buckets"
	// maskName is the record of the set of buckets of which a message lists the
	// versions of all records: 64 bits, big-endian, lowest bit for bucket 0.
	maskName = "mask"
)

// Volatile builds and merges the volatile records of messages, such as
// heartbeats. See Record.
type Volatile interface {
	// Outgoing returns the records of a request to peer.
	Outgoing(peer Peer) []Record
	// Answer merges the records of a request from peer and returns those of the
	// response.
	Answer(peer Peer, records []Record) []Record
	// Merge merges the records of a response.
	Merge(records []Record)
}

// An ExchangeResult describes one request of an exchange that a peer has answered.
type ExchangeResult struct {
	// VM and FailureDomain are the peer's, as its response gives them.
	VM            string
	FailureDomain string
	// SentAt is when the request was sent, on this daemon's clock.
	SentAt time.Time
	// FreshAge is the age of the peer's cache of withdrawals when it answered,
	// valid when FreshKnown is true.
	FreshAge   time.Duration
	FreshKnown bool
	// InSync is true when the peer held the same records as this daemon does
	// now. This daemon then has every withdrawal that the peer had.
	InSync bool
}

// An Exchange decides what the messages between two daemons contain.
type Exchange struct {
	self      Peer
	store     *Store
	volatile  Volatile
	freshness func() (age time.Duration, known bool)
	observe   func(ExchangeResult)

	mutex sync.Mutex
	// lastRepair is the time of the last comparison of versions.
	lastRepair time.Time
	// requested are the latest requests for records, by record.
	requested map[key]recordRequest
}

// recordRequest is a request for a record of which a peer has a newer version.
type recordRequest struct {
	record Record
	at     time.Time
}

// An ExchangeOption changes an Exchange.
type ExchangeOption func(*Exchange)

// WithVolatile sets the source of volatile records.
func WithVolatile(volatile Volatile) ExchangeOption {
	return func(e *Exchange) { e.volatile = volatile }
}

// WithFreshness sets the function that returns the age of this daemon's cache of
// withdrawals. known is false while the cache has not been filled.
func WithFreshness(freshness func() (age time.Duration, known bool)) ExchangeOption {
	return func(e *Exchange) { e.freshness = freshness }
}

// WithExchangeObserver sets a function that is called for every response of a peer.
func WithExchangeObserver(observe func(ExchangeResult)) ExchangeOption {
	return func(e *Exchange) { e.observe = observe }
}

// NewExchange returns an Exchange of the daemon self.
func NewExchange(self Peer, store *Store, opts ...ExchangeOption) *Exchange {
	e := &Exchange{
		self:      self,
		store:     store,
		freshness: func() (time.Duration, bool) { return 0, false },
		observe:   func(ExchangeResult) {},
		requested: make(map[key]recordRequest),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Request returns the first request of a regular exchange with peer: digest,
// volatile records and recent changes.
func (e *Exchange) Request(peer Peer) *rattanv1.SyncRequest {
	request := e.newRequest()
	request.Digest = e.store.Digest()
	if e.volatile != nil {
		request.Records = appendWire(request.Records, e.volatile.Outgoing(peer))
	}
	request.Records = appendWire(request.Records, e.store.takeRecent(recentBytes))
	return request
}

// Push returns a request with the urgent changes that have not been pushed yet, nil
// when there are none. Of large records it announces only the versions. Its digest
// is 0, which distinguishes it from a regular request.
func (e *Exchange) Push() *rattanv1.SyncRequest {
	changes := e.store.takePushes()
	if len(changes) == 0 {
		return nil
	}
	request := e.newRequest()
	for _, record := range changes {
		if record.wireBytes() > smallRecordBytes {
			request.Versions = append(request.Versions, record.versionOnly())
			continue
		}
		request.Records = append(request.Records, record.Wire())
	}
	return request
}

func (e *Exchange) newRequest() *rattanv1.SyncRequest {
	return &rattanv1.SyncRequest{
		FromVm:            e.self.VM,
		FromIncarnation:   e.self.Incarnation,
		FromFailureDomain: e.self.FailureDomain,
	}
}

// HandleRequest merges the records of a request and returns the response.
func (e *Exchange) HandleRequest(request *rattanv1.SyncRequest) *rattanv1.SyncResponse {
	peer := Peer{
		VM:            request.GetFromVm(),
		Incarnation:   request.GetFromIncarnation(),
		FailureDomain: request.GetFromFailureDomain(),
	}
	volatile, control := e.mergeRecords(request.GetRecords())
	response := &rattanv1.SyncResponse{
		FromVm:            e.self.VM,
		FromIncarnation:   e.self.Incarnation,
		FromFailureDomain: e.self.FailureDomain,
	}
	if e.volatile != nil && (len(volatile) > 0 || request.GetDigest() != 0) {
		response.Records = appendWire(response.Records, e.volatile.Answer(peer, volatile))
	}
	if request.GetDigest() != 0 {
		response.Records = appendWire(response.Records, e.store.takeRecent(recentBytes))
	}
	if control.buckets != nil {
		response.Records = append(response.Records, e.bucketsRecord().Wire())
	}
	newer, wanted := e.compare(request.GetVersions(), control.mask)
	response.Records = appendWire(response.Records, newer)
	response.Wanted = wanted
	response.Digest = e.store.Digest()
	age, known := e.freshness()
	response.FreshAgeMs, response.FreshKnown = uint64(age.Milliseconds()), known
	return response
}

// HandleResponse merges the records of the response to a request that was sent at
// the given time. It returns the request that follows in the same exchange, nil
// when there is none: the records that the peer wants, the versions in the buckets
// that differ, or, when a comparison of versions is due, the bucket digests.
func (e *Exchange) HandleResponse(request *rattanv1.SyncRequest, response *rattanv1.SyncResponse, sent time.Time) *rattanv1.SyncRequest {
	volatile, control := e.mergeRecords(response.GetRecords())
	if e.volatile != nil && len(volatile) > 0 {
		e.volatile.Merge(volatile)
	}
	e.observe(ExchangeResult{
		VM:            response.GetFromVm(),
		FailureDomain: response.GetFromFailureDomain(),
		SentAt:        sent,
		FreshAge:      time.Duration(response.GetFreshAgeMs()) * time.Millisecond,
		FreshKnown:    response.GetFreshKnown(),
		InSync:        response.GetDigest() == e.store.Digest(),
	})
	if len(response.GetWanted()) > 0 {
		return e.wantedRequest(response.GetWanted())
	}
	if control.buckets != nil {
		return e.versionsRequest(control.buckets)
	}
	if request.GetDigest() == 0 || !e.repairDue(response.GetDigest()) {
		return nil
	}
	next := e.newRequest()
	next.Records = append(next.Records, e.bucketsRecord().Wire())
	return next
}

// repairDue reports whether versions have to be compared now with a peer that has
// the given digest, and if so records the time. A new daemon compares versions in
// its first exchange.
func (e *Exchange) repairDue(digest uint64) bool {
	if digest == e.store.Digest() {
		return false
	}
	changed := e.store.lastChange()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.store.clock.Now()
	sinceRepair := rattanclock.Elapsed(e.lastRepair, now)
	unchanged := rattanclock.Elapsed(changed, now) >= repairInterval
	if sinceRepair < repairInterval || (!unchanged && sinceRepair < repairOverdue) {
		return false
	}
	e.lastRepair = now
	return true
}

// shouldRequest reports whether to request a version of a record that a peer has,
// and if so remembers the request for requestInterval.
func (e *Exchange) shouldRequest(record Record) bool {
	if !e.store.lacks(record) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.store.clock.Now()
	last, ok := e.requested[record.key()]
	if ok && record.Compare(last.record) <= 0 && rattanclock.Elapsed(last.at, now) < requestInterval {
		return false
	}
	for k, old := range e.requested {
		if rattanclock.Elapsed(old.at, now) >= requestInterval {
			delete(e.requested, k)
		}
	}
	e.requested[record.key()] = recordRequest{record: record, at: now}
	return true
}

// control has the values of the records that Exchange uses itself.
type control struct {
	// buckets are bucket digests; see bucketsName.
	buckets []byte
	// mask is a set of buckets; see maskName.
	mask uint64
}

// mergeRecords merges records into the store. It returns the volatile ones, and
// separately those that Exchange uses itself.
func (e *Exchange) mergeRecords(records []*rattanv1.Record) ([]Record, control) {
	var volatile, stored []Record
	var controls control
	for _, wire := range records {
		record := RecordFromWire(wire)
		switch {
		case record.Kind == rattanv1.RecordKind_RECORD_KIND_UNSPECIFIED:
			controls.add(record)
		case record.volatile():
			volatile = append(volatile, record)
		default:
			stored = append(stored, record)
		}
	}
	if len(stored) > 0 {
		e.store.Merge(stored...)
	}
	return volatile, controls
}

// add ignores records with an unknown name or a value of the wrong size.
func (c *control) add(record Record) {
	switch {
	case record.Name == bucketsName && len(record.Value) == 4*bucketCount:
		c.buckets = record.Value
	case record.Name == maskName && len(record.Value) == 8:
		c.mask = binary.BigEndian.Uint64(record.Value)
	}
}

// bucketsRecord returns the record of this daemon's bucket digests.
func (e *Exchange) bucketsRecord() Record {
	digests := e.store.bucketDigests()
	value := make([]byte, 0, 4*bucketCount)
	for _, digest := range digests {
		value = binary.BigEndian.AppendUint32(value, uint32(digest))
	}
	return Record{Name: bucketsName, Value: value}
}

// versionsRequest returns a request with the versions of all records in the buckets
// that differ from the peer's, nil when none does.
func (e *Exchange) versionsRequest(buckets []byte) *rattanv1.SyncRequest {
	var mask uint64
	for i, digest := range e.store.bucketDigests() {
		if binary.BigEndian.Uint32(buckets[4*i:]) != uint32(digest) {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return nil
	}
	request := e.newRequest()
	value := binary.BigEndian.AppendUint64(nil, mask)
	request.Records = append(request.Records, Record{Name: maskName, Value: value}.Wire())
	for _, record := range e.store.bucketRecords(mask) {
		request.Versions = append(request.Versions, record.versionOnly())
	}
	return request
}

// compare compares this daemon's records with the versions that a peer lists. It
// returns the records in the buckets of mask that are newer than listed or not
// listed, up to one page, and the listed versions to request from the peer.
func (e *Exchange) compare(versions []*rattanv1.RecordVersion, mask uint64) (newer []Record, wanted []*rattanv1.RecordVersion) {
	listed := make(map[key]Record, len(versions))
	for _, version := range versions {
		record := Record{Kind: version.GetKind(), Name: version.GetName(), Epoch: version.GetEpoch(), Version: version.GetVersion()}
		listed[record.key()] = record
		if e.shouldRequest(record) {
			wanted = append(wanted, version)
		}
	}
	var candidates []Record
	for _, own := range e.store.bucketRecords(mask) {
		record, ok := listed[own.key()]
		if !ok || own.Compare(record) > 0 {
			candidates = append(candidates, own)
		}
	}
	return firstPage(candidates), wanted
}

// wantedRequest returns a request with the records that a peer has requested, up to
// one page, nil when this daemon has none of them.
func (e *Exchange) wantedRequest(versions []*rattanv1.RecordVersion) *rattanv1.SyncRequest {
	var records []Record
	for _, version := range versions {
		if record, ok := e.store.Get(version.GetKind(), version.GetName()); ok {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil
	}
	request := e.newRequest()
	request.Records = appendWire(nil, firstPage(records))
	return request
}
