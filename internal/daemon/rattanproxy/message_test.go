package rattanproxy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/platform/platformtest"
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

// TestOddAccount guards against the name of a client account that reaches an endpoint as a
// message, or as a field, of its own, and against a statement that is then not answered.
func TestOddAccount(t *testing.T) {
	t.Parallel()
	for _, account := range []string{"a b", "a\r\nQUERY z9 WRITE i1 stolen"} {
		t.Run(account, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
			config := platformtest.Config{Version: 2, Account: account, Keys: []string{"odd-key"}, Rate: 1000, Connections: 30, Timeout: 2 * time.Second, Objective: 250 * time.Millisecond, Staleness: 1500 * time.Millisecond}
			if err := f.store.Put(platformtest.ConfigKey, config.Entry()); err != nil {
				t.Fatal(err)
			}
			caller := f.dial(f.daemons[0], "checkout", "odd-key")
			begun := time.Now()
			assertAnswer(t, caller, "WRITE i1 after", "ERROR BUSY ")
			assertAnswer(t, caller, "READ i1", "ERROR BUSY ")
			if took := time.Since(begun); took > time.Second {
				t.Errorf("the answers took %s", took)
			}
		})
	}
}
