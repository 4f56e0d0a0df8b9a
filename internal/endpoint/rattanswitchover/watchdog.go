package rattanswitchover

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
)

// ongoingTimeout is added for a switchover that the failover leader has begun, since
// the leader then waits for other daemons and for the platform. A leader that crashes
// meanwhile loses its lease sooner than that.
const ongoingTimeout = 5 * time.Second

// Watchdog detects a failover leader that does not run a needed switchover. It is used
// by the other daemons.
type Watchdog struct {
	pending map[string]pendingSwitchover
}

// pendingSwitchover is a needed switchover, with the record version and the fencing
// token of the leader since which it has made no progress.
type pendingSwitchover struct {
	since          time.Time
	version, token int64
}

// NewWatchdog returns a Watchdog without pending switchovers.
func NewWatchdog() *Watchdog { return &Watchdog{pending: make(map[string]pendingSwitchover)} }

// Reset forgets all pending switchovers. A daemon that cannot reach the store calls it,
// so that this time does not count.
func (w *Watchdog) Reset() { clear(w.pending) }

// isAwaiting reports whether a switchover waits for endpoints of which some have no entry:
// no leader can end it.
func (s GroupState) isAwaiting() bool {
	return len(s.Record.Awaited) > 0 && slices.ContainsFunc(s.Holders, func(h rattanholder.Holder) bool {
		return !contains(s.Endpoints, h.ID)
	})
}

// Check reports whether the failover leader with the given fencing token is overdue: a
// group has needed a switchover for at least timeout, or ongoingTimeout longer if the
// leader has begun it. The time starts anew when the group's record or the leader
// changes.
func (w *Watchdog) Check(now time.Time, group string, s GroupState, token int64, timeout time.Duration) bool {
	if len(s.Endpoints) == 0 || Decide(s) == ReasonNone || s.isAwaiting() {
		delete(w.pending, group)
		return false
	}
	known, isKnown := w.pending[group]
	if !isKnown || known.version != s.Record.Version || known.token != token {
		w.pending[group] = pendingSwitchover{since: now, version: s.Record.Version, token: token}
		return false
	}
	if s.Record.IsSwitching && s.Record.FencingToken == token {
		timeout += ongoingTimeout
	}
	return now.Sub(known.since) >= timeout
}
