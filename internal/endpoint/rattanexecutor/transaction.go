package rattanexecutor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// rollbackTimeout bounds the call that rolls a transaction back. When it fails,
// the connection is closed, which has the same effect.
const rollbackTimeout = time.Second

// catchUpWait is the longest wait of a begin until a new primary has reached the
// session's position.
const catchUpWait = 100 * time.Millisecond

// OpenTransaction begins a transaction on the group's primary. The error is a
// *rattanerr.Refusal.
func (e *Executor) OpenTransaction(ctx context.Context, write rattanservice.WriteRequest, minPosition rattanmodel.Position) (rattantransaction.Connection, error) {
	attempt := Attempt{ClientAccount: write.ClientAccount, Weight: write.Weight}
	for {
		changed := e.views.Changed(write.Group)
		view, err := e.awaitPrimary(ctx, write.Group)
		if err != nil {
			return nil, refuse(ctx, err, false)
		}
		opened, err := e.tryOpen(ctx, attempt, write, view, minPosition)
		if err == nil {
			return opened, nil
		}
		// A transaction that was not committed has no effect.
		if isFinal(err) || ctx.Err() != nil || !e.pause(ctx, changed, writePause) {
			refusal := refuse(ctx, err, false)
			refusal.RunState = rattanerr.NotRun
			return nil, refusal
		}
		e.views.Refresh(write.Group)
		attempt.Retry = true
		e.retries.Add(1)
	}
}

func (e *Executor) tryOpen(ctx context.Context, attempt Attempt, write rattanservice.WriteRequest, view rattanmodel.GroupView, minPosition rattanmodel.Position) (*transaction, error) {
	endpoint, ok := e.endpoints.Endpoint(view.Primary)
	if !ok {
		return nil, errNoPrimary(write.Group)
	}
	pinned, err := endpoint.Pin(ctx, attempt)
	if err != nil {
		return nil, err
	}
	t := &transaction{executor: e, pinned: pinned, view: view, write: write}
	request := t.request(rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN)
	request.MinPosition = minPosition.Wire()
	request.MaxWaitMs = uint32(catchUpWait.Milliseconds())
	response, err := pinned.Run(ctx, request)
	if err != nil {
		e.observeError(view.Primary, err)
		pinned.Release()
		return nil, err
	}
	e.views.Observe(view.Primary, response.GetStatus())
	return t, nil
}

// A transaction is an open transaction on a connection pinned for it.
type transaction struct {
	executor *Executor
	pinned   PinnedConn
	view     rattanmodel.GroupView
	write    rattanservice.WriteRequest
	// ended is set once a commit or rollback has begun.
	ended atomic.Bool
}

var _ rattantransaction.Connection = (*transaction)(nil)

func (t *transaction) request(step rattanv1.TransactionStep, statements ...*rattanv1.Statement) *rattanv1.RunStatementsRequest {
	return &rattanv1.RunStatementsRequest{
		ClientAccount: t.write.ClientAccount,
		Statements:    statements,
		Step:          step,
		Term:          t.view.Term,
	}
}

// Done implements rattantransaction.Connection.
func (t *transaction) Done() <-chan struct{} { return t.pinned.Done() }

// Execute implements rattantransaction.Connection.
func (t *transaction) Execute(ctx context.Context, statement *rattanv1.Statement) (*rattanv1.Result, error) {
	response, err := t.pinned.Run(ctx, t.request(rattanv1.TransactionStep_TRANSACTION_STEP_CONTINUE, statement))
	if err != nil {
		refusal := refuse(ctx, err, false)
		// No statement of the transaction takes effect before its commit.
		refusal.RunState = rattanerr.NotRun
		if _, ok := rattanadapter.AsFault(err); !ok {
			refusal.Reason = rattanv1.Reason_REASON_TRANSACTION_LOST
		}
		return nil, refusal
	}
	return response.GetResults()[0], nil
}

// Commit implements rattantransaction.Connection.
func (t *transaction) Commit(ctx context.Context, requestID string) (rattanmodel.Position, error) {
	t.ended.Store(true)
	defer t.pinned.Release()
	request := t.request(rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT)
	request.RequestId = requestID
	response, err := t.pinned.Run(ctx, request)
	if err != nil {
		return t.resolve(ctx, requestID, err)
	}
	t.executor.views.Observe(t.view.Primary, response.GetStatus())
	position := rattanmodel.PositionFromWire(response.GetPosition())
	if !t.write.AcknowledgeMajority {
		return position, nil
	}
	if err := t.executor.acknowledge(ctx, t.view, position, response.GetStatus()); err != nil {
		return t.resolve(ctx, requestID, err)
	}
	return position, nil
}

// resolve finds the outcome of a commit that got no answer or was not acknowledged by
// a majority.
func (t *transaction) resolve(ctx context.Context, requestID string, cause error) (rattanmodel.Position, error) {
	if !mayHaveRun(cause) {
		return rattanmodel.Position{}, outcomeRefusal(requestID, cause)
	}
	outcome, err := t.executor.FindOutcome(ctx, t.write.Group, t.write.ClientAccount, requestID)
	if err != nil {
		refusal := refuse(ctx, err, true)
		refusal.RequestID = requestID
		return rattanmodel.Position{}, refusal
	}
	if outcome.State == rattanv1.RunState_RUN_STATE_RAN {
		return outcome.Position, nil
	}
	return rattanmodel.Position{}, outcomeRefusal(requestID, cause)
}

// Rollback implements rattantransaction.Connection.
func (t *transaction) Rollback() {
	if t.ended.Swap(true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	// An error leaves the connection in an unknown state, and Release closes it.
	_, _ = t.pinned.Run(ctx, t.request(rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK))
	t.pinned.Release()
}
