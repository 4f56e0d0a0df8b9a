package rattanproxy_test

import (
	"strings"
	"testing"
)

// TestStatementNotText guards against a session, or a transaction, that ends because of a
// statement that is not UTF-8.
func TestStatementNotText(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 before", waitBound)
	assertMalformed(t, caller, "WRITE i1 a\xff")
	assertAnswer(t, caller, "READ i1", "ROW before|COMPLETE ")
	assertAnswer(t, caller, "BEGIN", "COMPLETE ")
	assertAnswer(t, caller, "WRITE i1 after", "COMPLETE ")
	assertMalformed(t, caller, "WRITE i1 \xe2\x82")
	assertAnswer(t, caller, "COMMIT", "COMPLETE ")
	assertAnswer(t, caller, "READ i1", "ROW after|COMPLETE ")
}

func assertMalformed(t *testing.T, caller *testCaller, text string) {
	t.Helper()
	assertAnswer(t, caller, text, "ERROR MALFORMED ")
}

func assertAnswer(t *testing.T, caller *testCaller, text, prefix string) {
	t.Helper()
	if got := caller.query(text); !strings.HasPrefix(got, prefix) {
		t.Errorf("%q: got %q, want %q", text, got, prefix)
	}
}
