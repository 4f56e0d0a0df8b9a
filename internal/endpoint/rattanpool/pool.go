// Package rattanpool provides the connection pool of one endpoint and shares it
// fairly between client accounts. It limits the requests in flight, refuses requests
// that would miss their deadlines, and has a circuit breaker.
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

// A Client opens connections to the endpoint and queries its status.
// *rattanadapter.Client implements it.
type Client interface {
	Open(ctx context.Context) (*rattanadapter.Conn, error)
	Status(ctx context.Context) (*rattanv1.EndpointStatus, error)
}

// A Flow identifies the client account of a request and its weight.
type Flow struct {
	// Account is the full name of the client account.
	Account string
	// Weight is the account's share of the service time relative to other accounts;
	// less than 1 counts as 1.
	Weight int
}

// A Pool serves the requests to one endpoint. Its refusals are
// *rattanerr.Refusal errors with the run state not run. It is safe for concurrent use.
type Pool struct {
	clock    rattanclock.Clock
	client   Client
	settings settings
	// waitCtx is cancelled when Close begins; it ends backoffs and drain time-outs.
	// backgroundCtx is cancelled when Close or its context ends; it ends the pool's
	// own calls to the endpoint.
	waitCtx, backgroundCtx        context.Context
	cancelWaits, cancelBackground context.CancelFunc
	goroutines                    sync.WaitGroup
	breakerState                  atomic.Int32

	mu sync.Mutex
	// requests is the queue of Do, pinRequests that of Pin.
	requests, pinRequests admissionQueue
	limits                Limits
	connections           connections
	inFlight              int
	pinned                map[*PinnedConn]struct{}
	pinnedByAccount       map[string]int
	breaker               breaker
	window                window
	lastResponse          time.Time
	drained               bool
	endDrain              context.CancelFunc
	closed                bool
	stopped               chan struct{}
}

// New returns a Pool and starts opening connections ahead of demand. The caller
// must call Close.
func New(clock rattanclock.Clock, client Client, limits Limits, options ...Option) *Pool {
	p := &Pool{
		clock:           clock,
		client:          client,
		settings:        newSettings(options),
		limits:          limits.normalized(),
		pinned:          make(map[*PinnedConn]struct{}),
		pinnedByAccount: make(map[string]int),
		endDrain:        func() {},
		stopped:         make(chan struct{}),
	}
	p.requests, p.pinRequests = newAdmissionQueue(initialServiceTime), newAdmissionQueue(initialPinnedTime)
	p.window.limit = float64(p.limits.Slots)
	p.backgroundCtx, p.cancelBackground = context.WithCancel(context.Background())
	p.waitCtx, p.cancelWaits = context.WithCancel(p.backgroundCtx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openAhead()
	return p
}

// Do calls run with a connection once the request is admitted. The time that run
// takes is measured as the time of the request, so run must return as soon as it
// has its response. Do returns the error of run, or a refusal when run was not
// called.
func (p *Pool) Do(ctx context.Context, flow Flow, run func(context.Context, *Conn) error) error {
	w, err := p.admit(ctx, flow, &p.requests)
	if err != nil {
		return err
	}
	conn := &Conn{pool: p, conn: w.conn}
	defer p.finish(w, conn, p.clock.Now())
	return run(ctx, conn)
}

// Pin returns a connection that is reserved for a transaction of the caller, who
// must release it.
func (p *Pool) Pin(ctx context.Context, flow Flow) (*PinnedConn, error) {
	w, err := p.admit(ctx, flow, &p.pinRequests)
	if err != nil {
		return nil, err
	}
	return p.newPinned(w), nil
}

// SetLimits changes the limits. Connections over a lower limit are closed as soon
// as they are idle; pinned ones stay open until they are released.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits.normalized()
	p.window.limit = min(p.window.limit, float64(p.limits.Slots))
	p.closeExcess()
	p.dispatch()
}

// SetDrained takes the endpoint out of service or returns it to service. While it
// is drained, new and waiting requests are refused, running ones finish, and the
// transactions on pinned connections are ended after the drain timeout. On return
// to service the in-flight limit rises slowly.
func (p *Pool) SetDrained(drained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained == drained || p.closed {
		return
	}
	p.drained = drained
	p.endDrain()
	if !drained {
		p.window.beginSlowStart(p.clock.Now())
		p.dispatch()
		return
	}
	p.refuseWaiting(rattanv1.Reason_REASON_DRAINED, 0)
	p.closeExcess()
	var ctx context.Context
	ctx, p.endDrain = context.WithCancel(p.waitCtx)
	timeout := p.limits.DrainTimeout
	p.goroutines.Go(func() { p.endPinnedAfter(ctx, timeout) })
}

// Close refuses all new and waiting requests, ends the transactions on pinned
// connections, waits for the running requests until ctx ends, and closes all
// connections. It returns the error of ctx when requests were still running.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.cancelWaits()
	p.refuseWaiting(rattanv1.Reason_REASON_SHUTTING_DOWN, 0)
	p.endPinned()
	p.closeExcess()
	p.signalIfStopped()
	p.mu.Unlock()
	var err error
	select {
	case <-p.stopped:
	case <-ctx.Done():
		err = ctx.Err()
		p.mu.Lock()
		p.cancelBackground()
		p.mu.Unlock()
	}
	p.goroutines.Wait()
	p.cancelBackground()
	return err
}

// finish returns the connection of a request to the pool and starts waiting
// requests.
func (p *Pool) finish(w *waiter, conn *Conn, start time.Time) {
	service, responded := conn.end()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	holdTime := now.Sub(start)
	if service == 0 {
		service = holdTime
	}
	p.requests.reconcile(w, service)
	if responded {
		p.requests.recordTimes(w.flow, service, holdTime)
	}
	p.inFlight--
	p.connections.busy--
	p.returnConn(w.conn)
	p.dispatch()
	p.signalIfStopped()
}

// signalIfStopped ends the wait of Close once no request is running and no
// connection is pinned.
func (p *Pool) signalIfStopped() {
	if !p.closed || p.inFlight > 0 || p.pinnedCount() > 0 {
		return
	}
	select {
	case <-p.stopped:
	default:
		close(p.stopped)
	}
}
