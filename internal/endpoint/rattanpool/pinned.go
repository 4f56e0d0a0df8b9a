package rattanpool

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A PinnedConn is a connection that stays with one transaction.
//
// Its requests do not wait for a turn: the transaction may hold locks that
// running requests wait for. Their cost is charged to the client account, which
// then waits longer for its other requests.
type PinnedConn struct {
	pool  *Pool
	w     *waiter
	since time.Time
	// lost ends when the pool ends the transaction.
	lost   context.Context
	cancel context.CancelFunc

	// The fields below belong to the pool's mutex.
	running  bool
	released bool
}

func (p *Pool) newPinned(w *waiter) *PinnedConn {
	pinned := &PinnedConn{pool: p, w: w, since: p.clock.Now()}
	pinned.lost, pinned.cancel = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.granted--
	p.connections.pinned++
	p.pinned[pinned] = struct{}{}
	if p.drained || p.closed {
		pinned.release()
	}
	return pinned
}

// Done returns a channel that is closed when the pool has ended the transaction,
// by draining or shutdown, or when it was released.
func (t *PinnedConn) Done() <-chan struct{} {
	return t.lost.Done()
}

// Do runs run with the connection. It returns a refusal with the reason
// transaction_lost, state not run, when the pool has ended the transaction or a
// request of it is in progress.
func (t *PinnedConn) Do(ctx context.Context, run func(context.Context, *Conn) error) error {
	if err := t.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.lost, cancel)()
	conn := &Conn{pool: t.pool, conn: t.w.conn}
	defer t.finish(conn, t.pool.clock.Now())
	return run(ctx, conn)
}

// Release gives the connection back. A connection with an open transaction is
// closed, which rolls the transaction back.
func (t *PinnedConn) Release() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.release()
}

func (t *PinnedConn) start() error {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.lost.Err() != nil {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_TRANSACTION_LOST, 0, "the transaction was ended")
	}
	if t.running {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_CONFLICT, minRetryAfter, "a statement of the transaction is running")
	}
	t.running = true
	return nil
}

func (t *PinnedConn) finish(conn *Conn, start time.Time) {
	service, _ := conn.end()
	now := t.pool.clock.Now()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if service == 0 {
		service = now.Sub(start)
	}
	t.pool.work.charge(t.w.flow, service, now)
	t.running = false
	if t.lost.Err() != nil {
		t.release()
	}
}

// release ends the transaction, at once or when its running request has ended.
// It is called with the mutex held.
func (t *PinnedConn) release() {
	t.cancel()
	if t.running || t.released {
		return
	}
	t.released = true
	p := t.pool
	held := p.clock.Now().Sub(t.since)
	p.pins.settle(t.w, held)
	p.pins.measure(t.w.flow, held, held)
	delete(p.pinned, t)
	if p.pinsOf[t.w.flow.Account]--; p.pinsOf[t.w.flow.Account] == 0 {
		delete(p.pinsOf, t.w.flow.Account)
	}
	p.connections.pinned--
	p.giveBack(t.w.conn)
	p.dispatch()
	p.noteStopped()
}

// endPinned ends all transactions. It is called with the mutex held.
func (p *Pool) endPinned() {
	for pinned := range p.pinned {
		pinned.release()
	}
}

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
