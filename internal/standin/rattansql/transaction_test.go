package rattansql

import (
	"errors"
	"fmt"
	"testing"
)

func newTestDatabase(t *testing.T) *Database {
	t.Helper()
	d := NewDatabase()
	runAndApply(t, d, "CREATE TABLE t (id TEXT PRIMARY KEY, n INTEGER)")
	runAndApply(t, d, "INSERT INTO t VALUES ('a', 1), ('b', 2), ('c', NULL)")
	return d
}

func run(t *testing.T, transaction *Transaction, text string, arguments ...Value) (Result, error) {
	t.Helper()
	statement, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return transaction.Run(statement, arguments)
}

func runAndApply(t *testing.T, d *Database, text string, arguments ...Value) Result {
	t.Helper()
	transaction := d.Begin(false)
	defer transaction.Close()
	result, err := run(t, transaction, text, arguments...)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if err := d.Apply(transaction.Changes()); err != nil {
		t.Fatal(err)
	}
	return result
}

// TestRun guards against statements with a wrong result.
func TestRun(t *testing.T) {
	for _, tc := range []struct {
		text      string
		arguments []Value
		check     string
		want      string
	}{
		{"INSERT INTO t (n, id) VALUES (7 - 2, ?)", []Value{"d"}, "SELECT * FROM t WHERE id = 'd'", "[[d 5]]"},
		{"UPDATE t SET n = n + ? WHERE id != 'a'", []Value{int64(3)}, "SELECT id, n FROM t ORDER BY n DESC, id", "[[b 5] [a 1] [c <nil>]]"},
		{"UPDATE t SET id = 'z' WHERE id = 'a'", nil, "SELECT id FROM t WHERE id = 'z'", "[[z]]"},
		{"DELETE FROM t WHERE n >= 1 AND n < 2", nil, "SELECT COUNT(*), SUM(n) FROM t", "[[2 2]]"},
		{"DELETE FROM t", nil, "SELECT SUM(n), COUNT(*) FROM t", "[[<nil> 0]]"},
		{"CREATE TABLE IF NOT EXISTS t (id TEXT)", nil, "SELECT id FROM t ORDER BY id DESC LIMIT 2", "[[c] [b]]"},
		{"UPDATE t SET n = -5 WHERE id = 'c'", nil, "SELECT n FROM t WHERE id >= 'b' ORDER BY n", "[[-5] [2]]"},
	} {
		t.Run(tc.text, func(t *testing.T) {
			d := newTestDatabase(t)
			runAndApply(t, d, tc.text, tc.arguments...)
			if got := fmt.Sprint(runAndApply(t, d, tc.check).Rows); got != tc.want {
				t.Errorf("%s: got %s, want %s", tc.check, got, tc.want)
			}
		})
	}
}

// TestRunErrors guards against invalid statements that are accepted or leave
// changes in the transaction.
func TestRunErrors(t *testing.T) {
	for _, text := range []string{
		"INSERT INTO t VALUES ('d', 1), ('a', 1)",
		"INSERT INTO t VALUES ('d', 1), ('d', 2)",
		"INSERT INTO t VALUES ('d', 'text')",
		"INSERT INTO t (n) VALUES (1)",
		"INSERT INTO t VALUES ('d')",
		"INSERT INTO missing VALUES (1)",
		"UPDATE t SET id = 'b' WHERE id = 'a'",
		"UPDATE t SET n = n + 9223372036854775807",
		"UPDATE t SET missing = 1",
		"DELETE FROM t WHERE missing = 1",
		"SELECT id, COUNT(*) FROM t",
		"SELECT * FROM t LIMIT ?",
		"CREATE TABLE t (id TEXT)",
		"CREATE TABLE u (id TEXT, id TEXT)",
	} {
		t.Run(text, func(t *testing.T) {
			transaction := newTestDatabase(t).Begin(false)
			_, err := run(t, transaction, text)
			var invalid *StatementError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want a *StatementError", err)
			}
			if changes := transaction.Changes(); len(changes) > 0 {
				t.Errorf("failed statement left changes %v", changes)
			}
		})
	}
}

// TestLocks guards against two transactions that change the same row or key,
// and against a lock that outlives its transaction.
func TestLocks(t *testing.T) {
	for _, tc := range []struct {
		name, first, second string
		blocked             bool
	}{
		{"same row", "UPDATE t SET n = n + 1 WHERE id = 'a'", "UPDATE t SET n = 5 WHERE id = 'a'", true},
		{"other row", "UPDATE t SET n = n + 1 WHERE id = 'a'", "DELETE FROM t WHERE id = 'b'", false},
		{"new key", "INSERT INTO t VALUES ('d', 1)", "INSERT INTO t VALUES ('d', 2)", true},
		{"removed key", "DELETE FROM t WHERE id = 'a'", "INSERT INTO t VALUES ('a', 2)", true},
		{"read row", "SELECT * FROM t WHERE id = 'a'", "UPDATE t SET n = 5 WHERE id = 'a'", true},
		{"two reads", "SELECT * FROM t", "SELECT * FROM t", false},
		{"new table", "CREATE TABLE u (n REAL)", "CREATE TABLE u (n TEXT)", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDatabase(t)
			first, second := d.Begin(true), d.Begin(true)
			if _, err := run(t, first, tc.first); err != nil {
				t.Fatal(err)
			}
			_, err := run(t, second, tc.second)
			var blocked *BlockedError
			if errors.As(err, &blocked) != tc.blocked {
				t.Fatalf("second transaction: got %v, want blocked %t", err, tc.blocked)
			}
			first.Close()
			if !tc.blocked {
				return
			}
			select {
			case <-blocked.Released:
			default:
				t.Error("lock is not released after the first transaction has closed")
			}
			second.Close()
			if len(d.locks) > 0 {
				t.Errorf("%d locks are left after both transactions have closed", len(d.locks))
			}
		})
	}
}
