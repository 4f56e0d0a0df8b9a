package rattanswitchover

import "time"

// underWayPatience is added for a switch that the holder of the duty has begun: it
// waits for other daemons and for the platform. A holder that dies meanwhile loses
// its lease sooner.
const underWayPatience = 5 * time.Second

// Watchdog remembers what the holder of the failover duty owes, as seen by a daemon
// that does not hold it.
type Watchdog struct {
	owed map[string]owed
}

type owed struct {
	since         time.Time
	number, token int64
}

// NewWatchdog returns a Watchdog of a holder that owes nothing.
func NewWatchdog() *Watchdog { return &Watchdog{owed: make(map[string]owed)} }

// Reset drops what is known, as a daemon does that cannot see the store.
func (o *Watchdog) Reset() { clear(o.owed) }

// Check reports whether the holder with a token has owed a group a switch for longer
// than patience, or one that it has begun for much longer. A change of the group's
// record or of the holder is a sign of life.
func (o *Watchdog) Check(now time.Time, group string, s GroupState, token int64, patience time.Duration) bool {
	if len(s.Endpoints) == 0 || Decide(s) == ReasonNone {
		delete(o.owed, group)
		return false
	}
	before, isKnown := o.owed[group]
	if !isKnown || before.number != s.Record.Version || before.token != token {
		o.owed[group] = owed{since: now, number: s.Record.Version, token: token}
		return false
	}
	if s.Record.IsSwitching && s.Record.FencingToken == token {
		patience += underWayPatience
	}
	return now.Sub(before.since) >= patience
}
