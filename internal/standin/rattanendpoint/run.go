package rattanendpoint

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A call is one RunStatements call in progress.
type call struct {
	*rattanv1.RunStatementsRequest
	connection *connection
	statements []rattansql.Statement
	// transaction is the one that the call runs in; autocommit is true when it
	// begins and ends with the call.
	transaction *transaction
	autocommit  bool
}

// RunStatements implements EndpointService. Any error after the call has joined a
// transaction rolls the transaction back, and so does a statement that cannot be
// parsed.
func (i *Instance) RunStatements(ctx context.Context, request *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	taken, release, err := i.takeConnection(ctx, request.Msg.GetConnection())
	if err != nil {
		return nil, err
	}
	defer release()
	c := &call{RunStatementsRequest: request.Msg, connection: taken}
	response, err := i.run(ctx, c)
	if err != nil {
		i.abandon(c)
		return nil, err
	}
	response.Call = request.Msg.GetCall()
	response.Status = i.Status()
	return connect.NewResponse(i.crossResponse(response)), nil
}

// abandon rolls back the transaction that a failed call has joined, if any.
func (i *Instance) abandon(c *call) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.transaction != nil {
		c.transaction.Close()
	}
	if c.connection.transaction == c.transaction {
		c.connection.rollBack()
	}
}

func (i *Instance) run(ctx context.Context, c *call) (*rattanv1.RunStatementsResponse, error) {
	if c.GetStep() == rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK {
		return i.runRollback(c)
	}
	if err := i.parse(c); err != nil {
		return nil, err
	}
	if repeated, err := i.runRepeated(c); repeated != nil || err != nil {
		return repeated, err
	}
	if err := i.waitFresh(ctx, c); err != nil {
		return nil, err
	}
	if err := i.join(c); err != nil {
		return nil, err
	}
	if err := i.takeSlot(ctx); err != nil {
		return nil, err
	}
	defer i.releaseSlot()
	started := i.clock.Now()
	results, err := i.runAll(ctx, c)
	if err != nil {
		return nil, err
	}
	response, err := i.finish(ctx, c, results)
	if err != nil {
		return nil, err
	}
	response.ServiceUs = uint64(i.clock.Now().Sub(started).Microseconds())
	return response, nil
}

// parse parses the statements of the call. When that fails, the connection's open
// transaction becomes the call's, so that abandon rolls it back.
func (i *Instance) parse(c *call) error {
	for _, statement := range c.GetStatements() {
		parsed, err := rattansql.Parse(statement.GetText())
		if err == nil && c.GetReadOnly() && !parsed.ReadOnly() {
			err = errors.New("read-only call contains a statement that writes")
		}
		if err != nil {
			c.transaction = c.connection.transaction
			return i.endpointFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT, "%s", err)
		}
		c.statements = append(c.statements, parsed)
	}
	return nil
}

// runRepeated returns the recorded response of a call whose request identifier has
// a record, otherwise nil.
func (i *Instance) runRepeated(c *call) (*rattanv1.RunStatementsResponse, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.GetRequestId() == "" {
		return nil, nil
	}
	if err := i.checkPrimary(c.GetTerm()); err != nil {
		return nil, err
	}
	var wantedDigest []byte
	if c.GetStep() == rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED {
		wantedDigest = digest(c.GetStatements())
	}
	found, ok, err := i.findRecord(c.RunStatementsRequest, wantedDigest)
	if !ok || err != nil {
		return nil, err
	}
	return &rattanv1.RunStatementsResponse{Results: found.results, Position: i.confirmablePosition(found.index), Repeated: true}, nil
}

// join finds or begins the transaction that the call runs in.
func (i *Instance) join(c *call) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.connection.closed {
		return errNoConnection(c.GetConnection())
	}
	if !c.GetReadOnly() {
		if err := i.checkPrimary(c.GetTerm()); err != nil {
			return err
		}
	}
	open := c.connection.transaction
	switch c.GetStep() {
	case rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED:
		c.autocommit = true
		c.transaction = &transaction{Transaction: i.database.Begin(false)}
	case rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN:
		if open != nil {
			return i.endpointFaultLocked(transactionFault, "transaction %q is already open on connection %s", open.name, c.GetConnection())
		}
		c.transaction = &transaction{Transaction: i.database.Begin(!c.GetReadOnly()), name: c.GetTransaction()}
		c.connection.transaction = c.transaction
	default:
		if open == nil || open.name != c.GetTransaction() {
			return i.endpointFaultLocked(transactionFault, "transaction %q is not open on connection %s", c.GetTransaction(), c.GetConnection())
		}
		c.transaction = open
	}
	c.transaction.statements = append(c.transaction.statements, c.GetStatements()...)
	return nil
}

// runAll runs the statements in order; each first spends the service time.
func (i *Instance) runAll(ctx context.Context, c *call) ([]*rattanv1.Result, error) {
	var results []*rattanv1.Result
	for at, statement := range c.statements {
		if err := i.sleep(ctx, i.serviceTime()); err != nil {
			return nil, err
		}
		if err := i.waitUnfrozen(ctx); err != nil {
			return nil, err
		}
		result, err := i.runStatement(ctx, c, statement, decodeValues(c.GetStatements()[at].GetArguments()))
		if err != nil {
			return nil, err
		}
		results = append(results, encodeResult(result))
	}
	return results, nil
}

// runStatement runs a statement and waits for the row locks that it needs.
func (i *Instance) runStatement(ctx context.Context, c *call, statement rattansql.Statement, arguments []rattansql.Value) (rattansql.Result, error) {
	var timeout <-chan time.Time
	for {
		result, err := i.tryStatement(c, statement, arguments)
		var blocked *rattansql.BlockedError
		if !errors.As(err, &blocked) {
			return result, err
		}
		if timeout == nil {
			timeout = i.clock.After(i.config.LockTimeout)
		}
		select {
		case <-blocked.Released:
		case <-timeout:
			return result, i.endpointFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED, "%s after %s", blocked, i.config.LockTimeout)
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// tryStatement runs a statement once. The error is a *rattansql.BlockedError when
// another transaction holds a lock that the statement needs.
func (i *Instance) tryStatement(c *call, statement rattansql.Statement, arguments []rattansql.Value) (rattansql.Result, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkOpen(c); err != nil {
		return rattansql.Result{}, err
	}
	result, err := c.transaction.Run(statement, arguments)
	var invalid *rattansql.StatementError
	if errors.As(err, &invalid) {
		err = i.endpointFaultLocked(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT, "%s", invalid)
	}
	return result, err
}
