package rattanswitchover

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// TestOverdue guards against daemons that revoke the lease of a failover leader while
// it runs a switchover. In a fleet of 70 daemons they revoked each other's leases, up
// to 160 a second, and the group had no primary for 8 s.
func TestOverdue(t *testing.T) {
	const timeout = 250 * time.Millisecond
	endpoints := []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2"}}
	needed := GroupState{HasRecord: true, Record: rattangrant.PrimaryRecord{Primary: "e1", Version: 4, FencingToken: 6}, Endpoints: endpoints, Reporters: 2, Daemons: 3}
	begun := needed
	begun.Record.IsSwitching, begun.Record.Version, begun.Record.FencingToken = true, 5, 7
	abandoned := begun
	abandoned.Record.FencingToken = 6
	advanced := begun
	advanced.Record.Version = 6
	awaiting := begun
	awaiting.Record.Awaited, awaiting.Holders = []string{"e3"}, holdersOf("e1", "e2", "e3")
	returned := awaiting
	returned.Endpoints = append(endpoints[:2:2], rattancatalog.Endpoint{ID: "e3"})
	notNeeded := needed
	notNeeded.Reporters = 0
	for _, test := range []struct {
		name          string
		first, second GroupState
		firstToken    int64
		after         time.Duration
		want          bool
	}{
		{"needed for long", needed, needed, 7, timeout, true},
		{"needed for a moment", needed, needed, 7, timeout / 2, false},
		{"no longer needed", needed, notNeeded, 7, timeout, false},
		{"leader has changed", needed, needed, 6, timeout, false},
		{"begun by the leader", begun, begun, 7, timeout, false},
		{"begun by the leader long ago", begun, begun, 7, timeout + ongoingTimeout, true},
		{"abandoned by the last leader", abandoned, abandoned, 7, timeout, true},
		{"waiting for an endpoint", awaiting, awaiting, 7, timeout + ongoingTimeout, false},
		{"waiting for an endpoint that is back", returned, returned, 7, timeout + ongoingTimeout, true},
		{"record has changed", begun, advanced, 7, timeout + ongoingTimeout, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			watchdog, now := NewWatchdog(), time.Unix(1000, 0)
			if watchdog.Check(now, "orders", test.first, test.firstToken, timeout) {
				t.Error("overdue at the first check")
			}
			if got := watchdog.Check(now.Add(test.after), "orders", test.second, 7, timeout); got != test.want {
				t.Errorf("overdue: %t, want %t", got, test.want)
			}
		})
	}
}

// TestResetForgetsPendingSwitchovers guards against a daemon that was without the store
// and counts that time against the failover leader.
func TestResetForgetsPendingSwitchovers(t *testing.T) {
	needed := GroupState{Endpoints: []rattancatalog.Endpoint{{ID: "e1"}}}
	watchdog, now := NewWatchdog(), time.Unix(1000, 0)
	watchdog.Check(now, "orders", needed, 1, time.Second)
	watchdog.Reset()
	if watchdog.Check(now.Add(time.Minute), "orders", needed, 1, time.Second) {
		t.Error("the time without the store counts against the leader")
	}
}
