package rattanstatemachine

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

func statement(kind rattanstatement.Kind, name, argument string) rattanstatement.Statement {
	return rattanstatement.Statement{ID: "id", Kind: kind, Name: name, Argument: argument}
}

func assertPlan(t *testing.T, plan Plan, action Action, code rattanstatement.Code) {
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
		{"read", rattanstatement.Read, RunSingle, rattanstatement.None},
		{"write", rattanstatement.Write, RunSingle, rattanstatement.None},
		{"begin", rattanstatement.Begin, BeginTransaction, rattanstatement.None},
		{"commit", rattanstatement.Commit, Answer, rattanstatement.Malformed},
		{"rollback", rattanstatement.Rollback, Answer, rattanstatement.Malformed},
		{"unknown prepared statement", rattanstatement.Execute, Answer, rattanstatement.UnknownPrepared},
		{"unknown name to forget", rattanstatement.Deallocate, Answer, rattanstatement.UnknownPrepared},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertPlan(t, New().Plan(statement(test.kind, "n", "a")), test.action, test.code)
		})
	}
}

// TestFailedTransaction guards against a success of a transaction that has failed.
func TestFailedTransaction(t *testing.T) {
	c := New()
	c.Begun()
	assertPlan(t, c.Plan(statement(rattanstatement.Begin, "", "")), Answer, rattanstatement.Malformed)
	assertPlan(t, c.Plan(statement(rattanstatement.Execute, "none", "i1")), Answer, rattanstatement.UnknownPrepared)
	assertPlan(t, c.Plan(statement(rattanstatement.Read, "", "i1")), Answer, rattanstatement.Malformed)
	assertPlan(t, c.Plan(statement(rattanstatement.Commit, "", "")), EndFailed, rattanstatement.Aborted)
	assertPlan(t, c.Plan(statement(rattanstatement.Read, "", "i1")), RunSingle, rattanstatement.None)
}

// TestPreparedStatementsKeepTheirAccess guards against a prepared write that is
// sent to a replica.
func TestPreparedStatementsKeepTheirAccess(t *testing.T) {
	c := New()
	prepare := statement(rattanstatement.Prepare, "s1", "q1")
	prepare.Access = rattanstatement.WriteAccess
	c.Plan(prepare)
	plan := c.Plan(statement(rattanstatement.Execute, "s1", "i1 data"))
	if !plan.Work.IsWrite || plan.Work.Prepared.Text != "q1" {
		t.Errorf("work %+v is not the prepared write", plan.Work)
	}
}

// TestValuesAreNotShared guards against a statement under way whose session values
// change.
func TestValuesAreNotShared(t *testing.T) {
	c := New()
	c.Plan(statement(rattanstatement.Set, "zone", "a"))
	before := c.Values()
	c.Plan(statement(rattanstatement.Set, "zone", "b"))
	if before["zone"] != "a" || c.Values()["zone"] != "b" {
		t.Errorf("values %v and %v", before, c.Values())
	}
}

// TestNamesAreBounded guards against a caller that takes all memory.
func TestNamesAreBounded(t *testing.T) {
	c := New()
	for i := range maxNames {
		c.Plan(statement(rattanstatement.Set, string(rune('a'+i%26))+string(rune('a'+i/26)), "x"))
	}
	assertPlan(t, c.Plan(statement(rattanstatement.Set, "one-more", "x")), Answer, rattanstatement.TooLarge)
}
