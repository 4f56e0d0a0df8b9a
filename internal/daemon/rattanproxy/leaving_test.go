package rattanproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// drainBound and evacuationBound are the users' limits for new statements at an
	// endpoint that drains, or in a failure domain that is taken out: the sites'
	// drain_ms and evacuate_ms.
	drainBound      = 7 * time.Second
	evacuationBound = 5 * time.Second
	// afterBound is how long the tests look for statements after a limit.
	afterBound = 2 * time.Second
)

// TestLastEndpointLeaves guards against new statements at an endpoint that drains or
// is evacuated, after the limit for it, because no other endpoint of its group can
// become the primary.
func TestLastEndpointLeaves(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		leave func(f *fleet) error
		bound time.Duration
	}{
		{"draining", func(f *fleet) error { return f.store.Put("servers/e1", f.endpoints["e1"].Entry("a", "draining")) }, drainBound},
		{"evacuated", func(f *fleet) error { return f.store.Put(platformtest.EvacuationKey("a"), map[string]any{}) }, evacuationBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			callers := map[string]*testCaller{
				"autocommit":  f.dial(f.daemons[0], "checkout", testKey),
				"transaction": f.dial(f.daemons[1], "checkout", testKey),
				"replica":     f.dial(f.daemons[1], "browse", testKey),
			}
			callers["autocommit"].retryUntilOK("WRITE i1 before", waitBound)
			f.removeReplicas()
			if err := test.leave(f); err != nil {
				t.Fatal(err)
			}
			left := time.Now()
			for n := 0; time.Since(left) < test.bound+afterBound; n++ {
				isLate := time.Since(left) > test.bound
				data := fmt.Sprint("write", n)
				f.assertNoRun(callers["autocommit"].query("WRITE i1 "+data), data, isLate)
				f.assertNoRun(callers["replica"].query("READ i1"), "", isLate)
				callers["transaction"].query("BEGIN")
				f.assertNoRun(callers["transaction"].query("WRITE i2 tx"+data), "", isLate)
				callers["transaction"].query("ROLLBACK")
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// removeReplicas ends all endpoints but e1, as if they had left for good, and waits
// until no daemon uses them.
func (f *fleet) removeReplicas() {
	f.t.Helper()
	f.awaitLog(`"endpoint_found"`, 3)
	for _, id := range []string{"e2", "e3"} {
		f.endpoints[id].Crash()
		f.store.Delete("servers/" + id)
		delete(f.endpoints, id)
	}
	f.awaitLog(`"endpoint_gone"`, 2)
}

// awaitLog waits until each daemon has logged an event the given number of times.
func (f *fleet) awaitLog(event string, count int) {
	f.t.Helper()
	for _, daemon := range f.daemons {
		for start := time.Now(); strings.Count(daemon.log.String(), event) < count; time.Sleep(20 * time.Millisecond) {
			if time.Since(start) > waitBound {
				f.t.Fatalf("%s has not logged %s %d times within %s", daemon.name, event, count, waitBound)
			}
		}
	}
}

// assertNoRun checks, if the limit has passed, that a statement was refused as not
// run, and that a write with the given data, if any, took no effect.
func (f *fleet) assertNoRun(answer, data string, isLate bool) {
	f.t.Helper()
	if !isLate {
		return
	}
	assertContains(f.t, answer, "ERROR BUSY")
	if runs := f.group.Runs(data); data != "" && runs != 0 {
		f.t.Errorf("%s took effect %d times after the limit", data, runs)
	}
}
