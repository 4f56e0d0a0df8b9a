package rattangossip

import (
	"cmp"
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// smallRecordBytes is the size up to which a record is sent unasked. Of a
	// larger one the version is announced, and the receiver asks for it once.
	smallRecordBytes = 2 << 10
	// recentBytes bounds the changes in a regular message.
	recentBytes = 4 << 10
	// pageBytes bounds the records in an answer to a comparison, except that
	// one record is always sent. The next exchange brings the next page.
	pageBytes = 256 << 10
	// repairInterval is the shortest time between two comparisons of versions,
	// and between the last change of the own store and a comparison: changes on
	// their way cause short differences, most of which end without one.
	repairInterval = 400 * time.Millisecond
	// repairOverdue is the time after which a comparison does not wait for the
	// own store to be quiet.
	repairOverdue = 2 * time.Second
	// askInterval is the shortest time between two requests for one record, so
	// that a large one does not come from several peers at once.
	askInterval = time.Second
)

// Names of the volatile records that Exchange itself uses; their kind is
// RECORD_KIND_UNSPECIFIED.
const (
	// bucketsName marks the lower halves of the 64 bucket digests, 32 bits
	// each, big-endian.
	bucketsName = "buckets"
	// maskName marks the set of buckets whose versions a message lists whole:
	// 64 bits, big-endian, lowest bit for bucket 0.
	maskName = "mask"
)

// Volatile supplies and takes the volatile records of every message, such as
// heartbeats.
type Volatile interface {
	// Outgoing returns the records of a request to peer.
	Outgoing(peer Peer) []Record
	// Answer takes the records of a request from peer and returns those of
	// the response.
	Answer(peer Peer, records []Record) []Record
	// Merge takes the records of a response.
	Merge(records []Record)
}

// A ExchangeResult describes one answered exchange.
type ExchangeResult struct {
	// VM and FailureDomain are what the peer says of itself.
	VM            string
	FailureDomain string
	// SentAt is when the request was sent, on this daemon's clock.
	SentAt time.Time
	// FreshAge is the age of the peer's knowledge of withdrawals when it
	// answered, valid when FreshKnown.
	FreshAge   time.Duration
	FreshKnown bool
	// InSync is true when the peer held the same records when it answered. What
	// the peer knows of withdrawals is then known here too.
	InSync bool
}

// An Exchange decides what the messages between two daemons contain.
type Exchange struct {
	self     Peer
	store    *Store
	volatile Volatile
	fresh    func() (age time.Duration, known bool)
	result   func(ExchangeResult)

	mutex    sync.Mutex
	repaired time.Time
	asked    map[key]ask
}

// ask is a request for a record that a peer has announced.
type ask struct {
	record Record
	at     time.Time
}

// An ExchangeOption changes an Exchange.
type ExchangeOption func(*Exchange)

// WithVolatile sets the source of volatile records.
func WithVolatile(volatile Volatile) ExchangeOption {
	return func(e *Exchange) { e.volatile = volatile }
}

// WithFreshness sets the function that tells the age of this daemon's cache
// of withdrawals.
func WithFreshness(fresh func() (age time.Duration, known bool)) ExchangeOption {
	return func(e *Exchange) { e.fresh = fresh }
}

// WithExchangeObserver sets a function that is told of every answered exchange.
func WithExchangeObserver(result func(ExchangeResult)) ExchangeOption {
	return func(e *Exchange) { e.result = result }
}

// NewExchange returns an Exchange of the daemon self.
func NewExchange(self Peer, store *Store, opts ...ExchangeOption) *Exchange {
	e := &Exchange{
		self:   self,
		store:  store,
		fresh:  func() (time.Duration, bool) { return 0, false },
		result: func(ExchangeResult) {},
		asked:  make(map[key]ask),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Request returns the regular request to peer: digest, heartbeats and recent
// changes.
func (e *Exchange) Request(peer Peer) *rattanv1.SyncRequest {
	request := e.newRequest()
	request.Digest = e.store.Digest()
	if e.volatile != nil {
		request.Records = appendWire(request.Records, e.volatile.Outgoing(peer))
	}
	request.Records = appendWire(request.Records, e.store.takeRecent(recentBytes))
	return request
}

// Push returns a request with urgent changes, nil when there are none. Its
// digest is 0, which says that its versions are announcements.
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

// HandleRequest takes a request and returns the response.
func (e *Exchange) HandleRequest(request *rattanv1.SyncRequest) *rattanv1.SyncResponse {
	peer := Peer{
		VM:            request.GetFromVm(),
		Incarnation:   request.GetFromIncarnation(),
		FailureDomain: request.GetFromFailureDomain(),
	}
	volatile, control := e.take(request.GetRecords())
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
	age, known := e.fresh()
	response.FreshAgeMs, response.FreshKnown = uint64(age.Milliseconds()), known
	return response
}

// HandleResponse takes the response of a request that was sent at that time and returns
// the request that follows it in the same exchange, nil when there is none.
func (e *Exchange) HandleResponse(request *rattanv1.SyncRequest, response *rattanv1.SyncResponse, sent time.Time) *rattanv1.SyncRequest {
	volatile, control := e.take(response.GetRecords())
	if e.volatile != nil && len(volatile) > 0 {
		e.volatile.Merge(volatile)
	}
	e.result(ExchangeResult{
		VM:            response.GetFromVm(),
		FailureDomain: response.GetFromFailureDomain(),
		SentAt:        sent,
		FreshAge:      time.Duration(response.GetFreshAgeMs()) * time.Millisecond,
		FreshKnown:    response.GetFreshKnown(),
		InSync:        response.GetDigest() == e.store.Digest(),
	})
	if len(response.GetWanted()) > 0 {
		return e.wanted(response.GetWanted())
	}
	if control.buckets != nil {
		return e.versions(control.buckets)
	}
	if request.GetDigest() == 0 || !e.repairDue(response.GetDigest()) {
		return nil
	}
	next := e.newRequest()
	next.Records = append(next.Records, e.bucketsRecord().Wire())
	return next
}

// repairDue reports whether versions have to be compared with a peer of that
// digest now. A new daemon compares at its first exchange.
func (e *Exchange) repairDue(digest uint64) bool {
	if digest == e.store.Digest() {
		return false
	}
	changed := e.store.lastChange()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.store.clock.Now()
	pause := rattanclock.Elapsed(e.repaired, now)
	quiet := rattanclock.Elapsed(changed, now) >= repairInterval
	if pause < repairInterval || (!quiet && pause < repairOverdue) {
		return false
	}
	e.repaired = now
	return true
}

// shouldAsk reports whether a record that a peer has is to be asked for, and
// notes that it is.
func (e *Exchange) shouldAsk(record Record) bool {
	if !e.store.lacks(record) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.store.clock.Now()
	last, ok := e.asked[record.key()]
	if ok && record.Compare(last.record) <= 0 && rattanclock.Elapsed(last.at, now) < askInterval {
		return false
	}
	for k, old := range e.asked {
		if rattanclock.Elapsed(old.at, now) >= askInterval {
			delete(e.asked, k)
		}
	}
	e.asked[record.key()] = ask{record: record, at: now}
	return true
}

type control struct {
	buckets []byte
	mask    uint64
}

// take offers records to the store and returns the volatile ones, those for
// Exchange itself apart.
func (e *Exchange) take(records []*rattanv1.Record) ([]Record, control) {
	var volatile, stored []Record
	var own control
	for _, wire := range records {
		record := RecordFromWire(wire)
		switch {
		case record.Kind == rattanv1.RecordKind_RECORD_KIND_UNSPECIFIED:
			own.add(record)
		case record.volatile():
			volatile = append(volatile, record)
		default:
			stored = append(stored, record)
		}
	}
	if len(stored) > 0 {
		e.store.Merge(stored...)
	}
	return volatile, own
}

func (c *control) add(record Record) {
	switch {
	case record.Name == bucketsName && len(record.Value) == 4*bucketCount:
		c.buckets = record.Value
	case record.Name == maskName && len(record.Value) == 8:
		c.mask = binary.BigEndian.Uint64(record.Value)
	}
}

func (e *Exchange) bucketsRecord() Record {
	digests := e.store.bucketDigests()
	value := make([]byte, 0, 4*bucketCount)
	for _, digest := range digests {
		value = binary.BigEndian.AppendUint32(value, uint32(digest))
	}
	return Record{Name: bucketsName, Value: value}
}

// versions returns a request with the versions in all buckets that differ from
// the peer's, nil when none does.
func (e *Exchange) versions(buckets []byte) *rattanv1.SyncRequest {
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

// compare returns the records that are newer than the listed versions, among
// them those of the masked buckets that are not listed, and the listed versions
// that are newer than this daemon's records.
func (e *Exchange) compare(versions []*rattanv1.RecordVersion, mask uint64) (newer []Record, wanted []*rattanv1.RecordVersion) {
	listed := make(map[key]Record, len(versions))
	for _, version := range versions {
		record := Record{Kind: version.GetKind(), Name: version.GetName(), Epoch: version.GetEpoch(), Version: version.GetVersion()}
		listed[record.key()] = record
		if e.shouldAsk(record) {
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
	return page(candidates), wanted
}

// wanted returns a request with the records that a peer lacks.
func (e *Exchange) wanted(versions []*rattanv1.RecordVersion) *rattanv1.SyncRequest {
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
	request.Records = appendWire(nil, page(records))
	return request
}

// page cuts records to pageBytes, at least one.
func page(records []Record) []Record {
	size := 0
	for i, record := range records {
		size += record.wireBytes()
		if size > pageBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

func appendWire(wire []*rattanv1.Record, records []Record) []*rattanv1.Record {
	for _, record := range records {
		wire = append(wire, record.Wire())
	}
	return wire
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
}
