// Package rattanupstream manages this daemon's connections to one endpoint and
// records the endpoint's position, latency and reachability.
package rattanupstream

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
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
	// newStatementsUntil is when the endpoint stops getting new statements, zero while
	// it stays in service.
	newStatementsUntil time.Time
	reachability       reachability
	isClosed           bool
}

// New returns the Upstream of an endpoint. OnReachabilityChange is called when the
// endpoint becomes unreachable or reachable again.
func New(clock rattanclock.Clock, dial DialFunc, grants Grants, endpoint rattancatalog.Endpoint, limits rattanadmission.Limits, onReachabilityChange func()) *Upstream {
	return &Upstream{
		clock: clock, dial: dial, grants: grants, endpoint: endpoint,
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
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observePosition(result.Position)
	u.reachability.markReachable()
}

// An AcquireRequest is a request for a connection.
type AcquireRequest struct {
	// Account is the client account, empty on routes open to all.
	Account string
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is the end of the latency objective. After Deadline the answer is of
	// no use.
	Objective, Deadline time.Time
}

// ObserveForwarded records the position in an answer of the endpoint that came through
// another daemon, the endpoint's connection owner.
func (u *Upstream) ObserveForwarded(result rattanstatement.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observePosition(result.Position)
}

// observePosition records the position in an answer. The caller holds u.mu.
func (u *Upstream) observePosition(position rattanmodel.Position) {
	if position != (rattanmodel.Position{}) && position.Compare(u.knownPosition) >= 0 {
		u.knownPosition, u.knownAt = position, u.clock.Now()
	}
}

// Acquire returns a connection. It waits for one until the deadline. When none is
// expected in time, it returns ErrOverloaded at once.
func (u *Upstream) Acquire(request AcquireRequest) (*PooledConn, error) {
	account, deadline := request.Account, request.Deadline
	w := &rattanadmission.Waiter[*PooledConn]{
		Account: account, Priority: request.Priority, Objective: request.Objective, Deadline: deadline,
	}
	if err := u.wait(w); err != nil {
		return nil, err
	}
	if evicted := w.Assignment.Evict; evicted != nil {
		_ = evicted.conn.Close()
	}
	if pooled := w.Assignment.Conn; pooled != nil {
		if !pooled.conn.IsStale() {
			pooled.acquiredAt = u.clock.Now()
			return pooled, nil
		}
		_ = pooled.conn.Close()
	}
	return u.open(account, deadline)
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
	u.mu.Unlock()
	switch outcome {
	case rattanadmission.Assigned:
		return nil
	case rattanadmission.Refused:
		return u.overloaded("refused at once")
	}
	var failed error
	select {
	case <-w.Ready:
		return nil
	case <-unreachable:
		failed = ErrUnreachable
	case <-u.clock.After(w.Deadline.Sub(now)):
		failed = u.overloaded("waited in vain")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.queue.Cancel(w) {
		return failed
	}
	return nil
}

// overloaded returns ErrOverloaded with the reason and the state of the queue.
func (u *Upstream) overloaded(reason string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := u.queue.Limits()
	return errors.Wrapf(ErrOverloaded, "%s: %d of %d connections, %d of %d busy, %d in transactions, %d waiting",
		reason, u.queue.Connections(), limits.Connections, u.queue.Busy(), limits.InFlight, u.queue.Pinned(), u.queue.Waiting())
}

// open opens a connection for which the queue has reserved a place. The place is
// freed if that fails.
func (u *Upstream) open(account string, deadline time.Time) (*PooledConn, error) {
	pooled, err := u.tryOpen(account, deadline)
	if err != nil {
		u.mu.Lock()
		u.queue.Closed(u.clock.Now())
		u.mu.Unlock()
		return nil, err
	}
	return pooled, nil
}

func (u *Upstream) tryOpen(account string, deadline time.Time) (*PooledConn, error) {
	endpoint := u.Endpoint()
	for {
		now := u.clock.Now()
		if !now.Before(deadline) {
			return nil, ErrOverloaded
		}
		conn, err := u.dial(endpoint.Address, min(connectTimeout, deadline.Sub(now)))
		if err != nil {
			u.startProbing()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		if err := conn.SetDeadline(now.Add(min(openTimeout, deadline.Sub(now)))); err != nil {
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		result, err := conn.Open(endpoint.Group, account, endpoint.ID)
		switch {
		case err != nil:
			_ = conn.Abort()
			u.startProbing()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		case result.OK():
			u.observeAnswer(result)
			return &PooledConn{upstream: u, conn: conn, account: account, acquiredAt: u.clock.Now()}, nil
		}
		_ = conn.Close()
		if err := u.refused(result, deadline); err != nil {
			return nil, err
		}
	}
}

// refused waits for refusedPause after the endpoint refused a connection because it
// has too many, and closes idle connections. It returns the error for any other
// refusal, or when the pause would reach beyond the deadline.
func (u *Upstream) refused(result rattanstatement.Result, deadline time.Time) error {
	switch result.Code {
	case rattanstatement.WrongEndpoint:
		return ErrWrongEndpoint
	case rattanstatement.TooManyConnections, rattanstatement.Busy:
		u.mu.Lock()
		u.fullUntil = u.clock.Now().Add(refusedPause)
		idle := u.queue.TakeIdle()
		u.mu.Unlock()
		closeAll(idle)
		if u.clock.Now().Add(refusedPause).After(deadline) {
			return ErrOverloaded
		}
		<-u.clock.After(refusedPause)
		return nil
	default:
		return errors.Wrapf(ErrUnreachable, "the endpoint refused the session: %s", result.Code)
	}
}

// Release returns a connection to the queue after use.
func (u *Upstream) Release(pooled *PooledConn) {
	u.releaseWithServiceTime(pooled, u.clock.Now().Sub(pooled.acquiredAt))
}

// meanServiceTime returns the mean time that a request holds a connection. It stands
// for the time of a connection that a transaction held, since the duration of a
// transaction says nothing about the time of a request.
func (u *Upstream) meanServiceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.ServiceTime()
}

// releaseWithServiceTime returns a connection to the queue, with the time that counts
// for the queue's mean service time. It closes the connection that the queue no
// longer has a place for, if any.
func (u *Upstream) releaseWithServiceTime(pooled *PooledConn, serviceTime time.Duration) {
	now := u.clock.Now()
	u.mu.Lock()
	surplus, isSurplus := pooled, true
	if !u.isClosed {
		surplus, isSurplus = u.queue.Release(pooled, pooled.account, serviceTime, now)
	}
	if isSurplus {
		u.queue.Closed(now)
	}
	u.mu.Unlock()
	if isSurplus {
		_ = surplus.conn.Close()
	}
}

// Discard closes a connection that failed or whose state is unknown.
func (u *Upstream) Discard(pooled *PooledConn) {
	_ = pooled.conn.Abort()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.Closed(u.clock.Now())
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

// A State is the state of an upstream for dumps.
type State struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`
	Busy        int    `json:"busy"`
	Waiting     int    `json:"waiting"`
	Position    string `json:"position"`
	IsSuspect   bool   `json:"suspect"`
	AcceptsNew  bool   `json:"accepts_new"`
}

// State returns the current state.
func (u *Upstream) State() State {
	acceptsNew := u.AcceptsNewStatements()
	u.mu.Lock()
	defer u.mu.Unlock()
	return State{
		ID: u.endpoint.ID, Address: u.endpoint.Address,
		Connections: u.queue.Connections(), Limit: u.queue.Limits().Connections, Busy: u.queue.Busy(), Waiting: u.queue.Waiting(),
		Position: u.knownPosition.String(), IsSuspect: u.reachability.isSuspect(),
		AcceptsNew: acceptsNew,
	}
}
