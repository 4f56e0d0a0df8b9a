package rattanproxy_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestLargeSessionValues guards against a caller whose session values exceed a message between
// daemons: its statements were in doubt, and all callers lost the connection owner for 2 s.
func TestLargeSessionValues(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, daemon := range f.daemons {
		f.dial(daemon, "checkout", testKey).retryUntilOK("WRITE i1 first", waitBound)
	}
	large := strings.Repeat("x", 900_000)
	for i, daemon := range f.daemons {
		caller := f.dial(daemon, "checkout", testKey)
		for value := range 3 {
			assertContains(t, caller.query(fmt.Sprintf("SET v%d %s", value, large)), "COMPLETE -")
		}
		assertContains(t, caller.query(fmt.Sprintf("WRITE i2 large%d", i)), ".proof")
		assertContains(t, caller.query("READ i2"), fmt.Sprintf("ROW large%d", i))
		assertContains(t, caller.query("BEGIN"), "COMPLETE")
		assertContains(t, caller.query(fmt.Sprintf("WRITE i3 large%d", i)), ".proof")
		assertContains(t, caller.query("COMMIT"), ".proof")
	}
	for _, daemon := range f.daemons {
		if strings.Contains(daemon.log.String(), "keeper_silent") {
			t.Errorf("%s counts a connection owner as silent", daemon.name)
		}
	}
}
