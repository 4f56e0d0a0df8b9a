package rattansql

import (
	"errors"
	"testing"
)

// TestParseErrors guards against invalid text that is accepted, and against
// syntax errors with a wrong offset.
func TestParseErrors(t *testing.T) {
	for _, tc := range []struct {
		text   string
		offset int
	}{
		{"", 0},
		{"DROP TABLE t", 0},
		{"SELECT * FROM", 13},
		{"SELECT * FROM t WHERE", 21},
		{"SELECT * FROM t WHERE n ! 1", 24},
		{"SELECT * FROM t WHERE n = 'open", 26},
		{"SELECT MAX(n) FROM t", 11},
		{"SELECT * FROM t LIMIT 99999999999999999999", 22},
		{"SELECT * FROM t; SELECT * FROM t", 17},
		{"INSERT INTO t VALUES (1", 23},
		{"CREATE TABLE t (n MONEY)", 18},
		{"UPDATE t SET n = n * 2", 19},
		{"SELECT * FROM select", 14},
	} {
		t.Run(tc.text, func(t *testing.T) {
			_, err := Parse(tc.text)
			var syntax *SyntaxError
			if !errors.As(err, &syntax) {
				t.Fatalf("got %v, want a *SyntaxError", err)
			}
			if syntax.Offset != tc.offset {
				t.Errorf("offset %d (%s), want %d", syntax.Offset, err, tc.offset)
			}
		})
	}
}

// FuzzParse guards against a text that makes the parser or the statement panic,
// and against errors that are neither a *SyntaxError nor a *StatementError.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"CREATE TABLE IF NOT EXISTS t (id TEXT PRIMARY KEY, n INTEGER)",
		"INSERT INTO t (id, n) VALUES ('it''s', -1 + ?), (?, 2)",
		"UPDATE t SET n = n - 1, id = ? WHERE n >= 1 AND id <> 'b';",
		"DELETE FROM t WHERE n < 1.5",
		"SELECT COUNT(*), SUM(n) FROM t WHERE id = ? ORDER BY n DESC, id LIMIT 3",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := Parse(text)
		var syntax *SyntaxError
		if err != nil && !errors.As(err, &syntax) {
			t.Fatalf("error %v is not a *SyntaxError", err)
		}
		if err != nil {
			return
		}
		transaction := newTestDatabase(t).Begin(true)
		defer transaction.Close()
		arguments := make([]Value, statement.Arguments())
		for i := range arguments {
			arguments[i] = int64(i)
		}
		var invalid *StatementError
		if _, err := transaction.Run(statement, arguments); err != nil && !errors.As(err, &invalid) {
			t.Fatalf("error %v is not a *StatementError", err)
		}
	})
}
