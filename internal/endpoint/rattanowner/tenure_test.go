package rattanowner

import (
	"testing"
	"time"
)

// TestTenure guards against a new owner that opens connections while the endpoint still
// counts those of the former one, and against one that is held back for good.
func TestTenure(t *testing.T) {
	start := time.Unix(1000, 0)
	registered := func(vms ...string) func(string) bool {
		return func(vm string) bool {
			for _, name := range vms {
				if name == vm {
					return true
				}
			}
			return false
		}
	}
	tests := []struct {
		name         string
		isRegistered func(string) bool
		answers      bool
		after        time.Duration
		want         bool
	}{
		{"former owner dark", registered("new"), true, takeoverTime - time.Millisecond, false},
		{"former owner dropped", registered("new"), true, takeoverTime, true},
		{"former owner told", registered("new", "old"), true, handoverTime, true},
		{"former owner not yet told", registered("new", "old"), true, handoverTime - time.Millisecond, false},
		{"endpoint cut off", registered("new"), false, takeoverTime - time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tenures Tenures
			if tenures.Observe("e", "old", true, test.isRegistered, start) {
				t.Error("a daemon that has just started has all connections")
			}
			changed := start.Add(time.Minute)
			if !tenures.Observe("e", "old", true, test.isRegistered, changed) {
				t.Error("an old owner has not all connections")
			}
			tenures.Observe("e", "new", test.answers, test.isRegistered, changed)
			if got := tenures.Observe("e", "new", test.answers, test.isRegistered, changed.Add(test.after)); got != test.want {
				t.Errorf("settled: %t, want %t", got, test.want)
			}
		})
	}
}

// TestSettledByEndpoint guards against a new owner that waits for connections of a former
// one which was killed: the endpoint has dropped them and says so. It guards too against
// an answer for an owner that has changed meanwhile.
func TestSettledByEndpoint(t *testing.T) {
	budget := ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 86}
	own := budget.TakeoverConnections()
	for counted, want := range map[int]bool{own + budget.OwnerConnections(): false, own + 1: true, -1: false} {
		if got := budget.HasDropped(counted, own); got != want {
			t.Errorf("the endpoint counts %d, %d of them own: dropped %t, want %t", counted, own, got, want)
		}
	}
	now := time.Unix(1000, 0)
	none := func(string) bool { return false }
	var tenures Tenures
	tenures.Observe("e", "new", true, none, now)
	tenures.Settle("e", "old", now)
	if tenures.Observe("e", "new", true, none, now) {
		t.Error("settled by an answer for another owner")
	}
	tenures.Settle("e", "new", now)
	if !tenures.Observe("e", "new", true, none, now) {
		t.Error("not settled although the endpoint has dropped the former owner's connections")
	}
}

// TestCutEndpointIsNotSettled guards against a new owner with all connections in the
// moment in which a failure domain is back, with the former owner and its connections.
func TestCutEndpointIsNotSettled(t *testing.T) {
	var tenures Tenures
	start := time.Unix(1000, 0)
	none := func(string) bool { return false }
	tenures.Observe("e", "old", true, none, start.Add(-time.Minute))
	for after := time.Duration(0); after < 10*time.Second; after += 200 * time.Millisecond {
		if tenures.Observe("e", "new", false, none, start.Add(after)) {
			t.Fatalf("settled after %s although the endpoint does not answer", after)
		}
	}
	if tenures.Observe("e", "new", true, none, start.Add(10*time.Second)) {
		t.Error("settled in the moment in which the endpoint answers again")
	}
}
