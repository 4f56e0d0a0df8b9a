package rattanstatemachine

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

func statement(kind rattanstatement.Kind, name, argument string) rattanstatement.Statement {
	return rattanstatement.Statement{ID: "id", Kind: kind, Name: name, Argument: argument}
}

func assertDecision(t *testing.T, decision Decision, action Action, code rattanstatement.Code) {
	t.Helper()
	if decision.Action != action || decision.Result.Code != code {
		t.Errorf("action %d with code %s, want action %d with code %s", decision.Action, decision.Result.Code, action, code)
	}
}

// TestStatementsOutsideTransactions guards against statements that are handled as
// part of a transaction although none is open.
func TestStatementsOutsideTransactions(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   rattanstatement.Kind
		action Action
		code   rattanstatement.Code
	}{
		{"read", rattanstatement.Read, RunAutocommit, rattanstatement.None},
		{"write", rattanstatement.Write, RunAutocommit, rattanstatement.None},
		{"begin", rattanstatement.Begin, BeginTransaction, rattanstatement.None},
		{"commit", rattanstatement.Commit, AnswerLocally, rattanstatement.Malformed},
		{"rollback", rattanstatement.Rollback, AnswerLocally, rattanstatement.Malformed},
		{"execute of an unknown prepared statement", rattanstatement.Execute, AnswerLocally, rattanstatement.UnknownPrepared},
		{"deallocate of an unknown prepared statement", rattanstatement.Deallocate, AnswerLocally, rattanstatement.UnknownPrepared},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertDecision(t, New().Decide(statement(test.kind, "n", "a")), test.action, test.code)
		})
	}
}

// TestFailedTransaction guards against a failed transaction that accepts further
// statements or reports a successful commit.
func TestFailedTransaction(t *testing.T) {
	s := New()
	s.TransactionBegun()
	assertDecision(t, s.Decide(statement(rattanstatement.Begin, "", "")), AnswerLocally, rattanstatement.Malformed)
	assertDecision(t, s.Decide(statement(rattanstatement.Execute, "none", "i1")), AnswerLocally, rattanstatement.UnknownPrepared)
	assertDecision(t, s.Decide(statement(rattanstatement.Read, "", "i1")), AnswerLocally, rattanstatement.Malformed)
	assertDecision(t, s.Decide(statement(rattanstatement.Commit, "", "")), EndFailedTransaction, rattanstatement.Aborted)
	assertDecision(t, s.Decide(statement(rattanstatement.Read, "", "i1")), RunAutocommit, rattanstatement.None)
}

// TestPreparedStatementsKeepTheirAccess guards against a prepared write that is
// taken for a read and sent to a replica.
func TestPreparedStatementsKeepTheirAccess(t *testing.T) {
	s := New()
	prepare := statement(rattanstatement.Prepare, "s1", "q1")
	prepare.Access = rattanstatement.WriteAccess
	s.Decide(prepare)
	decision := s.Decide(statement(rattanstatement.Execute, "s1", "i1 data"))
	if !decision.Operation.IsWrite || decision.Operation.Prepared.Text != "q1" {
		t.Errorf("operation %+v is not the prepared write", decision.Operation)
	}
}

// TestVariablesAreNotShared guards against a statement in flight whose session
// variables change because a later SET modifies the same map.
func TestVariablesAreNotShared(t *testing.T) {
	s := New()
	s.Decide(statement(rattanstatement.Set, "zone", "a"))
	before := s.Values()
	s.Decide(statement(rattanstatement.Set, "zone", "b"))
	if before["zone"] != "a" || s.Values()["zone"] != "b" {
		t.Errorf("session variables: %v before and %v after the second SET", before, s.Values())
	}
}

// TestNamesAreBounded guards against a caller that exhausts the daemon's memory by
// setting ever more session variables.
func TestNamesAreBounded(t *testing.T) {
	s := New()
	for i := range maxNames {
		s.Decide(statement(rattanstatement.Set, string(rune('a'+i%26))+string(rune('a'+i/26)), "x"))
	}
	assertDecision(t, s.Decide(statement(rattanstatement.Set, "one-more", "x")), AnswerLocally, rattanstatement.TooLarge)
}
