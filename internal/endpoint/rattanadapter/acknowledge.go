package rattanadapter

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// lateAnswerGrace is how long the remaining replicas may still answer after
// enough of them have. Cancelling at once would close an HTTP/1.1 connection
// for every write; waiting without bound would pile calls up at a stuck replica.
const lateAnswerGrace = 100 * time.Millisecond

// A PositionWaiter waits for a position; a *Client is one.
type PositionWaiter interface {
	WaitPosition(ctx context.Context, position rattanmodel.Position) (*rattanv1.EndpointStatus, error)
}

// An UnacknowledgedError is a write that the primary has committed and of which
// a majority did not confirm the position. Whether it survives is unknown.
type UnacknowledgedError struct {
	Position rattanmodel.Position
	// Confirmed of Needed replicas hold the position.
	Confirmed, Needed int
	// Cause is the last replica's error. It is text in the message only, since
	// what a replica did not do says nothing of the write.
	Cause error
}

// Error implements the error interface.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("position %s is confirmed by %d of %d replicas: %v", e.Position, e.Confirmed, e.Needed, e.Cause)
}

// detach returns a context that ends with the deadline of ctx but not when ctx is
// cancelled, as it is when the request has its answer. A call that is cancelled
// closes its HTTP/1.1 connection, and with one new connection per write the
// daemon spent three quarters of its time in dialing.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// Acknowledge returns nil as soon as needed of the replicas hold position in its
// own term. The caller passes the position of the primary's commit response, and
// as needed the group's majority less one for the primary. It asks all replicas
// at once and returns an *UnacknowledgedError as soon as too few can still
// confirm, or when ctx ends.
func Acknowledge(ctx context.Context, position rattanmodel.Position, needed int, replicas []PositionWaiter) error {
	failure := &UnacknowledgedError{Position: position, Needed: needed}
	if needed <= 0 {
		return nil
	}
	waiting, cancel := detach(ctx)
	answers := make(chan error, len(replicas))
	for _, replica := range replicas {
		go func() {
			_, err := replica.WaitPosition(waiting, position)
			answers <- err
		}()
	}
	for left := len(replicas); failure.Confirmed+left >= needed; left-- {
		select {
		case err := <-answers:
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
