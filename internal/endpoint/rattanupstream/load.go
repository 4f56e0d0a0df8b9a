package rattanupstream

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// observeOutcome records what became of a request to the endpoint that was sent at a
// time. A refusal that says why it did not run is no failure, nor is a request that was not
// sent or an answer that is late: a late one counts by its time, unless the caller's deadline
// has cut it short.
func (u *Upstream) observeOutcome(result rattanstatement.Result, err error, isRead bool, sentAt time.Time) {
	if rattanstatement.IsInvalidField(err) || errors.Is(err, errTentative) {
		return
	}
	now := u.clock.Now()
	took, isLate := now.Sub(sentAt), errors.Is(err, os.ErrDeadlineExceeded)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !isLate {
		isFailure := err != nil || result.Code == rattanstatement.Failed || result.Code == rattanstatement.Timeout
		u.answers.ObserveAnswer(isFailure, now)
	}
	if isRead && (isLate && took >= minAnswerTimeout || err == nil && result.OK()) {
		u.answers.ObserveRead(took, now)
	}
}

// Load returns the load of the endpoint as this daemon sees it from its own queue. The
// owner and the number of the report are not set.
func (u *Upstream) Load() rattanwork.Load {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := u.queue.Limits()
	load := rattanwork.Load{
		Endpoint: u.endpoint.ID, StartedUnixMS: u.endpoint.StartedUnixMS,
		Slots: limits.InFlight, FreeSlots: u.queue.FreeSlots(),
		FreeConnections: max(limits.Connections-u.queue.Connections(), 0),
		ServiceTime:     u.answers.Service(now), FailureShare: u.answers.FailureShare(now),
		Position: u.knownPosition, PositionAge: max(now.Sub(u.knownAt), 0),
	}
	if u.reachability.isSuspect() {
		load.FailureShare = 1
	}
	for priority := range load.Wait {
		load.Wait[priority] = u.expectedWait(priority, now)
	}
	return load
}

// expectedWait returns the expected wait of a request of a priority that arrives now.
// The caller holds u.mu.
func (u *Upstream) expectedWait(priority int, now time.Time) time.Duration {
	return u.queue.Wait(priority, now)
}
