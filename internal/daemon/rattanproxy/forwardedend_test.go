package rattanproxy

import (
	"context"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const endedName = "vm-2/x/1"

// An endingTransaction waits in each call that ends it until release is closed. After that its
// connection may serve another transaction.
type endingTransaction struct {
	ending, release chan struct{}
	isEnded         bool
	// runsAfter and abortsAfter count what happens to the connection after the end.
	runsAfter, abortsAfter int
}

func newEndingTransaction() *endingTransaction {
	return &endingTransaction{ending: make(chan struct{}), release: make(chan struct{})}
}

func (e *endingTransaction) Run(rattanupstream.StatementRequest, time.Time) (rattanstatement.Result, error) {
	if e.isEnded {
		e.runsAfter++
	}
	return rattanstatement.Result{Signature: "1"}, nil
}

func (e *endingTransaction) Commit(rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	e.end()
	return rattanstatement.Result{Signature: "2"}, nil
}

func (e *endingTransaction) Rollback() { e.end() }

func (e *endingTransaction) Abort() {
	if e.isEnded {
		e.abortsAfter++
		return
	}
	e.end()
}

func (e *endingTransaction) end() {
	close(e.ending)
	<-e.release
	e.isEnded = true
}

// assertUntouched checks that nothing has happened to the connection after the end.
func (e *endingTransaction) assertUntouched(t *testing.T) {
	t.Helper()
	if e.runsAfter != 0 || e.abortsAfter != 0 {
		t.Errorf("after its end the connection got %d statements of the transaction and was closed %d times", e.runsAfter, e.abortsAfter)
	}
}

// handleInBackground handles a request and returns a channel with the response.
func (f *forwardedWork) handleInBackground(kind rattanv1.WorkKind) <-chan *rattanv1.WorkResponse {
	responses := make(chan *rattanv1.WorkResponse, 1)
	request := &rattanv1.WorkRequest{Kind: kind, Endpoint: "e1", Transaction: endedName, StatementId: "id-1", Text: "READ i1", DeadlineMs: 5000}
	go func() {
		frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkRequest{WorkRequest: request}}
		// The handler returns no errors.
		reply, _ := f.handle(context.Background(), frame)
		responses <- reply.GetWorkResponse()
	}()
	return responses
}

// TestEndedTransactionIsLeft guards against a connection that goes on to serve or is closed
// for a transaction that has ended, while it may serve that of another caller (PINNED).
func TestEndedTransactionIsLeft(t *testing.T) {
	for _, kind := range []rattanv1.WorkKind{
		rattanv1.WorkKind_WORK_KIND_COMMIT, rattanv1.WorkKind_WORK_KIND_ROLLBACK, rattanv1.WorkKind_WORK_KIND_ABORT,
	} {
		t.Run(kind.String()+" before a statement", func(t *testing.T) {
			f, transaction := newIdleProxy(t, "vm-1").forwarded, newEndingTransaction()
			forwarded := &forwardedTransaction{transaction: transaction, lastUsed: f.proxy.clock.Now()}
			f.transactions[endedName] = forwarded
			end := f.handleInBackground(kind)
			<-transaction.ending
			// The statement finds the transaction, as one does that arrives before the end and
			// waits for its turn.
			f.mu.Lock()
			f.transactions[endedName] = forwarded
			f.mu.Unlock()
			run := f.handleInBackground(rattanv1.WorkKind_WORK_KIND_RUN)
			for f.runningCount() < 2 {
				time.Sleep(time.Millisecond)
			}
			close(transaction.release)
			if response := <-end; response.GetFailure() != rattanv1.WorkFailure_WORK_FAILURE_UNSPECIFIED {
				t.Errorf("the end got %s", response)
			}
			if response := <-run; response.GetFailure() != rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN {
				t.Errorf("the statement got %s, want it reported as not run", response)
			}
			transaction.assertUntouched(t)
		})
		t.Run(kind.String()+" before the end of the idle time", func(t *testing.T) {
			f, transaction := newIdleProxy(t, "vm-1").forwarded, newEndingTransaction()
			forwarded := &forwardedTransaction{transaction: transaction, lastUsed: f.proxy.clock.Now()}
			f.transactions[endedName] = forwarded
			end := f.handleInBackground(kind)
			<-transaction.ending
			idle := make(chan struct{})
			go func() {
				defer close(idle)
				f.endIfIdle(endedName, forwarded, 0)
			}()
			close(transaction.release)
			<-end
			<-idle
			transaction.assertUntouched(t)
		})
	}
}
