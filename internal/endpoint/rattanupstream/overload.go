package rattanupstream

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// An OverloadedError is the ErrOverloaded of a request that the queue has refused. The
// request has not run.
type OverloadedError struct {
	Refusal rattanwork.Refusal
}

// Error implements the error interface.
func (e *OverloadedError) Error() string { return e.Refusal.Reason }

// Unwrap returns ErrOverloaded.
func (e *OverloadedError) Unwrap() error { return ErrOverloaded }

// RetryAfter returns the time after which there is expected to be room for a refused
// request. It returns false when the error is no refusal for lack of room, or the time is
// not known.
func RetryAfter(err error) (time.Duration, bool) {
	var overloaded *OverloadedError
	if !errors.As(err, &overloaded) || overloaded.Refusal.RetryAfter <= 0 {
		return 0, false
	}
	return overloaded.Refusal.RetryAfter, true
}

// overloaded returns the error for a refusal, with the state of the queue.
func (u *Upstream) overloaded(refusal *rattanwork.Refusal) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := u.queue.Limits()
	reason := fmt.Sprintf("%s: %d of %d connections, %d of %d busy, %d in transactions, %d waiting, room in %d ms",
		refusal.Reason, u.queue.Connections(), limits.Connections, u.queue.Busy(), limits.InFlight, u.queue.Pinned(),
		u.queue.Waiting(), refusal.RetryAfter.Milliseconds())
	return &OverloadedError{Refusal: rattanwork.Refusal{Reason: reason, RetryAfter: refusal.RetryAfter}}
}

// sweepInterval separates two checks of the waiting requests whether they can still be
// served in time. The queue checks them itself when a request arrives or ends.
const sweepInterval = 25 * time.Millisecond

// sweep refuses requests that can no longer be served in time, while any wait.
func (u *Upstream) sweep() {
	for isWaiting := true; isWaiting; {
		<-u.clock.After(sweepInterval)
		u.mu.Lock()
		u.queue.Sweep(u.clock.Now())
		isWaiting = u.queue.Waiting() > 0
		u.isSweeping = isWaiting
		u.mu.Unlock()
	}
}

// Wait returns the expected wait of a request of a priority that arrives now.
func (u *Upstream) Wait(priority int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Wait(priority, u.clock.Now())
}

// Decisions returns what the queue has decided since its start.
func (u *Upstream) Decisions() rattanadmission.Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Counts()
}

const (
	// answerDeviations is how many deviations above its mean a read may take before it
	// counts as unanswered. The time of a read has a long tail.
	answerDeviations = 8
	// maxAnswerTimeout limits the wait for an answer whose kind takes long.
	maxAnswerTimeout = 600 * time.Millisecond
)

// answerTimeout returns how long to wait for the answer to a read of a kind, or to the
// begin of a transaction with its first statement.
func (u *Upstream) answerTimeout(kind rattanwork.Kind) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	cost := u.queue.Cost(kind)
	return min(max(cost.Mean+answerDeviations*cost.Deviation, minAnswerTimeout), maxAnswerTimeout)
}

// observeCost records how long a request has held its slot, for its account and for the
// cost of its kind. An answer that is an error comes soon and says nothing of the cost.
func (u *Upstream) observeCost(pooled *PooledConn, isServed bool) {
	held := u.clock.Now().Sub(pooled.acquiredAt)
	u.mu.Lock()
	defer u.mu.Unlock()
	mean := u.queue.Cost(pooled.kind).Mean
	u.queue.Charge(pooled.account, pooled.priority, held-mean)
	if isServed || held > mean {
		u.queue.Observe(pooled.kind, held)
	}
}
