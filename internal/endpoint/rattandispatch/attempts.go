package rattandispatch

import (
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// An attemptRunner makes the attempts of one statement and records them.
type attemptRunner struct {
	dispatcher *Dispatcher
	request    Request
	attempts   Attempts
	last       Outcome
	// mayHaveRun is true once an endpoint may have run the statement.
	mayHaveRun bool
	// noRoomUntil is when there is expected to be room for the statement at the
	// endpoints whose owners have refused it.
	noRoomUntil map[string]time.Time
	// hasRoomIn is true when an endpoint of the last round has not refused the
	// statement for lack of room.
	hasRoomIn bool
	// hasWaitedForRoom is true after the first wait for room.
	hasWaitedForRoom bool
}

// try runs attempt at the upstreams in their order until an outcome is final. It
// reports whether one was. It passes over endpoints that have no room for the statement
// yet. The last outcome lists all attempts of the statement.
func (r *attemptRunner) try(upstreams []*rattanupstream.Upstream, minPosition rattanmodel.Position, attempt func(*rattanupstream.Upstream) (Outcome, bool)) bool {
	clock := r.dispatcher.clock
	r.hasRoomIn = false
	for _, upstream := range upstreams {
		begun := clock.Now()
		if begun.Before(r.noRoomUntil[upstream.Endpoint().ID]) {
			continue
		}
		outcome, isFinal := attempt(upstream)
		r.attempts.add(outcome, clock.Now().Sub(begun))
		r.mayHaveRun = r.mayHaveRun || outcome.mayHaveRun()
		outcome.Attempts, outcome.MinPosition, outcome.MayHaveRun = r.attempts, minPosition, r.mayHaveRun
		r.last = outcome
		if isFinal {
			return true
		}
		r.recordRefusal(outcome)
	}
	return false
}

// recordRefusal records when an endpoint that refused the statement for lack of room is
// expected to have some.
func (r *attemptRunner) recordRefusal(outcome Outcome) {
	retryAfter, ok := rattanupstream.RetryAfter(outcome.Cause)
	if !ok {
		r.hasRoomIn = true
		return
	}
	if r.noRoomUntil == nil {
		r.noRoomUntil = make(map[string]time.Time)
	}
	r.noRoomUntil[outcome.Endpoint] = r.dispatcher.clock.Now().Add(retryAfter)
}

// pause waits before the next round of attempts: for retryPause, or when all endpoints
// have refused the statement for lack of room, until the first of them is expected to have
// some. It returns false without waiting when the wait would end after until, or the wait
// for room after the request's endpointWaitDeadline, or the statement has waited for room
// already.
func (r *attemptRunner) pause(until time.Time) bool {
	now := r.dispatcher.clock.Now()
	resume := now.Add(retryPause)
	if room, ok := r.firstRoom(); ok && !r.hasRoomIn {
		if r.hasWaitedForRoom {
			return false
		}
		r.hasWaitedForRoom = true
		resume, until = room, r.request.endpointWaitDeadline()
	}
	if resume.After(until) {
		return false
	}
	<-r.dispatcher.clock.After(resume.Sub(now))
	return true
}

// firstRoom returns the earliest time at which an endpoint that has refused the statement
// is expected to have room.
func (r *attemptRunner) firstRoom() (time.Time, bool) {
	var first time.Time
	for _, at := range r.noRoomUntil {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// refuse returns a refusal that does not come from an attempt.
func (r *attemptRunner) refuse(code rattanstatement.Code, detail string, cause error) Outcome {
	return Outcome{Result: rattanstatement.Refuse(code, detail), Cause: cause, MayHaveRun: r.mayHaveRun}
}

// defaultRetryAfter is the time after which a caller is told to come back when no endpoint
// has told one.
const defaultRetryAfter = 100 * time.Millisecond

// refuseBusy returns the last outcome with a refusal that tells the caller when to retry.
func (r *attemptRunner) refuseBusy() Outcome {
	retryAfter := defaultRetryAfter
	if room, ok := r.firstRoom(); ok {
		retryAfter = room.Sub(r.dispatcher.clock.Now())
	}
	detail := fmt.Sprintf("no endpoint can run the statement now; come back in %d ms", max(retryAfter.Milliseconds(), 1))
	r.last.Result = rattanstatement.Refuse(rattanstatement.Busy, detail)
	return r.last
}
