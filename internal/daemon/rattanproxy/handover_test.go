package rattanproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// scarceAccounts are more accounts than an owner keeps connections idle for
	// otherwise, 10 of 30, and as many as it keeps where connections are scarce.
	scarceAccounts = 18
	// settledAfter is long enough for a new owner to have all its connections.
	settledAfter = 4 * time.Second
	// statementPause keeps callers within their accounts' rates.
	statementPause = 20 * time.Millisecond
)

// scarceCallers returns a session of each account at one daemon, on a route.
func (f *fleet) scarceCallers(daemon *testDaemon, database string) []*testCaller {
	f.t.Helper()
	var callers []*testCaller
	for account := range scarceAccounts {
		callers = append(callers, f.dial(daemon, database, platformtest.KeyOf(account)))
	}
	return callers
}

// TestScarceConnectionsAreKept guards against a new connection for every other statement
// where there are more accounts than a cautious owner keeps connections for. The bound is
// the goal of issue 27 for steady state, one new connection for 20 statements.
func TestScarceConnectionsAreKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.configureAccounts(2, 1000, scarceAccounts, testKey)
	callers := f.scarceCallers(f.daemons[1], "checkout")
	time.Sleep(settledAfter)
	opened := func() int {
		sum := 0
		for _, endpoint := range f.endpoints {
			sum += endpoint.Opened()
		}
		return sum
	}
	const rounds = 40
	before := 0
	for round := range rounds {
		if round == 1 {
			before = opened()
		}
		for _, caller := range callers {
			caller.retryUntilOK("READ i1", waitBound)
		}
	}
	if count, statements := opened()-before, (rounds-1)*len(callers); statements < 20*count {
		t.Errorf("%d sessions were opened for %d statements, want one for 20", count, statements)
	}
}

// TestOwnerHandsOver guards against statements that are dropped when the owner of an
// endpoint's scarce connections stops: what is in flight ends there, the rest goes to the
// next owner.
func TestOwnerHandsOver(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.configureAccounts(2, 1000, scarceAccounts, testKey)
	caller := f.dial(f.daemons[2], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 first", waitBound)
	time.Sleep(settledAfter)
	callers := f.scarceCallers(f.daemons[2], "pick")
	caller.query("BEGIN")
	caller.query("WRITE i2 handed")
	failed := make(chan string, len(callers))
	until := time.Now().Add(settledAfter)
	for at, c := range callers {
		go func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(statementPause)
				text := "READ i1"
				if n%5 == 0 {
					text = fmt.Sprintf("WRITE j%d data%d", at, n)
				}
				if answer, err := c.tryQuery(text); err != nil || !strings.Contains(answer, "COMPLETE") {
					failed <- fmt.Sprintf("%s: %s %v", text, answer, err)
					return
				}
			}
			failed <- ""
		}()
	}
	time.Sleep(300 * time.Millisecond)
	f.daemons[0].stop()
	f.daemons[1].stop()
	assertContains(t, caller.query("COMMIT"), "COMPLETE")
	for range callers {
		if problem := <-failed; problem != "" {
			t.Errorf("a statement was dropped: %s", problem)
		}
	}
}
