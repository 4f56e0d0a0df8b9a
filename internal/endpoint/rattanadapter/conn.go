package rattanadapter

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Conn is one database connection at an endpoint. It runs one call at a time.
type Conn struct {
	client *Client
	name   string

	busy atomic.Bool
	// broken is set when the connection's state is unknown or it is closed.
	broken        atomic.Bool
	inTransaction atomic.Bool
}

func newConn(client *Client, name string) *Conn {
	return &Conn{client: client, name: name}
}

// Name returns the endpoint's identifier of the connection.
func (c *Conn) Name() string {
	return c.name
}

// Reusable reports whether the connection's state is known and no transaction
// is open on it. A connection that is not reusable must be closed.
func (c *Conn) Reusable() bool {
	return !c.broken.Load() && !c.inTransaction.Load() && !c.busy.Load()
}

// Run runs the statements of request. It sets the request's connection and call
// number, so one request must not be used by two calls at once. The connection is not
// reusable, and further calls return ErrClosed, after an answer to another call, after
// an error whose request may have run, and after a fault that says that the endpoint
// does not know the connection or its transaction.
func (c *Conn) Run(ctx context.Context, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	if !c.busy.CompareAndSwap(false, true) {
		return nil, ErrBusy
	}
	defer c.busy.Store(false)
	if c.broken.Load() {
		return nil, ErrClosed
	}
	request.Connection = c.name
	request.Call = c.client.calls.Add(1)
	c.beforeStep(request.GetStep())
	response, err := invoke(ctx, c.client.wire.RunStatements, connect.NewRequest(request))
	if err == nil {
		err = c.checkResponse(request, response)
	}
	c.afterStep(request.GetStep(), err)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// Close closes the connection at the endpoint, which rolls back an open transaction. A
// connection that the endpoint does not know counts as closed.
func (c *Conn) Close(ctx context.Context) error {
	c.broken.Store(true)
	request := connect.NewRequest(&rattanv1.CloseConnectionRequest{Connection: c.name})
	if _, err := invoke(ctx, c.client.wire.CloseConnection, request); err != nil && !IsNotFound(err) {
		return err
	}
	return nil
}

// IsNotFound reports whether err says that the endpoint does not know the connection,
// for example after a restart.
func IsNotFound(err error) bool {
	if fault, ok := AsFault(err); ok {
		return fault.Code == connect.CodeNotFound
	}
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeNotFound
}

// checkResponse returns an error unless the response belongs to the request's call, has
// a result for every statement and proves its position. A rollback has no results.
func (c *Conn) checkResponse(request *rattanv1.RunStatementsRequest, response *rattanv1.RunStatementsResponse) error {
	if response.GetCall() != request.GetCall() {
		return &CrossedAnswerError{Connection: c.name, Want: request.GetCall(), Got: response.GetCall()}
	}
	want, got := len(request.GetStatements()), len(response.GetResults())
	if request.GetStep() == rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK {
		want = 0
	}
	if want != got {
		return &PartialAnswerError{Connection: c.name, Want: want, Got: got}
	}
	return checkPosition(request, response)
}

func (c *Conn) beforeStep(step rattanv1.TransactionStep) {
	if step == rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN {
		c.inTransaction.Store(true)
	}
}

func (c *Conn) afterStep(step rattanv1.TransactionStep, err error) {
	if err != nil {
		c.afterError(err)
		return
	}
	switch step {
	case rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT, rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK:
		c.inTransaction.Store(false)
	default:
	}
}

func (c *Conn) afterError(err error) {
	fault, ok := AsFault(err)
	// The endpoint and the daemon disagree on the state of the connection's
	// transaction.
	stateDiffers := ok && fault.Kind == rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION
	if stateDiffers || RunState(err) != rattanerr.NotRun || IsNotFound(err) {
		c.broken.Store(true)
	}
}
