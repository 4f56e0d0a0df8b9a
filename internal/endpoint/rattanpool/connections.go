package rattanpool

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	openTimeout  = time.Second
	closeTimeout = time.Second
	// maxCloseAttempts bounds the attempts to close a connection at an endpoint that
	// does not respond. With the backoff between them they last about 30 s.
	maxCloseAttempts = 30
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
)

// connections counts the connections of a pool by their use. A connection that is
// being closed counts until the endpoint has confirmed the close, since the
// endpoint may still hold it.
type connections struct {
	idle []*rattanadapter.Conn
	// assigned counts connections that the caller of Pin has not received yet.
	opening, closing, busy, pinned, assigned int
	// refusalBackoff is the backoff after the endpoint last refused to open a
	// connection. backingOff is true during the backoff after any failure to open.
	refusalBackoff time.Duration
	backingOff     bool
}

func (c *connections) total() int {
	return len(c.idle) + c.opening + c.closing + c.busy + c.pinned + c.assigned
}

// usable returns the number of connections that are not being closed.
func (c *connections) usable() int {
	return c.total() - c.closing
}

// takeIdle removes and returns the idle connection that was used last.
func (c *connections) takeIdle() *rattanadapter.Conn {
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle[last] = nil
	c.idle = c.idle[:last]
	return conn
}

// openAhead opens connections for the waiting requests that lack only a connection,
// and minIdle more ahead of demand.
func (p *Pool) openAhead() {
	if p.drained || p.closed || p.breaker.state != BreakerClosed || p.connections.backingOff {
		return
	}
	startable := max(0, min(p.requests.waiting, p.inFlightLimit(p.clock.Now())-p.inFlight))
	pinnable := max(0, min(p.pinRequests.waiting, p.limits.maxPinned()-p.pinnedCount()))
	wanted := startable + pinnable + p.settings.minIdle
	for len(p.connections.idle)+p.connections.opening < wanted && p.connections.total() < p.limits.Connections {
		p.connections.opening++
		p.goroutines.Go(p.open)
	}
}

func (p *Pool) open() {
	start := p.clock.Now()
	ctx, cancel := context.WithTimeout(p.backgroundCtx, openTimeout)
	defer cancel()
	conn, err := p.client.Open(ctx)
	if err != nil {
		p.openFailed(ctx, start, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The breaker does not count this success: an endpoint that opens connections
	// but fails every statement on them is not healthy.
	p.lastResponse = p.clock.Now()
	p.connections.opening--
	p.connections.refusalBackoff = 0
	p.returnConn(conn)
	p.dispatch()
}

// openFailed starts the backoff before the next attempt to open a connection. If no
// usable connection is left, it refuses the waiting requests, so that callers can
// use another endpoint.
func (p *Pool) openFailed(ctx context.Context, start time.Time, err error) {
	p.observeCall(ctx, start, nil, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.opening--
	if p.connections.usable() == 0 {
		p.refuseWaiting(rattanv1.Reason_REASON_UNAVAILABLE, minBackoff)
	}
	if p.closed || p.connections.backingOff {
		return
	}
	backoff := minBackoff
	if endpointResponded(err) {
		// The endpoint responds but refused to open a connection. For an endpoint
		// that does not respond the backoff does not grow, so that the failures open
		// the breaker soon.
		p.connections.refusalBackoff = min(max(2*p.connections.refusalBackoff, minBackoff), maxBackoff)
		backoff = p.connections.refusalBackoff
	}
	p.connections.backingOff = true
	p.goroutines.Go(func() { p.retryOpenAfter(backoff) })
}

func (p *Pool) retryOpenAfter(backoff time.Duration) {
	select {
	case <-p.clock.After(backoff):
	case <-p.waitCtx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.backingOff = false
	p.dispatch()
}

// returnConn adds a connection that is no longer in use to the idle ones, or closes
// it when it may not be used again.
func (p *Pool) returnConn(conn *rattanadapter.Conn) {
	over := p.connections.total() >= p.limits.Connections
	if !conn.Reusable() || over || p.drained || p.closed {
		p.discard(conn)
		return
	}
	p.connections.idle = append(p.connections.idle, conn)
}

// closeExcess closes idle connections over the limit, and all of them when the pool
// is drained or closed.
func (p *Pool) closeExcess() {
	for len(p.connections.idle) > 0 && (p.drained || p.closed || p.connections.usable() > p.limits.Connections) {
		p.discard(p.connections.takeIdle())
	}
}

func (p *Pool) closeIdle() {
	for len(p.connections.idle) > 0 {
		p.discard(p.connections.takeIdle())
	}
}

// discard closes a connection in the background. It does nothing once Close has
// cancelled backgroundCtx, because no goroutine may be started then.
func (p *Pool) discard(conn *rattanadapter.Conn) {
	if p.backgroundCtx.Err() != nil {
		return
	}
	p.connections.closing++
	p.goroutines.Go(func() {
		p.closeConn(conn)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connections.closing--
		p.dispatch()
	})
}

func (p *Pool) closeConn(conn *rattanadapter.Conn) {
	backoff := minBackoff
	for range maxCloseAttempts {
		ctx, cancel := context.WithTimeout(p.backgroundCtx, closeTimeout)
		err := conn.Close(ctx)
		cancel()
		if err == nil || p.isClosed() {
			return
		}
		select {
		case <-p.clock.After(backoff):
		case <-p.waitCtx.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
