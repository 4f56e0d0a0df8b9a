package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// A Begin says how a transaction begins.
type Begin struct {
	// First is the first statement; its Floor is that of the transaction.
	First StatementRequest
	// IsReadOnly transactions may run at a replica.
	IsReadOnly bool
	// AtPrimary is true when the endpoint must lead its group now.
	AtPrimary bool
}

// A Transaction is an open transaction at an endpoint. It is not safe for concurrent use.
type Transaction interface {
	// Run runs a statement and waits for its answer until a time. After an error
	// the transaction must be aborted.
	Run(task StatementRequest, until time.Time) (rattanstatement.Result, error)
	// Commit commits. After ErrNoGrant nothing was sent; after another error the
	// commit is in doubt.
	Commit(task StatementRequest) (rattanstatement.Result, error)
	// Rollback ends the transaction and keeps the connection if it can.
	Rollback()
	// Abort closes the connection, which rolls the transaction back.
	Abort()
}

// A LocalTransaction is a connection that belongs to a transaction.
type LocalTransaction struct {
	upstream   *Upstream
	channel    *PooledConn
	hasWritten bool
}

var _ Transaction = (*LocalTransaction)(nil)

// Begin begins a transaction and runs its first statement. The transaction is nil
// unless both succeeded; nothing of it is kept then. The errors are those of Write.
func (u *Upstream) Begin(begin Begin) (Transaction, rattanstatement.Result, error) {
	start := u.clock.Now()
	channel, err := u.acquire(begin.First.AcquireRequest)
	if err != nil {
		return nil, rattanstatement.Result{}, err
	}
	if !u.pin() {
		u.Release(channel)
		return nil, rattanstatement.Result{}, ErrOverloaded
	}
	pin := &LocalTransaction{upstream: u, channel: channel}
	if begin.AtPrimary && !pin.isGranted() {
		pin.release()
		return nil, rattanstatement.Result{}, ErrNoGrant
	}
	result, err := pin.begin(begin)
	if err != nil {
		pin.fail(err)
		return nil, rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	if !result.OK() {
		if result.Code == rattanstatement.Behind {
			u.ObserveBehind(begin.First.MinPosition)
		}
		pin.Abort()
		return nil, result, nil
	}
	u.ObserveLatency(u.clock.Now().Sub(start))
	return pin, result, nil
}

func (u *Upstream) pin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Pin(u.clock.Now())
}

// begin sends the begin and, once that has been answered, the first statement: a
// statement behind a begin that is refused would run outside a transaction.
func (p *LocalTransaction) begin(begin Begin) (rattanstatement.Result, error) {
	task := begin.First
	request := rattanstatement.Request{Kind: rattanstatement.Begin, MinPosition: task.MinPosition}
	if begin.IsReadOnly {
		request.Kind = rattanstatement.BeginRead
	}
	until := p.upstream.clock.Now().Add(silenceTimeout)
	if until.After(task.Deadline) {
		until = task.Deadline
	}
	result, err := p.channel.Run(p.channel.SetupRequests(task.SessionVars), request, until)
	if err != nil || !result.OK() {
		return result, err
	}
	task.MinPosition = rattanmodel.Position{}
	return p.Run(task, until)
}

func (p *LocalTransaction) isGranted() bool {
	endpoint := p.upstream.Endpoint()
	primary, ok := p.upstream.grants.Primary(endpoint.Group)
	return ok && primary == endpoint.ID
}

// Run implements Held.
func (p *LocalTransaction) Run(task StatementRequest, until time.Time) (rattanstatement.Result, error) {
	setup, request := task.request(p.channel)
	p.hasWritten = p.hasWritten || task.IsWrite
	return p.channel.Run(setup, request, until)
}

// Commit implements Held.
func (p *LocalTransaction) Commit(task StatementRequest) (rattanstatement.Result, error) {
	endpoint := p.upstream.Endpoint()
	if p.hasWritten {
		done, ok := p.upstream.grants.Track(endpoint.Group, endpoint.ID, p.channel.Interrupt)
		if !ok {
			p.Abort()
			return rattanstatement.Result{}, ErrNoGrant
		}
		defer done()
	}
	setup, request := task.request(p.channel)
	result, err := p.channel.Run(setup, request, task.Deadline)
	if err != nil {
		p.fail(err)
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	if !result.OK() || result.TransactionStatus != rattanstatement.Idle {
		p.Abort()
		return result, nil
	}
	p.release()
	return result, nil
}

// Rollback implements Held.
func (p *LocalTransaction) Rollback() {
	until := p.upstream.clock.Now().Add(silenceTimeout)
	result, err := p.channel.Run(nil, rattanstatement.Request{Kind: rattanstatement.Rollback}, until)
	if err != nil || !result.OK() || result.TransactionStatus != rattanstatement.Idle {
		p.Abort()
		return
	}
	p.release()
}

// Abort implements Held.
func (p *LocalTransaction) Abort() {
	p.unpin()
	p.upstream.Discard(p.channel)
}

func (p *LocalTransaction) fail(err error) {
	p.unpin()
	p.upstream.failed(p.channel, err)
}

func (p *LocalTransaction) release() {
	p.unpin()
	p.upstream.giveBack(p.channel, p.upstream.meanService())
}

func (p *LocalTransaction) unpin() {
	p.upstream.mu.Lock()
	defer p.upstream.mu.Unlock()
	p.upstream.queue.Unpin()
}
