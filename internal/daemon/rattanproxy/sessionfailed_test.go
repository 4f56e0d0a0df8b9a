package rattanproxy

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A recordingConn is a caller's connection that keeps the last result and read deadline.
type recordingConn struct {
	CallerConn
	last         rattanstatement.Result
	readDeadline time.Time
}

func (c *recordingConn) WriteResult(result rattanstatement.Result) error {
	c.last = result
	return nil
}

func (c *recordingConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return nil
}

func (c *recordingConn) SetWriteDeadline(time.Time) error { return nil }

// handle handles a statement and checks the code and transaction status of its result.
func (s *session) handle(t *testing.T, kind rattanstatement.Kind, code rattanstatement.Code, status rattanstatement.TransactionStatus) {
	t.Helper()
	if err := s.handleStatement(rattanstatement.Statement{ID: "id-1", Kind: kind, Name: "unknown", Argument: "i1"}); err != nil {
		t.Fatal(err)
	}
	if last := s.conn.(*recordingConn).last; last.Code != code || last.TransactionStatus != status {
		t.Errorf("got %s and status %d, want %s and status %d", last.Code, last.TransactionStatus, code, status)
	}
}

// assertNoTransaction checks that nothing of a transaction is left in the session.
func (s *session) assertNoTransaction(t *testing.T) {
	t.Helper()
	if s.transaction != nil {
		t.Error("the transaction is still open at its endpoint")
	}
	if err := s.awaitNext(); err != nil {
		t.Fatal(err)
	}
	if deadline := s.conn.(*recordingConn).readDeadline; !deadline.IsZero() {
		t.Errorf("the session waits for its next statement until %s", deadline)
	}
	if s.isBusy {
		t.Error("the session does not close when it is idle")
	}
}

// TestFailedStatementEndsTransaction guards against a transaction that stays open at its
// endpoint after a statement in it has failed without being sent, and against the idle limit
// that then fails a session without a transaction.
func TestFailedStatementEndsTransaction(t *testing.T) {
	for _, test := range []struct {
		name string
		end  rattanstatement.Kind
		code rattanstatement.Code
	}{
		{"then a rollback", rattanstatement.Rollback, rattanstatement.None},
		{"then a commit", rattanstatement.Commit, rattanstatement.Aborted},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newIdleProxy(t, "vm-1")
			s := &session{proxy: p, conn: &recordingConn{}, stateMachine: rattanstatemachine.New()}
			s.transaction = p.dispatch.Begin(rattancatalog.Route{}, false)
			s.stateMachine.TransactionBegun()
			s.handle(t, rattanstatement.Execute, rattanstatement.UnknownPrepared, rattanstatement.FailedTransaction)
			s.assertNoTransaction(t)
			s.handle(t, test.end, test.code, rattanstatement.Idle)
			s.assertNoTransaction(t)
		})
	}
}
