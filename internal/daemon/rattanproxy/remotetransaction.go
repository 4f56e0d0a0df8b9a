package rattanproxy

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// abortTimeout limits the message that ends a transaction at another daemon,
// which ends it by itself when none comes.
const abortTimeout = 300 * time.Millisecond

// A remoteTransaction is a transaction on a connection of another daemon.
type remoteTransaction struct {
	owners   *owners
	upstream *rattanupstream.Upstream
	vm       string
	address  string
	name     string
}

var _ rattanupstream.Transaction = (*remoteTransaction)(nil)

func (t *remoteTransaction) call(kind rattanv1.WorkKind, task rattanupstream.StatementRequest, until time.Time) (rattanstatement.Result, error) {
	request := workRequest(kind, t.upstream.Endpoint().ID, task)
	request.Transaction = t.name
	return t.owners.forward(t.upstream, t.vm, t.address, request, until)
}

// Run implements rattanupstream.Transaction.
func (t *remoteTransaction) Run(task rattanupstream.StatementRequest, until time.Time) (rattanstatement.Result, error) {
	return t.call(rattanv1.WorkKind_WORK_KIND_RUN, task, until)
}

// Commit implements rattanupstream.Transaction. An owner that does not know the
// transaction has rolled it back.
func (t *remoteTransaction) Commit(task rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	result, err := t.call(rattanv1.WorkKind_WORK_KIND_COMMIT, task, task.Deadline)
	var lost *keeperLostError
	if errors.As(err, &lost) && lost.isUnsent {
		t.Abort()
		return result, errors.Wrap(rattanupstream.ErrNoGrant, lost.Error())
	}
	return result, err
}

// Rollback implements rattanupstream.Transaction.
func (t *remoteTransaction) Rollback() { t.end(rattanv1.WorkKind_WORK_KIND_ROLLBACK) }

// Abort implements rattanupstream.Transaction.
func (t *remoteTransaction) Abort() { t.end(rattanv1.WorkKind_WORK_KIND_ABORT) }

// end tells the owner to end the transaction; the caller does not wait for it.
func (t *remoteTransaction) end(kind rattanv1.WorkKind) {
	go func() {
		if _, err := t.call(kind, rattanupstream.StatementRequest{}, t.owners.proxy.clock.Now().Add(abortTimeout)); err != nil {
			t.owners.proxy.logger.Info("transaction_end_unsure", "transaction", t.name, "keeper", t.vm, "error", err)
		}
	}()
}
