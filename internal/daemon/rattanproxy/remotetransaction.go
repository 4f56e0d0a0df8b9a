package rattanproxy

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// abortTimeout limits the call that ends a transaction at another daemon. If the
// call fails, that daemon ends the idle transaction by itself.
const abortTimeout = 300 * time.Millisecond

// A remoteTransaction is a transaction on a connection that another daemon owns.
type remoteTransaction struct {
	owners   *owners
	upstream *rattanupstream.Upstream
	vm       string
	address  string
	name     string
}

var _ rattanupstream.Transaction = (*remoteTransaction)(nil)

func (t *remoteTransaction) call(kind rattanv1.WorkKind, statement rattanupstream.StatementRequest, until time.Time) (rattanstatement.Result, error) {
	request := newWorkRequest(kind, t.upstream.Endpoint().ID, statement)
	request.Transaction = t.name
	return t.owners.forward(t.upstream, t.vm, t.address, request, until)
}

// Run implements rattanupstream.Transaction.
func (t *remoteTransaction) Run(statement rattanupstream.StatementRequest, until time.Time) (rattanstatement.Result, error) {
	return t.call(rattanv1.WorkKind_WORK_KIND_RUN, statement, until)
}

// Commit implements rattanupstream.Transaction. An owner that does not know the
// transaction has rolled it back.
func (t *remoteTransaction) Commit(statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	result, err := t.call(rattanv1.WorkKind_WORK_KIND_COMMIT, statement, statement.Deadline)
	var callErr *ownerCallError
	if errors.As(err, &callErr) && callErr.isNotRun {
		t.Abort()
		return result, errors.Wrap(rattanupstream.ErrNoGrant, callErr.Error())
	}
	return result, err
}

// Rollback implements rattanupstream.Transaction.
func (t *remoteTransaction) Rollback() { t.end(rattanv1.WorkKind_WORK_KIND_ROLLBACK) }

// Abort implements rattanupstream.Transaction.
func (t *remoteTransaction) Abort() { t.end(rattanv1.WorkKind_WORK_KIND_ABORT) }

// end ends the transaction at the owner without waiting for the response.
func (t *remoteTransaction) end(kind rattanv1.WorkKind) {
	go func() {
		if _, err := t.call(kind, rattanupstream.StatementRequest{}, t.owners.proxy.clock.Now().Add(abortTimeout)); err != nil {
			t.owners.proxy.logger.Info("transaction_end_unsure", "transaction", t.name, "keeper", t.vm, "error", err)
		}
	}()
}
