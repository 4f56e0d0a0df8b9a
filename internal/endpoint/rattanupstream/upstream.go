// Package rattanupstream holds this daemon's connections to one endpoint and
// what it knows of the endpoint's state.
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
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
)

const (
	// connectTimeout limits the TCP connection to an endpoint a millisecond away.
	connectTimeout = 300 * time.Millisecond
	// openTimeout limits the opening of a session, which waits for a slot.
	openTimeout = 600 * time.Millisecond
	// latencySmoothing is the weight of a new measurement in the mean latency.
	latencySmoothing = 0.15
	// idleLatencyHalving is after how long without requests the mean latency is
	// halved, so that an endpoint that was slow is tried again.
	idleLatencyHalving = 500 * time.Millisecond
	// refusedPause is how long no new connection is opened after the endpoint
	// said that it has too many.
	refusedPause = 30 * time.Millisecond
)

// Errors of Acquire. None of them has sent anything to the endpoint.
var (
	// ErrOverloaded says that no connection can be had before the deadline.
	ErrOverloaded = errors.New("no connection to the endpoint before the deadline")
	// ErrUnreachable says that the endpoint does not answer.
	ErrUnreachable = errors.New("the endpoint does not answer")
	// ErrWrongEndpoint says that another endpoint answers at the address.
	ErrWrongEndpoint = errors.New("another endpoint answers at the address")
)

// DialFunc connects to an address (host:port) within a timeout.
type DialFunc func(address string, timeout time.Duration) (Conn, error)

// An Upstream is one endpoint as this daemon sees it. It is safe for concurrent use.
type Upstream struct {
	clock  rattanclock.Clock
	dial   DialFunc
	grants Grants

	mu       sync.Mutex
	endpoint rattancatalog.Endpoint
	queue    *rattanadmission.Queue[*PooledConn]
	held     rattanmodel.Position
	behind   rattanmodel.Position
	// behindSince is when the endpoint last lacked behind.
	behindSince time.Time
	behindCount int
	latency     time.Duration
	latencyAt   time.Time
	fullUntil   time.Time
	reach       reach
	isClosed    bool
}

// New returns the Upstream of an endpoint. OnReach is called when it stops or
// begins again to answer.
func New(clock rattanclock.Clock, dial DialFunc, grants Grants, endpoint rattancatalog.Endpoint, limits rattanadmission.Limits, onReach func()) *Upstream {
	return &Upstream{
		clock: clock, dial: dial, grants: grants, endpoint: endpoint,
		queue: rattanadmission.New[*PooledConn](limits),
		reach: newReach(onReach),
	}
}

// Endpoint returns the endpoint's entry.
func (u *Upstream) Endpoint() rattancatalog.Endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoint
}

// Update replaces the entry and the limits.
func (u *Upstream) Update(endpoint rattancatalog.Endpoint, limits rattanadmission.Limits) {
	closeAll(u.update(endpoint, limits))
}

func (u *Upstream) update(endpoint rattancatalog.Endpoint, limits rattanadmission.Limits) []*PooledConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if endpoint.StartedUnixMS != u.endpoint.StartedUnixMS {
		u.held, u.behind, u.behindSince = rattanmodel.Position{}, rattanmodel.Position{}, time.Time{}
	}
	u.endpoint = endpoint
	return u.queue.SetLimits(limits, u.clock.Now())
}

// Candidate returns what placement needs to know of the endpoint.
func (u *Upstream) Candidate() rattanplacement.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return rattanplacement.Candidate{
		ID:            u.endpoint.ID,
		IsSuspect:     u.reach.isSuspect(),
		Wait:          u.queue.ExpectedWait() + u.currentLatency(),
		Behind:        u.behind,
		BehindSince:   u.behindSince,
		BehindCount:   u.behindCount,
		KnownPosition: u.held,
	}
}

// currentLatency fades the mean latency while nothing is measured.
func (u *Upstream) currentLatency() time.Duration {
	halvings := u.clock.Now().Sub(u.latencyAt) / idleLatencyHalving
	return u.latency >> min(uint(halvings), 20)
}

// ObserveBehind records that the endpoint lacked a position.
func (u *Upstream) ObserveBehind(position rattanmodel.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behind, u.behindSince = position, u.clock.Now()
	u.behindCount++
}

// noteAnswer records what an answer tells of the endpoint.
func (u *Upstream) noteAnswer(result rattanstatement.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held = result.Position.Max(u.held)
	if result.OK() && len(result.Rows) > 0 {
		u.behindCount = 0
	}
	u.reach.noteAnswer()
}

// A AcquireRequest is a request for a connection.
type AcquireRequest struct {
	// Account is the client account, empty on routes open to all.
	Account string
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is until when an answer is in time, Deadline until when it is of
	// any use.
	Objective, Deadline time.Time
}

// ObserveForwarded records what the answer to a read through another daemon tells
// of the endpoint.
func (u *Upstream) ObserveForwarded(result rattanstatement.Result, floor rattanmodel.Position, latency time.Duration) {
	u.mu.Lock()
	u.held = result.Position.Max(u.held)
	if result.OK() {
		u.behindCount = 0
	}
	u.mu.Unlock()
	u.ObserveLatency(latency)
	if result.Code == rattanstatement.Behind {
		u.ObserveBehind(floor)
	}
}

// Acquire returns a connection. It waits for one until the deadline and is
// refused at once when that would be too late.
func (u *Upstream) Acquire(claim AcquireRequest) (*PooledConn, error) {
	account, deadline := claim.Account, claim.Deadline
	w := &rattanadmission.Waiter[*PooledConn]{
		Account: account, Priority: claim.Priority, Objective: claim.Objective, Deadline: deadline,
	}
	if err := u.wait(w); err != nil {
		return nil, err
	}
	if evicted := w.Assignment.Evict; evicted != nil {
		_ = evicted.conn.Close()
	}
	if channel := w.Assignment.Conn; channel != nil {
		if !channel.conn.IsStale() {
			channel.taken = u.clock.Now()
			return channel, nil
		}
		_ = channel.conn.Close()
	}
	return u.open(account, deadline)
}

func (u *Upstream) wait(w *rattanadmission.Waiter[*PooledConn]) error {
	now := u.clock.Now()
	u.mu.Lock()
	if u.isClosed || u.reach.isSuspect() {
		u.mu.Unlock()
		return ErrUnreachable
	}
	outcome := u.queue.Request(w, now)
	lost := u.reach.lost
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
	case <-lost:
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

// overloaded returns ErrOverloaded with the state of the queue.
func (u *Upstream) overloaded(how string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := u.queue.Limits()
	return errors.Wrapf(ErrOverloaded, "%s: %d of %d connections, %d of %d busy, %d in transactions, %d waiting",
		how, u.queue.Connections(), limits.Connections, u.queue.Busy(), limits.InFlight, u.queue.Pinned(), u.queue.Waiting())
}

// open opens a connection in a place of the queue that is already reserved.
func (u *Upstream) open(account string, deadline time.Time) (*PooledConn, error) {
	channel, err := u.tryOpen(account, deadline)
	if err != nil {
		u.mu.Lock()
		u.queue.Closed(u.clock.Now())
		u.mu.Unlock()
		return nil, err
	}
	return channel, nil
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
			u.noteFailure()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		if err := conn.SetDeadline(now.Add(min(openTimeout, deadline.Sub(now)))); err != nil {
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		result, err := conn.Open(endpoint.Group, account, endpoint.ID)
		switch {
		case err != nil:
			_ = conn.Abort()
			u.noteFailure()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		case result.OK():
			u.noteAnswer(result)
			return &PooledConn{upstream: u, conn: conn, account: account, taken: u.clock.Now()}, nil
		}
		_ = conn.Close()
		if err := u.refused(result, deadline); err != nil {
			return nil, err
		}
	}
}

// refused waits a moment after the endpoint refused a connection because it has
// too many, or returns the error for another refusal.
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

// Release gives a connection back after use.
func (u *Upstream) Release(channel *PooledConn) {
	u.giveBack(channel, u.clock.Now().Sub(channel.taken))
}

// meanService is the time that a released connection counts for when it was held
// by a transaction, which says nothing of the time of a request.
func (u *Upstream) meanService() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.ServiceTime()
}

func (u *Upstream) giveBack(channel *PooledConn, held time.Duration) {
	now := u.clock.Now()
	u.mu.Lock()
	surplus, isSurplus := channel, true
	if !u.isClosed {
		surplus, isSurplus = u.queue.Release(channel, channel.account, held, now)
	}
	if isSurplus {
		u.queue.Closed(now)
	}
	u.mu.Unlock()
	if isSurplus {
		_ = surplus.conn.Close()
	}
}

// ObserveLatency records the time from the request for a connection to the answer.
func (u *Upstream) ObserveLatency(latency time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latency = u.currentLatency()
	u.latency += time.Duration(latencySmoothing * float64(latency-u.latency))
	u.latencyAt = u.clock.Now()
}

// Discard closes a connection whose state is not known, or that failed.
func (u *Upstream) Discard(channel *PooledConn) {
	_ = channel.conn.Abort()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.Closed(u.clock.Now())
}

// Close closes all idle connections; the others are closed when they are released.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.isClosed = true
	idle := u.queue.TakeIdle()
	u.reach.lose()
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(channels []*PooledConn) {
	for _, channel := range channels {
		_ = channel.conn.Close()
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
}

// State returns the present state.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return State{
		ID: u.endpoint.ID, Address: u.endpoint.Address,
		Connections: u.queue.Connections(), Limit: u.queue.Limits().Connections, Busy: u.queue.Busy(), Waiting: u.queue.Waiting(),
		Position: u.held.String(), IsSuspect: u.reach.isSuspect(),
	}
}
