package rattanswitchover

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// TestOverdue guards against daemons that take the lease of a holder that works on
// a switch: in a fleet of 70 they took each other's, up to 160 a second, and the
// group had no primary for 8 s.
func TestOverdue(t *testing.T) {
	const patience = 250 * time.Millisecond
	endpoints := []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2"}}
	due := GroupState{HasRecord: true, Record: rattangrant.PrimaryRecord{Primary: "e1", Version: 4, FencingToken: 6}, Endpoints: endpoints, Reporters: 2, Daemons: 3}
	begun := due
	begun.Record.IsSwitching, begun.Record.Version, begun.Record.FencingToken = true, 5, 7
	left := begun
	left.Record.FencingToken = 6
	advanced := begun
	advanced.Record.Version = 6
	well := due
	well.Reporters = 0
	for _, test := range []struct {
		name          string
		first, second GroupState
		firstToken    int64
		after         time.Duration
		want          bool
	}{
		{"due for long", due, due, 7, patience, true},
		{"due for a moment", due, due, 7, patience / 2, false},
		{"no longer due", due, well, 7, patience, false},
		{"holder has changed", due, due, 6, patience, false},
		{"begun by the holder", begun, begun, 7, patience, false},
		{"begun by the holder long ago", begun, begun, 7, patience + underWayPatience, true},
		{"left by the last holder", left, left, 7, patience, true},
		{"record has changed", begun, advanced, 7, patience + underWayPatience, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			watchdog, now := NewWatchdog(), time.Unix(1000, 0)
			if watchdog.Check(now, "orders", test.first, test.firstToken, patience) {
				t.Error("overdue at the first look")
			}
			if got := watchdog.Check(now.Add(test.after), "orders", test.second, 7, patience); got != test.want {
				t.Errorf("overdue %t, want %t", got, test.want)
			}
		})
	}
}

// TestOverdueForgets guards against a daemon that comes back from a time without the
// store and counts that time against the holder.
func TestOverdueForgets(t *testing.T) {
	due := GroupState{Endpoints: []rattancatalog.Endpoint{{ID: "e1"}}}
	watchdog, now := NewWatchdog(), time.Unix(1000, 0)
	watchdog.Check(now, "orders", due, 1, time.Second)
	watchdog.Reset()
	if watchdog.Check(now.Add(time.Minute), "orders", due, 1, time.Second) {
		t.Error("the time without the store counts")
	}
}
