// Package rattanpool holds the connections of one endpoint and shares them
// fairly between client accounts.
package rattanpool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Client opens connections to the endpoint and asks for its status; a
// *rattanadapter.Client is one.
type Client interface {
	Open(ctx context.Context) (*rattanadapter.Conn, error)
	Status(ctx context.Context) (*rattanv1.EndpointStatus, error)
}

// A Flow says for whom a request runs.
type Flow struct {
	// Account is the full name of the client account.
	Account string
	// Weight is the account's part of the service relative to other accounts;
	// less than 1 counts as 1.
	Weight int
}

// A Pool serves the requests to one endpoint. Its refusals are
// *rattanerr.Refusal errors with the state not run. It is safe for concurrent use.
type Pool struct {
	clock    rattanclock.Clock
	client   Client
	settings settings
	// waits ends when Close begins, background when it ends; tasks counts the
	// pool's goroutines.
	waits, background context.Context
	endWaits, cancel  context.CancelFunc
	tasks             sync.WaitGroup
	state             atomic.Int32

	mu sync.Mutex
	// work holds single requests, pins requests for a pinned connection.
	work, pins  admissionQueue
	limits      Limits
	connections connections
	inFlight    int
	pinned      map[*PinnedConn]struct{}
	pinsOf      map[string]int
	breaker     breaker
	window      window
	lastAnswer  time.Time
	drained     bool
	endDrain    context.CancelFunc
	closed      bool
	stopped     chan struct{}
}

// New returns a Pool that begins to open connections of client ahead of demand.
// Close ends it.
func New(clock rattanclock.Clock, client Client, limits Limits, options ...Option) *Pool {
	p := &Pool{
		clock:    clock,
		client:   client,
		settings: newSettings(options),
		limits:   limits.normalized(),
		pinned:   make(map[*PinnedConn]struct{}),
		pinsOf:   make(map[string]int),
		endDrain: func() {},
		stopped:  make(chan struct{}),
	}
	p.work, p.pins = newAdmissionQueue(initialService), newAdmissionQueue(initialPinned)
	p.window.limit = float64(p.limits.Slots)
	p.background, p.cancel = context.WithCancel(context.Background())
	p.waits, p.endWaits = context.WithCancel(p.background)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openAhead()
	return p
}

// Do runs run with a connection when it is the job's turn. The time of run is
// what the request is measured by, so run returns as soon as it has its answer.
// Do returns the error of run, or a refusal when run was not called.
func (p *Pool) Do(ctx context.Context, flow Flow, run func(context.Context, *Conn) error) error {
	w, err := p.admit(ctx, flow, &p.work)
	if err != nil {
		return err
	}
	conn := &Conn{pool: p, conn: w.conn}
	defer p.finish(w, conn, p.clock.Now())
	return run(ctx, conn)
}

// Pin returns a connection that stays with the caller, for a transaction. The
// caller must release it.
func (p *Pool) Pin(ctx context.Context, flow Flow) (*PinnedConn, error) {
	w, err := p.admit(ctx, flow, &p.pins)
	if err != nil {
		return nil, err
	}
	return p.newPinned(w), nil
}

// SetLimits changes the limits. Connections over a lower limit are closed as
// soon as they are free; pinned ones stay until they are released.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits.normalized()
	p.window.limit = min(p.window.limit, float64(p.limits.Slots))
	p.trim()
	p.dispatch()
}

// SetDrained takes the endpoint out of service or returns it. While it is
// drained, new and waiting requests are refused, running ones finish, and pinned
// connections end after the drain timeout. On return the pool starts slowly.
func (p *Pool) SetDrained(drained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained == drained || p.closed {
		return
	}
	p.drained = drained
	p.endDrain()
	if !drained {
		p.window.restart(p.clock.Now())
		p.dispatch()
		return
	}
	p.refuseWaiting(rattanv1.Reason_REASON_DRAINED, 0)
	p.trim()
	var ctx context.Context
	ctx, p.endDrain = context.WithCancel(p.waits)
	timeout := p.limits.DrainTimeout
	p.tasks.Go(func() { p.endPinnedAfter(ctx, timeout) })
}

// Close refuses all new and waiting requests, ends the pinned connections, waits
// for the running requests until ctx ends, and closes all connections. It returns
// the error of ctx when requests were still running.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.endWaits()
	p.refuseWaiting(rattanv1.Reason_REASON_SHUTTING_DOWN, 0)
	p.endPinned()
	p.trim()
	p.noteStopped()
	p.mu.Unlock()
	var err error
	select {
	case <-p.stopped:
	case <-ctx.Done():
		err = ctx.Err()
		p.mu.Lock()
		p.cancel()
		p.mu.Unlock()
	}
	p.tasks.Wait()
	p.cancel()
	return err
}

// finish takes the connection of a request back and starts the next request.
func (p *Pool) finish(w *waiter, conn *Conn, start time.Time) {
	service, answered := conn.end()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	held := now.Sub(start)
	if service == 0 {
		service = held
	}
	p.work.settle(w, service)
	if answered {
		p.work.measure(w.flow, service, held)
	}
	p.inFlight--
	p.connections.busy--
	p.giveBack(w.conn)
	p.dispatch()
	p.noteStopped()
}

// noteStopped ends the wait of Close when nothing runs any more.
func (p *Pool) noteStopped() {
	if !p.closed || p.inFlight > 0 || p.pinnedCount() > 0 {
		return
	}
	select {
	case <-p.stopped:
	default:
		close(p.stopped)
	}
}
