package rattanpool

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A PinnedConn is a connection that is reserved for one transaction.
//
// Its requests bypass the admission queue, because the transaction may hold locks
// that running requests wait for. Their cost is charged to the client account,
// whose other requests then wait longer.
type PinnedConn struct {
	pool   *Pool
	waiter *waiter
	since  time.Time
	// endCtx is cancelled when the pool ends the transaction or the caller releases
	// the connection.
	endCtx context.Context
	cancel context.CancelFunc

	// The fields below are guarded by the pool's mutex.
	running  bool
	released bool
}

func (p *Pool) newPinned(w *waiter) *PinnedConn {
	pinned := &PinnedConn{pool: p, waiter: w, since: p.clock.Now()}
	pinned.endCtx, pinned.cancel = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.assigned--
	p.connections.pinned++
	p.pinned[pinned] = struct{}{}
	if p.drained || p.closed {
		pinned.release()
	}
	return pinned
}

// Done returns a channel that is closed when the pool ends the transaction, because
// the endpoint is drained or the pool is closed, or when the connection is released.
func (c *PinnedConn) Done() <-chan struct{} {
	return c.endCtx.Done()
}

// Do runs run with the connection. It returns a refusal, with the run state not
// run, when the transaction was ended (reason transaction_lost) or another request
// of it is in progress (reason conflict).
func (c *PinnedConn) Do(ctx context.Context, run func(context.Context, *Conn) error) error {
	if err := c.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.endCtx, cancel)()
	conn := &Conn{pool: c.pool, conn: c.waiter.conn}
	defer c.finish(conn, c.pool.clock.Now())
	return run(ctx, conn)
}

// Release returns the connection to the pool. If a transaction is open on it, the
// connection is closed, which rolls the transaction back.
func (c *PinnedConn) Release() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.release()
}

func (c *PinnedConn) start() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.endCtx.Err() != nil {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_TRANSACTION_LOST, 0, "transaction was ended")
	}
	if c.running {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_CONFLICT, minRetryAfter, "another statement of the transaction is running")
	}
	c.running = true
	return nil
}

func (c *PinnedConn) finish(conn *Conn, start time.Time) {
	service, _ := conn.end()
	now := c.pool.clock.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if service == 0 {
		service = now.Sub(start)
	}
	c.pool.requests.charge(c.waiter.flow, service, now)
	c.running = false
	if c.endCtx.Err() != nil {
		c.release()
	}
}

// release ends the transaction. If a request of it is running, the connection is
// returned when that request has ended. It is called with the mutex held.
func (c *PinnedConn) release() {
	c.cancel()
	if c.running || c.released {
		return
	}
	c.released = true
	p := c.pool
	holdTime := p.clock.Now().Sub(c.since)
	p.pinRequests.reconcile(c.waiter, holdTime)
	p.pinRequests.recordTimes(c.waiter.flow, holdTime, holdTime)
	delete(p.pinned, c)
	if p.pinnedByAccount[c.waiter.flow.Account]--; p.pinnedByAccount[c.waiter.flow.Account] == 0 {
		delete(p.pinnedByAccount, c.waiter.flow.Account)
	}
	p.connections.pinned--
	p.returnConn(c.waiter.conn)
	p.dispatch()
	p.signalIfStopped()
}

// endPinned ends all transactions. It is called with the mutex held.
func (p *Pool) endPinned() {
	for pinned := range p.pinned {
		pinned.release()
	}
}

// endPinnedAfter ends all transactions after the timeout, if the pool is then
// drained and ctx has not ended.
func (p *Pool) endPinnedAfter(ctx context.Context, timeout time.Duration) {
	select {
	case <-p.clock.After(timeout):
	case <-ctx.Done():
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained {
		p.endPinned()
	}
}
