package rattanproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestLargeSessionValues guards against a caller whose session values exceed a message between
// daemons: its statements were in doubt, and all callers lost the connection owner for 2 s.
func TestLargeSessionValues(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, daemon := range f.daemons {
		f.dial(daemon, "checkout", testKey).retryUntilOK("WRITE i1 first", waitBound)
	}
	// Three of them exceed a message between daemons, and the time that they take on a busy
	// machine is not the point: a statement may be refused as not run and is then repeated.
	large := strings.Repeat("x", 705_000)
	for i, daemon := range f.daemons {
		caller := f.dial(daemon, "checkout", testKey)
		for value := range 3 {
			assertContains(t, caller.query(fmt.Sprintf("SET v%d %s", value, large)), "COMPLETE -")
		}
		assertContains(t, caller.queryUntilRun(fmt.Sprintf("WRITE i2 large%d", i), waitBound), ".proof")
		assertContains(t, caller.queryUntilRun("READ i2", waitBound), fmt.Sprintf("ROW large%d", i))
		caller.commitUntilOK(fmt.Sprintf("WRITE i3 large%d", i), waitBound)
		if runs := f.group.Runs(fmt.Sprintf("large%d", i)); runs != 2 {
			t.Errorf("the two writes took effect %d times", runs)
		}
	}
	for _, daemon := range f.daemons {
		if strings.Contains(daemon.log.String(), "keeper_silent") {
			t.Errorf("%s counts a connection owner as silent", daemon.name)
		}
	}
}

// queryUntilRun repeats a statement while it is refused as not run, and returns its answer.
func (c *testCaller) queryUntilRun(text string, bound time.Duration) string {
	c.t.Helper()
	answer := c.query(text)
	for start := time.Now(); strings.HasPrefix(answer, "ERROR BUSY") && time.Since(start) < bound; {
		answer = c.query(text)
	}
	return answer
}

// commitUntilOK commits a statement in a transaction of its own, and repeats that while the
// statement is refused as not run.
func (c *testCaller) commitUntilOK(text string, bound time.Duration) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < bound; {
		assertContains(c.t, c.query("BEGIN"), "COMPLETE")
		answer := c.query(text)
		if strings.HasPrefix(answer, "ERROR BUSY") {
			assertContains(c.t, c.query("ROLLBACK"), "COMPLETE")
			continue
		}
		assertContains(c.t, answer, ".proof")
		assertContains(c.t, c.query("COMMIT"), ".proof")
		return
	}
	c.t.Fatalf("%s is still refused after %s", text, bound)
}
