package rattanadapter

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// lateAnswerGrace is how long the remaining replicas may still answer after enough of
// them have confirmed. Cancelling their calls at once would close an HTTP/1.1
// connection for every write. Without a limit, calls to a replica that does not answer
// would accumulate.
const lateAnswerGrace = 100 * time.Millisecond

// A PositionWaiter waits until an endpoint holds a position. *Client implements it.
type PositionWaiter interface {
	WaitPosition(ctx context.Context, position rattanmodel.Position) (*rattanv1.EndpointStatus, error)
}

// An UnacknowledgedError says that the primary has committed a write and that no
// majority has confirmed its position. Whether the write outlasts a change of the
// primary is unknown.
type UnacknowledgedError struct {
	Position rattanmodel.Position
	// Confirmed is the number of replicas that confirmed the position, Needed the
	// number that had to.
	Confirmed, Needed int
	// Cause is the last error of a replica, or of the context. It is part of
	// the message only and is not unwrapped: a refusal by a replica does not prove
	// that the write has not run.
	Cause error
}

// Error implements the error interface.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("position %s is confirmed by %d of %d replicas: %v", e.Position, e.Confirmed, e.Needed, e.Cause)
}

// detach returns a context that ends at the deadline of ctx but not when ctx is
// cancelled, as it is once the request is answered. Cancelling a call closes its
// HTTP/1.1 connection. With one new connection per write, the daemon spent three
// quarters of its time on dialing.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// Acknowledge returns nil once the needed number of replicas hold position in the
// position's own term. Position is that of the primary's commit, and needed is the
// group's majority less one for the primary. Acknowledge calls all replicas at once. It
// returns an *UnacknowledgedError as soon as too few of them can still confirm, or when
// ctx ends.
func Acknowledge(ctx context.Context, position rattanmodel.Position, needed int, replicas []PositionWaiter) error {
	failure := &UnacknowledgedError{Position: position, Needed: needed}
	if needed <= 0 {
		return nil
	}
	waitContext, cancel := detach(ctx)
	results := make(chan error, len(replicas))
	for _, replica := range replicas {
		go func() {
			_, err := replica.WaitPosition(waitContext, position)
			results <- err
		}()
	}
	for pending := len(replicas); failure.Confirmed+pending >= needed; pending-- {
		select {
		case err := <-results:
			if err != nil {
				failure.Cause = err
				continue
			}
			failure.Confirmed++
		case <-ctx.Done():
			cancel()
			failure.Cause = context.Cause(ctx)
			return failure
		}
		if failure.Confirmed == needed {
			time.AfterFunc(lateAnswerGrace, cancel)
			return nil
		}
	}
	cancel()
	return failure
}
