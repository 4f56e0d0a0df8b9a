package client

import (
	"context"
	"sync"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A Tx is an interactive transaction on the primary of a service. It ends with
// Commit or Rollback, or is rolled back when it has been idle for too long. Its
// methods run one after the other, also when called concurrently.
type Tx struct {
	client  *Client
	service string
	id      string

	mu sync.Mutex
	// sequence is the number of the last statement that ran or may have run.
	sequence uint32
}

// Begin opens a transaction. The error is an *Error. A Begin whose answer is lost
// is not retried; the transaction that it may have opened ends when it is idle for
// too long.
func (c *Client) Begin(ctx context.Context, service string, options ...CallOption) (*Tx, error) {
	o := newCallOptions(options)
	request := &rattanv1.BeginRequest{Service: service, Route: o.route}
	response, err := call(ctx, c, whole(rattanv1connect.CallerServiceClient.Begin, isWholeBegin), request, false)
	if err != nil {
		return nil, err
	}
	return &Tx{client: c, service: service, id: response.GetTransaction()}, nil
}

// Execute runs the next statement. A statement whose answer is lost is sent again
// under the same number and does not run twice. The error is an *Error; when its
// Reason is TransactionLost, the transaction has been rolled back. After an error
// with RunState Unknown the next statement is refused unless the lost one ran.
func (t *Tx) Execute(ctx context.Context, statement Statement) (*Result, error) {
	wire, err := statement.wire()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &rattanv1.ExecuteInTransactionRequest{Transaction: t.id, Sequence: t.sequence + 1, Statement: wire}
	response, err := call(ctx, t.client, whole(rattanv1connect.CallerServiceClient.ExecuteInTransaction, isWholeStatement), request, true)
	if err != nil {
		if e := newError(ctx, err); e.RunState != NotRun {
			t.sequence++
		}
		return nil, err
	}
	t.sequence++
	result := resultFromWire(response.GetResult())
	return &result, nil
}

// Commit ends the transaction and makes its effects permanent. When its answer is lost,
// Commit finds the outcome before it returns. The error is an *Error; if its
// RunState is Unknown, call Outcome with its RequestID.
func (t *Tx) Commit(ctx context.Context, options ...CallOption) error {
	o := newCallOptions(options)
	t.mu.Lock()
	defer t.mu.Unlock()
	first, cancel := leaveTimeForOutcome(ctx, false)
	defer cancel()
	request := &rattanv1.CommitRequest{Transaction: t.id, RequestId: o.requestID}
	if _, err := call(first, t.client, whole(rattanv1connect.CallerServiceClient.Commit, isWholeCommit(o.requestID)), request, false); err != nil {
		_, err = t.client.findOutcome(ctx, t.service, o.requestID, err)
		return err
	}
	return nil
}

// Rollback ends the transaction and discards its effects. The error is an *Error. It
// is nil when the transaction was lost, because that has been rolled back.
func (t *Tx) Rollback(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &rattanv1.RollbackRequest{Transaction: t.id}
	if _, err := call(ctx, t.client, rattanv1connect.CallerServiceClient.Rollback, request, true); err != nil {
		if e := newError(ctx, err); e.Reason != TransactionLost {
			return e
		}
	}
	return nil
}
