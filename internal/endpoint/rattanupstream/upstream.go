// Package rattanupstream manages this daemon's connections to one endpoint and
// records the endpoint's position, latency and reachability.
package rattanupstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// connectTimeout limits the opening of a TCP connection; endpoints are about a
	// millisecond away.
	connectTimeout = 300 * time.Millisecond
	// openTimeout limits the opening of a session, which waits for a slot.
	openTimeout = 600 * time.Millisecond
	// refusedPause is the wait before another attempt to open a connection after the
	// endpoint refused one because it has too many.
	refusedPause = 30 * time.Millisecond
)

// Errors of Acquire. No statement has been sent to the endpoint after any of them.
var (
	// ErrOverloaded says that no connection is available before the deadline.
	ErrOverloaded = errors.New("no connection to the endpoint before the deadline")
	// ErrUnreachable says that the endpoint does not answer.
	ErrUnreachable = errors.New("the endpoint does not answer")
	// ErrWrongEndpoint says that another endpoint answers at the address.
	ErrWrongEndpoint = errors.New("another endpoint answers at the address")
	// ErrLeaving says that the endpoint goes out of service and gets no new statements.
	ErrLeaving = errors.New("the endpoint goes out of service and gets no new statements")
)

// DialFunc connects to an address (host:port) within a timeout.
type DialFunc func(address string, timeout time.Duration) (Conn, error)

// An Upstream is one endpoint with this daemon's connections to it. It is safe for
// concurrent use.
type Upstream struct {
	clock  rattanclock.Clock
	dial   DialFunc
	grants Grants
	// count adds one to a counter.
	count func(name string)

	isOpeningAhead atomic.Bool
	// runs is nil unless the runs of callers' requests are counted.
	runs RunCounter
	// untrusted is nil unless untrusted answers are observed.
	untrusted AnswerObserver

	mu       sync.Mutex
	endpoint rattancatalog.Endpoint
	queue    *rattanadmission.Queue[*PooledConn]
	// knownPosition is the highest position that the endpoint is known to hold.
	knownPosition rattanmodel.Position
	// knownAt is when an answer last showed it.
	knownAt time.Time
	// answers are the times and failures of the endpoint's last answers.
	answers rattanoutlier.Answers
	// fullUntil is the end of the pause after the endpoint refused a connection
	// because it has too many.
	fullUntil time.Time
	// refusedAt is when the endpoint last refused one for that reason.
	refusedAt time.Time
	// newStatementsUntil is when the endpoint stops getting new statements, zero while
	// it stays in service.
	newStatementsUntil time.Time
	reachability       reachability
	// isSweeping is true while sweep runs.
	isSweeping bool
	isClosed   bool
}

// New returns the Upstream of an endpoint. Count adds one to a counter. OnReachabilityChange is called when the
// endpoint becomes unreachable or reachable again.
func New(clock rattanclock.Clock, dial DialFunc, grants Grants, endpoint rattancatalog.Endpoint, limits rattanadmission.Limits, count func(name string), onReachabilityChange func()) *Upstream {
	return &Upstream{
		clock: clock, dial: dial, grants: grants, count: count, endpoint: endpoint,
		queue:        rattanadmission.New[*PooledConn](limits),
		reachability: newReachability(onReachabilityChange),
	}
}

// Endpoint returns the endpoint's catalog entry.
func (u *Upstream) Endpoint() rattancatalog.Endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoint
}

// Update replaces the catalog entry and the limits.
func (u *Upstream) Update(endpoint rattancatalog.Endpoint, limits rattanadmission.Limits) {
	closeAll(u.update(endpoint, limits))
}

func (u *Upstream) update(endpoint rattancatalog.Endpoint, limits rattanadmission.Limits) []*PooledConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	// What was observed before a restart of the endpoint no longer holds.
	if endpoint.StartedUnixMS != u.endpoint.StartedUnixMS {
		u.knownPosition, u.answers = rattanmodel.Position{}, rattanoutlier.Answers{}
	}
	u.endpoint = endpoint
	return u.queue.SetLimits(limits, u.clock.Now())
}

// observeAnswer records the position in an answer and that the endpoint is reachable.
func (u *Upstream) observeAnswer(result rattanstatement.Result) {
	u.observeTerm(result)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observePosition(result.Position)
	u.reachability.markReachable()
}

// An AcquireRequest is a request for a connection.
type AcquireRequest struct {
	// Account is the client account, empty on routes open to all.
	Account string
	// Kind is by what the cost of the request is learnt.
	Kind rattanwork.Kind
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is the end of the latency objective. After Deadline the answer is of
	// no use.
	Objective, Deadline time.Time
	// Waited is how long the caller has waited before this request.
	Waited time.Duration
}

// waiter returns the request as one to the queue.
func (r AcquireRequest) waiter() *rattanadmission.Waiter[*PooledConn] {
	return &rattanadmission.Waiter[*PooledConn]{
		Account: r.Account, Kind: r.Kind, Priority: r.Priority, Objective: r.Objective, Deadline: r.Deadline, Waited: r.Waited,
	}
}

// ObserveForwarded records the position in an answer of the endpoint that came through
// another daemon, the endpoint's connection owner.
func (u *Upstream) ObserveForwarded(result rattanstatement.Result) {
	u.observeTerm(result)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observePosition(result.Position)
}

// observeTerm records the term of the position in an answer.
func (u *Upstream) observeTerm(result rattanstatement.Result) {
	if u.grants.ObserveTerm(u.Endpoint().Group, result.Position.Term) {
		u.count(CountNewerTerm)
	}
}

// observePosition records the position in an answer. The caller holds u.mu.
func (u *Upstream) observePosition(position rattanmodel.Position) {
	if position != (rattanmodel.Position{}) && position.Compare(u.knownPosition) >= 0 {
		u.knownPosition, u.knownAt = position, u.clock.Now()
	}
}

// Acquire returns a connection. It waits for one until the deadline. As soon as none is
// expected in time, it returns an *OverloadedError.
func (u *Upstream) Acquire(request AcquireRequest) (*PooledConn, error) {
	w := request.waiter()
	if err := u.wait(w); err != nil {
		return nil, err
	}
	assignedAt := u.clock.Now()
	if evicted := w.Assignment.Evict; evicted != nil {
		u.count(CountEvicted)
		_ = evicted.conn.Close()
	}
	if pooled := w.Assignment.Conn; pooled != nil {
		if pooled.isUsable(request) {
			pooled.begin(request, assignedAt)
			return pooled, nil
		}
		_ = pooled.conn.Close()
	}
	u.count(CountOpened)
	pooled, err := u.open(request.Account, request.Deadline)
	if err != nil {
		return nil, err
	}
	pooled.begin(request, assignedAt)
	return pooled, nil
}

func (u *Upstream) wait(w *rattanadmission.Waiter[*PooledConn]) error {
	now := u.clock.Now()
	u.mu.Lock()
	if u.isClosed || u.reachability.isSuspect() {
		u.mu.Unlock()
		return ErrUnreachable
	}
	outcome := u.queue.Request(w, now)
	unreachable := u.reachability.unreachable
	if outcome == rattanadmission.Queued && !u.isSweeping {
		u.isSweeping = true
		go u.sweep()
	}
	u.mu.Unlock()
	switch outcome {
	case rattanadmission.Assigned:
		return nil
	case rattanadmission.Refused:
		return u.overloaded(w.Refusal)
	}
	err := u.awaitReady(w, unreachable)
	u.mu.Lock()
	isCancelled := u.queue.Cancel(w)
	u.mu.Unlock()
	switch {
	case isCancelled:
		return err
	case w.Refusal != nil:
		return u.overloaded(w.Refusal)
	default:
		return nil
	}
}

// awaitReady waits until a request has its decision. It returns an error when the
// endpoint becomes unreachable or the deadline passes before.
func (u *Upstream) awaitReady(w *rattanadmission.Waiter[*PooledConn], unreachable <-chan struct{}) error {
	select {
	case <-w.Ready:
		return nil
	case <-unreachable:
		return ErrUnreachable
	case <-u.clock.After(w.Deadline.Sub(u.clock.Now())):
		return u.overloaded(&rattanwork.Refusal{Reason: "waited in vain"})
	}
}

// Release returns a connection to the queue after use. It closes the connection that the
// queue no longer has a place for, if any, and one whose answers cannot be trusted any more.
func (u *Upstream) Release(pooled *PooledConn) {
	if pooled.conn.distrust != "" {
		u.Discard(pooled)
		return
	}
	u.putBack(pooled, u.queue.Release)
}

// putBack gives an idle connection to the queue by one of its methods, which returns the
// connection that it has no place for, if any. That one is closed.
func (u *Upstream) putBack(pooled *PooledConn, put func(conn *PooledConn, account string, now time.Time) (*PooledConn, bool)) {
	now := u.clock.Now()
	u.mu.Lock()
	surplus, isSurplus := pooled, true
	if !u.isClosed {
		surplus, isSurplus = put(pooled, pooled.account, now)
	}
	if isSurplus {
		u.queue.Closed(now)
	}
	u.mu.Unlock()
	if isSurplus {
		u.count(CountSurplus)
		_ = surplus.conn.Close()
	}
}

// Discard closes a connection that failed or whose state is unknown.
func (u *Upstream) Discard(pooled *PooledConn) {
	u.count(CountDiscarded)
	_ = pooled.conn.Abort()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.Lost(pooled.account, u.clock.Now())
}

// Close closes all idle connections and marks the endpoint as unreachable. The other
// connections are closed when they are released.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.isClosed = true
	idle := u.queue.TakeIdle()
	u.reachability.markUnreachable()
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*PooledConn) {
	for _, pooled := range conns {
		_ = pooled.conn.Close()
	}
}
