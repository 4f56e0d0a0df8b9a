// Package rattanlineserver is a stand-in for the user's databases in tests: a group
// of endpoints that serve the line protocol, with asynchronous replication, terms
// and a connection limit.
package rattanlineserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// commit is one write in the log of an endpoint.
type commit struct {
	// term and number are the position of the commit.
	term, number uint64
	item, data   string
	at           time.Time
}

// A Group is one service with its endpoints. It is safe for concurrent use.
type Group struct {
	name string
	lag  time.Duration

	mu          sync.Mutex
	term        uint64
	primary     string
	endpoints   map[string]*Endpoint
	writeCounts map[string]int
	// arrivals has the statements that have reached an endpoint, by their ids, with how often
	// they have.
	arrivals map[string]map[Arrival]int
	// signed has the signed answers by their signatures.
	signed map[string]SignedAnswer
	// deposedWrites counts the writes that ran at deposed primaries.
	deposedWrites int
	// transactions counts the transactions that were begun.
	transactions int
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int
	// promotes has the logs of the promoted endpoints, in order.
	promotes []PromotedLog
	// leftOut has the data that a promoted log lacked and another one held.
	leftOut map[string]bool
}

// NewGroup returns a group whose replicas apply each commit after lag.
func NewGroup(name string, lag time.Duration) *Group {
	return &Group{
		name: name, lag: lag, term: 1, endpoints: make(map[string]*Endpoint), writeCounts: make(map[string]int),
		arrivals: make(map[string]map[Arrival]int), signed: make(map[string]SignedAnswer),
		leftOut: make(map[string]bool),
	}
}

// An Endpoint is one instance of a group.
type Endpoint struct {
	group    *Group
	id       string
	maxConns int
	listener net.Listener

	// The fields below are guarded by the group's mutex.
	log    []commit
	conns  map[net.Conn]struct{}
	isDown bool
	// delay is how long a statement takes.
	delay time.Duration
	// isCut is true while the endpoint is partitioned from everything, isDeaf while it
	// receives no commits.
	isCut, isDeaf bool
	// startedUnixMS is the start of its process, as it reports it.
	startedUnixMS int64
	// deposedTerm is the ended term that a deposed primary goes on to lead, 0 for all other
	// endpoints.
	deposedTerm uint64
	tenants     map[string]int
	opened      int
	// started counts the requests that began to run: single statements and transactions.
	started       int
	lostResponses int
	// faults are the answers that go wrong, chosen with random.
	faults AnswerFaults
	random *rand.Rand
	// reports counts the entries that the endpoint has published.
	reports int
	// closesAt is when the endpoint stops expecting new statements, zero for never;
	// late holds the arrivals of those that came later.
	closesAt time.Time
	late     []time.Time
}

// Add starts an endpoint on a loopback address; the first one is the primary.
func (g *Group) Add(id string, maxConns int) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		group: g, id: id, maxConns: maxConns, listener: listener,
		conns: make(map[net.Conn]struct{}), tenants: make(map[string]int), startedUnixMS: 1,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints[id] = e
	if g.primary == "" {
		g.primary = id
	}
	go e.serve(listener)
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Entry returns the next entry that the endpoint publishes in the platform's store.
func (e *Endpoint) Entry(domain, state string) map[string]any {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	role := "replica"
	if e.isPrimary() {
		role = "primary"
	}
	e.reports++
	return map[string]any{
		"service": e.group.name, "address": e.Address(), "zone": domain, "version": "v1", "slots": 3,
		"state": state, "cold_left_ms": 0, "db_role": role, "born": e.startedUnixMS, "seq": e.reports,
	}
}

// Crash stops the endpoint and closes all its connections.
func (e *Endpoint) Crash() {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.isDown = true
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// SetDelay makes each later statement take a time.
func (e *Endpoint) SetDelay(delay time.Duration) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.delay = delay
}

// pause waits as long as a statement takes.
func (e *Endpoint) pause() {
	e.group.mu.Lock()
	delay := e.delay
	e.group.mu.Unlock()
	time.Sleep(delay)
}

// LoseAnswers makes the endpoint run the next n statements that occupy a slot, such
// as reads and writes, without sending a response.
func (e *Endpoint) LoseAnswers(n int) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.lostResponses = n
}

// CloseToNew makes the endpoint record the new statements that arrive after a time.
// A statement of an open transaction is not new. The zero time ends that.
func (e *Endpoint) CloseToNew(at time.Time) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.closesAt = at
}

// Late returns when new statements arrived after the times set with CloseToNew.
func (e *Endpoint) Late() []time.Time {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return slices.Clone(e.late)
}

// recordNew records the arrival of a new statement. The caller holds the group's mutex.
func (e *Endpoint) recordNew() {
	e.started++
	if now := time.Now(); !e.closesAt.IsZero() && now.After(e.closesAt) {
		e.late = append(e.late, now)
	}
}

// Started returns how many requests began to run at the group's endpoints so far: single
// statements and transactions.
func (g *Group) Started() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	started := 0
	for _, e := range g.endpoints {
		started += e.started
	}
	return started
}

// Opened returns how many sessions have been opened at the endpoint so far.
func (e *Endpoint) Opened() int {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.opened
}

// Tenants returns how many sessions each client account has opened at the endpoint
// so far.
func (e *Endpoint) Tenants() map[string]int {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	tenants := make(map[string]int, len(e.tenants))
	for name, count := range e.tenants {
		tenants[name] = count
	}
	return tenants
}

// Promote makes an endpoint the primary of the next term, and the others take over
// its log. It returns false when the endpoint does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[id]
	if !ok || e.isDown {
		return false
	}
	if g.primary == id {
		return true
	}
	if old := g.endpoints[g.primary]; old.isCut {
		old.deposedTerm = g.term
	}
	g.promotes = append(g.promotes, g.promotedLog(e))
	g.term++
	g.primary, e.deposedTerm = id, 0
	for _, other := range g.endpoints {
		if !other.isCut && !other.isDown && !other.isDeaf {
			other.follow()
		}
	}
	return true
}

// Primary returns the id of the primary.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Runs returns how often a write of the data has taken effect.
func (g *Group) Runs(data string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writeCounts[data]
}

// write commits at a primary and sends the commit to the replicas. It returns false when
// fewer replicas than are needed for an acknowledgement have received it. The caller holds the
// group's mutex.
func (e *Endpoint) write(item, data string) bool {
	next := commit{term: e.term(), number: 1, item: item, data: data, at: time.Now()}
	if n := len(e.log); n > 0 {
		next.number = e.log[n-1].number + 1
	}
	e.group.writeCounts[data]++
	if e.deposedTerm != 0 {
		e.group.deposedWrites++
		e.log = append(e.log, next)
		return e.group.syncReplicas == 0
	}
	received := 0
	for _, other := range e.group.endpoints {
		if other == e || !other.isDown && !other.isCut && !other.isDeaf && other.deposedTerm == 0 {
			other.log = append(other.log, next)
			received++
		}
	}
	return received > e.group.syncReplicas
}

// applied returns the commits that the endpoint has applied: all on the primary, on
// a replica those older than the lag. The caller holds the group's mutex.
func (e *Endpoint) applied() []commit {
	if e.isPrimary() {
		return e.log
	}
	cutoff := time.Now().Add(-e.group.lag)
	n := 0
	for n < len(e.log) && !e.log[n].at.After(cutoff) {
		n++
	}
	return e.log[:n]
}

// position returns the term and number of the last position that the endpoint has
// applied.
func (e *Endpoint) position() (uint64, uint64) {
	applied := e.applied()
	number := uint64(0)
	if n := len(applied); n > 0 {
		number = applied[n-1].number
	}
	if e.isPrimary() {
		return e.term(), number
	}
	if n := len(applied); n > 0 {
		return applied[n-1].term, number
	}
	return 1, 0
}

func (e *Endpoint) read(item string) string {
	value := "none"
	for _, c := range e.applied() {
		if c.item == item {
			value = c.data
		}
	}
	return value
}

// positionText returns the position as the protocol writes it.
func (e *Endpoint) positionText() string {
	term, number := e.position()
	return fmt.Sprintf("%d.%d", term, number)
}
