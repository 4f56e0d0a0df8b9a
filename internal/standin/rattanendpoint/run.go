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
	// transaction is the one that the call runs in; single is true when it
	// begins and ends with the call.
	transaction *transaction
	single      bool
}

// RunStatements implements EndpointService. Any fault after the call has joined
// a transaction rolls the transaction back.
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
	return connect.NewResponse(i.crossAnswer(response)), nil
}

// abandon rolls the call's transaction back.
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

// parse parses the statements of the call.
func (i *Instance) parse(c *call) error {
	for _, statement := range c.GetStatements() {
		parsed, err := rattansql.Parse(statement.GetText())
		if err == nil && c.GetReadOnly() && !parsed.ReadOnly() {
			err = errors.New("a read-only call has a statement that writes")
		}
		if err != nil {
			c.transaction = c.connection.transaction
			return i.lockedFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT, "%s", err)
		}
		c.statements = append(c.statements, parsed)
	}
	return nil
}

// runRepeated answers a call whose request identifier has a record.
func (i *Instance) runRepeated(c *call) (*rattanv1.RunStatementsResponse, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.GetRequestId() == "" {
		return nil, nil
	}
	if err := i.checkPrimary(c.GetTerm()); err != nil {
		return nil, err
	}
	var wanted []byte
	if c.GetStep() == rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED {
		wanted = digest(c.GetStatements())
	}
	found, ok, err := i.recorded(c.RunStatementsRequest, wanted)
	if !ok || err != nil {
		return nil, err
	}
	return &rattanv1.RunStatementsResponse{Results: found.results, Position: i.confirmable(found.index), Repeated: true}, nil
}

// join finds or begins the call's transaction.
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
		c.single = true
		c.transaction = &transaction{Transaction: i.database.Begin(false)}
	case rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN:
		if open != nil {
			return i.fault(transactionFault, "transaction %q is open on connection %s", open.name, c.GetConnection())
		}
		c.transaction = &transaction{Transaction: i.database.Begin(!c.GetReadOnly()), name: c.GetTransaction()}
		c.connection.transaction = c.transaction
	default:
		if open == nil || open.name != c.GetTransaction() {
			return i.fault(transactionFault, "transaction %q is not open on connection %s", c.GetTransaction(), c.GetConnection())
		}
		c.transaction = open
	}
	c.transaction.statements = append(c.transaction.statements, c.GetStatements()...)
	return nil
}

func (i *Instance) runAll(ctx context.Context, c *call) ([]*rattanv1.Result, error) {
	var results []*rattanv1.Result
	for at, statement := range c.statements {
		if err := i.sleep(ctx, i.serviceTime()); err != nil {
			return nil, err
		}
		if err := i.waitThawed(ctx); err != nil {
			return nil, err
		}
		result, err := i.runOne(ctx, c, statement, decodeValues(c.GetStatements()[at].GetArguments()))
		if err != nil {
			return nil, err
		}
		results = append(results, encodeResult(result))
	}
	return results, nil
}

// runOne runs a statement and waits for the row locks that it needs.
func (i *Instance) runOne(ctx context.Context, c *call, statement rattansql.Statement, arguments []rattansql.Value) (rattansql.Result, error) {
	var timeout <-chan time.Time
	for {
		result, err := i.tryOne(c, statement, arguments)
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
			return result, i.lockedFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED, "%s after %s", blocked, i.config.LockTimeout)
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

func (i *Instance) tryOne(c *call, statement rattansql.Statement, arguments []rattansql.Value) (rattansql.Result, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkOpen(c); err != nil {
		return rattansql.Result{}, err
	}
	result, err := c.transaction.Run(statement, arguments)
	var invalid *rattansql.StatementError
	if errors.As(err, &invalid) {
		err = i.fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT, "%s", invalid)
	}
	return result, err
}
