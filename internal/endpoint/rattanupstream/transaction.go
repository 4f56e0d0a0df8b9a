package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A Begin is the request to begin a transaction with its first statement.
type Begin struct {
	// First is the first statement. Its MinPosition applies to the transaction.
	First StatementRequest
	// IsReadOnly transactions may run at a replica.
	IsReadOnly bool
	// AtPrimary is true when the endpoint must be the primary, under a grant.
	AtPrimary bool
}

// A Transaction is an open transaction at an endpoint. It is not safe for concurrent use.
type Transaction interface {
	// Run runs a statement and waits for its answer until the given time. After
	// an error the transaction must be aborted.
	Run(statement StatementRequest, until time.Time) (rattanstatement.Result, error)
	// Commit commits the transaction. After ErrNoGrant and ErrOverloaded nothing has been
	// sent; after another error the commit is in doubt.
	Commit(statement StatementRequest) (rattanstatement.Result, error)
	// Rollback rolls the transaction back. The connection is kept open if the
	// endpoint confirms the rollback.
	Rollback()
	// Abort closes the connection, which rolls the transaction back.
	Abort()
}

// A LocalTransaction is a transaction on a pinned connection of this daemon.
type LocalTransaction struct {
	upstream   *Upstream
	conn       *PooledConn
	hasWritten bool
}

var _ Transaction = (*LocalTransaction)(nil)

// Begin begins a transaction and runs its first statement. Unless both succeed, the
// transaction is nil and has been rolled back. The errors are those of Write.
func (u *Upstream) Begin(begin Begin) (Transaction, rattanstatement.Result, error) {
	transaction, result, err := u.tryBegin(begin)
	if errors.Is(err, errTentative) {
		transaction, result, err = u.tryBegin(begin)
	}
	if isUnsent(err) {
		return nil, rattanstatement.Result{}, errors.Wrap(ErrOverloaded, err.Error())
	}
	return transaction, result, err
}

// tryBegin is Begin on one connection. After an *UnsentError the first statement has not
// been sent.
func (u *Upstream) tryBegin(begin Begin) (Transaction, rattanstatement.Result, error) {
	pooled, err := u.acquire(begin.First.AcquireRequest)
	if err != nil {
		return nil, rattanstatement.Result{}, err
	}
	if refusal := u.pin(begin.First.AcquireRequest); refusal != nil {
		u.Release(pooled)
		return nil, rattanstatement.Result{}, u.overloaded(refusal)
	}
	defer u.endStatement()
	transaction := &LocalTransaction{upstream: u, conn: pooled}
	if begin.AtPrimary && !transaction.isGranted() {
		transaction.release()
		return nil, rattanstatement.Result{}, ErrNoGrant
	}
	result, err := transaction.begin(begin)
	u.observeOutcome(result, err, false, time.Time{})
	u.observeCost(pooled, err == nil && result.OK())
	if err != nil {
		transaction.fail(err)
		if isUnsent(err) {
			return nil, rattanstatement.Result{}, err
		}
		return nil, rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	if !result.OK() {
		transaction.Abort()
		return nil, result, nil
	}
	return transaction, result, nil
}

// pin reserves a connection for a transaction, and its slot for the first statement. It
// returns a refusal when the queue allows no more of them.
func (u *Upstream) pin(request AcquireRequest) *rattanwork.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	u.queue.BeginStatement()
	if u.queue.Pin(now) {
		return nil
	}
	u.queue.EndStatement(now)
	return u.queue.RefusePin(request.waiter(), now)
}

// hold takes a slot of the endpoint for a statement of a transaction, until the returned
// function is called. The time counts for the transaction's account.
func (t *LocalTransaction) hold() (done func()) {
	u := t.upstream
	begun := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.BeginStatement()
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		now := u.clock.Now()
		u.queue.Charge(t.conn.account, t.conn.priority, now.Sub(begun))
		u.queue.EndStatement(now)
	}
}

func (u *Upstream) endStatement() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.EndStatement(u.clock.Now())
}

// begin sends the begin and, after its answer, the first statement. Sent together, a
// statement behind a refused begin would run outside a transaction.
func (t *LocalTransaction) begin(begin Begin) (rattanstatement.Result, error) {
	statement := begin.First
	request := rattanstatement.Request{Kind: rattanstatement.Begin, MinPosition: statement.MinPosition}
	if begin.IsReadOnly {
		request.Kind = rattanstatement.BeginRead
	}
	until := t.upstream.clock.Now().Add(t.upstream.answerTimeout(statement.Kind))
	if until.After(statement.Deadline) {
		until = statement.Deadline
	}
	statement.MinPosition = rattanmodel.Position{}
	setup, first := statement.wireRequests(t.conn)
	result, err := t.conn.Run(setup, request, until)
	if err != nil || !result.OK() {
		return result, err
	}
	if t.conn.conn.answers.IsTentative() {
		return rattanstatement.Result{}, &UnsentError{Cause: errTentative}
	}
	t.hasWritten = statement.IsWrite
	return t.conn.Run(nil, first, until)
}

func (t *LocalTransaction) isGranted() bool {
	endpoint := t.upstream.Endpoint()
	primary, ok := t.upstream.grants.Primary(endpoint.Group)
	return ok && primary == endpoint.ID
}

// Run implements Transaction.
func (t *LocalTransaction) Run(statement StatementRequest, until time.Time) (rattanstatement.Result, error) {
	defer t.hold()()
	return t.run(statement, until)
}

func (t *LocalTransaction) run(statement StatementRequest, until time.Time) (rattanstatement.Result, error) {
	setup, request := statement.wireRequests(t.conn)
	t.hasWritten = t.hasWritten || statement.IsWrite
	return t.conn.Run(setup, request, until)
}

// Commit implements Transaction.
func (t *LocalTransaction) Commit(statement StatementRequest) (rattanstatement.Result, error) {
	endpoint := t.upstream.Endpoint()
	if t.hasWritten {
		done, ok := t.upstream.grants.Track(endpoint.Group, endpoint.ID, t.conn.Interrupt)
		if !ok {
			t.Abort()
			return rattanstatement.Result{}, ErrNoGrant
		}
		defer done()
	}
	setup, request := statement.wireRequests(t.conn)
	free := t.hold()
	result, err := t.conn.Run(setup, request, statement.Deadline)
	free()
	if err != nil {
		t.fail(err)
		if isUnsent(err) {
			return rattanstatement.Result{}, errors.Wrap(ErrOverloaded, err.Error())
		}
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	if !result.OK() || result.TransactionStatus != rattanstatement.Idle {
		t.Abort()
		return result, nil
	}
	t.release()
	return result, nil
}

// Rollback implements Transaction.
func (t *LocalTransaction) Rollback() {
	until := t.upstream.clock.Now().Add(minAnswerTimeout)
	result, err := t.conn.Run(nil, rattanstatement.Request{Kind: rattanstatement.Rollback}, until)
	if err != nil || !result.OK() || result.TransactionStatus != rattanstatement.Idle {
		t.Abort()
		return
	}
	t.release()
}

// Abort implements Transaction.
func (t *LocalTransaction) Abort() {
	t.unpin()
	t.upstream.Discard(t.conn)
}

func (t *LocalTransaction) fail(err error) {
	t.unpin()
	t.upstream.discardFailed(t.conn, err)
}

func (t *LocalTransaction) release() {
	t.unpin()
	t.upstream.Release(t.conn)
}

func (t *LocalTransaction) unpin() {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.upstream.queue.Unpin(t.upstream.clock.Now())
}
