package rattanstatemachine

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

func statement(kind rattanstatement.Kind, name, argument string) rattanstatement.Statement {
	return rattanstatement.Statement{ID: "id", Kind: kind, Name: name, Argument: argument}
}

func assertPlan(t *testing.T, plan Decision, action Action, code rattanstatement.Code) {
	t.Helper()
	if plan.Action != action || plan.Result.Code != code {
		t.Errorf("action %d with %s, want %d with %s", plan.Action, plan.Result.Code, action, code)
	}
}

// TestStatementsOutsideTransactions guards against statements that run in a
// transaction that is not open.
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
		{"unknown prepared statement", rattanstatement.Execute, AnswerLocally, rattanstatement.UnknownPrepared},
		{"unknown name to forget", rattanstatement.Deallocate, AnswerLocally, rattanstatement.UnknownPrepared},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertPlan(t, New().Decide(statement(test.kind, "n", "a")), test.action, test.code)
		})
	}
}

// TestFailedTransaction guards against a success of a transaction that has failed.
func TestFailedTransaction(t *testing.T) {
	c := New()
	c.TransactionBegun()
	assertPlan(t, c.Decide(statement(rattanstatement.Begin, "", "")), AnswerLocally, rattanstatement.Malformed)
	assertPlan(t, c.Decide(statement(rattanstatement.Execute, "none", "i1")), AnswerLocally, rattanstatement.UnknownPrepared)
	assertPlan(t, c.Decide(statement(rattanstatement.Read, "", "i1")), AnswerLocally, rattanstatement.Malformed)
	assertPlan(t, c.Decide(statement(rattanstatement.Commit, "", "")), EndFailedTransaction, rattanstatement.Aborted)
	assertPlan(t, c.Decide(statement(rattanstatement.Read, "", "i1")), RunAutocommit, rattanstatement.None)
}

// TestPreparedStatementsKeepTheirAccess guards against a prepared write that is
// sent to a replica.
func TestPreparedStatementsKeepTheirAccess(t *testing.T) {
	c := New()
	prepare := statement(rattanstatement.Prepare, "s1", "q1")
	prepare.Access = rattanstatement.WriteAccess
	c.Decide(prepare)
	plan := c.Decide(statement(rattanstatement.Execute, "s1", "i1 data"))
	if !plan.Operation.IsWrite || plan.Operation.Prepared.Text != "q1" {
		t.Errorf("work %+v is not the prepared write", plan.Operation)
	}
}

// TestValuesAreNotShared guards against a statement under way whose session values
// change.
func TestValuesAreNotShared(t *testing.T) {
	c := New()
	c.Decide(statement(rattanstatement.Set, "zone", "a"))
	before := c.Values()
	c.Decide(statement(rattanstatement.Set, "zone", "b"))
	if before["zone"] != "a" || c.Values()["zone"] != "b" {
		t.Errorf("values %v and %v", before, c.Values())
	}
}

// TestNamesAreBounded guards against a caller that takes all memory.
func TestNamesAreBounded(t *testing.T) {
	c := New()
	for i := range maxNames {
		c.Decide(statement(rattanstatement.Set, string(rune('a'+i%26))+string(rune('a'+i/26)), "x"))
	}
	assertPlan(t, c.Decide(statement(rattanstatement.Set, "one-more", "x")), AnswerLocally, rattanstatement.TooLarge)
}
