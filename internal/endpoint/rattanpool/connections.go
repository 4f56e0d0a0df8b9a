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
	// closeAttempts bounds the attempts to close a connection at an endpoint that
	// does not answer. With the waits between them they last about 30 s.
	closeAttempts = 30
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
)

// connections counts the connections of a pool by what they are used for. A
// connection that is being closed counts until the endpoint has confirmed it,
// since the endpoint may still hold it.
type connections struct {
	idle []*rattanadapter.Conn
	// granted connections are on their way to the caller of Pin.
	opening, closing, busy, pinned, granted int
	// refused is the wait after the endpoint last refused to open a connection;
	// waiting is true during the wait after any failure to open.
	refused time.Duration
	waiting bool
}

func (c *connections) total() int {
	return len(c.idle) + c.opening + c.closing + c.busy + c.pinned + c.granted
}

// usable returns the connections that serve requests or will.
func (c *connections) usable() int {
	return c.total() - c.closing
}

// take returns the connection that was used last.
func (c *connections) take() *rattanadapter.Conn {
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle[last] = nil
	c.idle = c.idle[:last]
	return conn
}

// openAhead opens connections for the waiting requests that a connection would
// let start, and some ahead of demand.
func (p *Pool) openAhead() {
	if p.drained || p.closed || p.breaker.state != BreakerClosed || p.connections.waiting {
		return
	}
	startable := max(0, min(p.work.waiting, p.inFlightLimit(p.clock.Now())-p.inFlight))
	pinnable := max(0, min(p.pins.waiting, p.limits.pinnable()-p.pinnedCount()))
	wanted := startable + pinnable + p.settings.ahead
	for len(p.connections.idle)+p.connections.opening < wanted && p.connections.total() < p.limits.Connections {
		p.connections.opening++
		p.tasks.Go(p.open)
	}
}

func (p *Pool) open() {
	start := p.clock.Now()
	ctx, cancel := context.WithTimeout(p.background, openTimeout)
	defer cancel()
	conn, err := p.client.Open(ctx)
	if err != nil {
		p.openFailed(ctx, start, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The breaker does not count it: an endpoint that opens connections and fails
	// every statement on them is not healthy.
	p.lastAnswer = p.clock.Now()
	p.connections.opening--
	p.connections.refused = 0
	p.giveBack(conn)
	p.dispatch()
}

// openFailed waits before the next attempt to open. Without any connection the
// waiting requests are refused, so that callers can go elsewhere.
func (p *Pool) openFailed(ctx context.Context, start time.Time, err error) {
	p.observeCall(ctx, start, nil, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.opening--
	if p.connections.usable() == 0 {
		p.refuseWaiting(rattanv1.Reason_REASON_UNAVAILABLE, minBackoff)
	}
	if p.closed || p.connections.waiting {
		return
	}
	backoff := minBackoff
	if answered(err) {
		// The endpoint is alive and has no connection free. The failures of a dead
		// one are not spaced out, so that they open the breaker soon.
		p.connections.refused = min(max(2*p.connections.refused, minBackoff), maxBackoff)
		backoff = p.connections.refused
	}
	p.connections.waiting = true
	p.tasks.Go(func() { p.openAgainAfter(backoff) })
}

func (p *Pool) openAgainAfter(backoff time.Duration) {
	select {
	case <-p.clock.After(backoff):
	case <-p.waits.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.waiting = false
	p.dispatch()
}

// giveBack keeps a free connection, or closes it when it may not be used again.
func (p *Pool) giveBack(conn *rattanadapter.Conn) {
	over := p.connections.total() >= p.limits.Connections
	if !conn.Reusable() || over || p.drained || p.closed {
		p.discard(conn)
		return
	}
	p.connections.idle = append(p.connections.idle, conn)
}

// trim closes free connections that may not stay open.
func (p *Pool) trim() {
	for len(p.connections.idle) > 0 && (p.drained || p.closed || p.connections.usable() > p.limits.Connections) {
		p.discard(p.connections.take())
	}
}

func (p *Pool) closeIdle() {
	for len(p.connections.idle) > 0 {
		p.discard(p.connections.take())
	}
}

// discard closes a connection in the background. After a Close that ran out of
// time nothing is started any more.
func (p *Pool) discard(conn *rattanadapter.Conn) {
	if p.background.Err() != nil {
		return
	}
	p.connections.closing++
	p.tasks.Go(func() {
		p.closeConn(conn)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.connections.closing--
		p.dispatch()
	})
}

func (p *Pool) closeConn(conn *rattanadapter.Conn) {
	backoff := minBackoff
	for range closeAttempts {
		ctx, cancel := context.WithTimeout(p.background, closeTimeout)
		err := conn.Close(ctx)
		cancel()
		if err == nil || p.isClosed() {
			return
		}
		select {
		case <-p.clock.After(backoff):
		case <-p.waits.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
