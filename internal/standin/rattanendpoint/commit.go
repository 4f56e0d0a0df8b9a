package rattanendpoint

import (
	"context"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const transactionFault = rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION

func (i *Instance) runRollback(c *call) (*rattanv1.RunStatementsResponse, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	open := c.connection.transaction
	if open == nil || open.name != c.GetTransaction() {
		return nil, i.endpointFaultLocked(transactionFault, "transaction %q is not open on connection %s", c.GetTransaction(), c.GetConnection())
	}
	c.connection.rollBack()
	return &rattanv1.RunStatementsResponse{Position: i.state.lastPosition()}, nil
}

// checkOpen returns an error when the connection is closed, the call's transaction
// was rolled back, or a call that may write finds that the instance is not the
// primary of its term any more. The caller holds mu.
func (i *Instance) checkOpen(c *call) error {
	if c.connection.closed {
		return errNoConnection(c.GetConnection())
	}
	if !c.GetReadOnly() {
		if err := i.checkPrimary(c.GetTerm()); err != nil {
			return err
		}
	}
	if !c.autocommit && c.connection.transaction != c.transaction {
		return i.endpointFaultLocked(transactionFault, "transaction %q was rolled back", c.GetTransaction())
	}
	return nil
}

// finish commits the transaction if it ends with this call.
func (i *Instance) finish(ctx context.Context, c *call, results []*rattanv1.Result) (*rattanv1.RunStatementsResponse, error) {
	if err := i.waitUnfrozen(ctx); err != nil {
		return nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := i.checkOpen(c); err != nil {
		return nil, err
	}
	if !c.autocommit && c.GetStep() != rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT {
		return &rattanv1.RunStatementsResponse{Results: results, Position: i.state.lastPosition()}, nil
	}
	return i.commit(c, results)
}

// commit writes the changes and the request record in one log entry, so that
// neither is replicated or truncated without the other. The caller holds mu.
func (i *Instance) commit(c *call, results []*rattanv1.Result) (*rattanv1.RunStatementsResponse, error) {
	sum := digest(c.transaction.statements)
	// Another call with the same identifier may have committed in the meantime.
	found, repeated, err := i.findRecord(c.RunStatementsRequest, sum)
	if err != nil {
		return nil, err
	}
	changes := c.transaction.Changes()
	c.transaction.Close()
	if !c.autocommit {
		c.connection.transaction = nil
	}
	if repeated {
		return &rattanv1.RunStatementsResponse{Results: found.results, Position: i.confirmablePosition(found.index), Repeated: true}, nil
	}
	if len(changes) > 0 || c.GetRequestId() != "" && !c.GetReadOnly() {
		entry := &rattanv1.LogEntry{Statements: encodeEffects(changes), ClientAccount: c.GetClientAccount(), RequestId: c.GetRequestId()}
		if c.GetRequestId() != "" {
			entry.Outcome = encodeOutcome(sum, results)
		}
		i.append(entry)
	}
	return &rattanv1.RunStatementsResponse{Results: results, Position: i.state.lastPosition()}, nil
}
