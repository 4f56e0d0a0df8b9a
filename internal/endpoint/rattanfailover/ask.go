package rattanfailover

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An answer is the status that one endpoint returned.
type answer struct {
	endpoint string
	status   *rattanv1.EndpointStatus
	err      error
}

func (a answer) position() rattanmodel.Position {
	return rattanmodel.PositionFromWire(a.status.GetPosition())
}

func (a answer) primary() bool {
	return a.status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
}

type question func(ctx context.Context, endpoint Endpoint) (*rattanv1.EndpointStatus, error)

// ask calls all endpoints of the view at the same time and returns the good
// answers. It returns when all have answered, when gracePeriod has passed since
// a majority gave good answers, or after CallTimeout.
func (c *Coordinator) ask(ctx context.Context, view rattanmodel.GroupView, call question) []answer {
	ctx, cancel := withTimeout(ctx, c.clock, CallTimeout)
	defer cancel()
	answers := make(chan answer, len(view.Endpoints))
	for _, endpoint := range view.Endpoints {
		go func() {
			status, err := call(ctx, c.endpoints(endpoint.Name))
			answers <- answer{endpoint.Name, status, err}
		}()
	}
	var good []answer
	var grace <-chan time.Time
	for range view.Endpoints {
		select {
		case arrived := <-answers:
			if arrived.err != nil {
				continue
			}
			c.tracker.Observe(arrived.endpoint, arrived.status)
			good = append(good, arrived)
			if len(good) == view.Majority() {
				grace = c.clock.After(gracePeriod)
			}
		case <-grace:
			return good
		case <-ctx.Done():
			return good
		}
	}
	return good
}

// withTimeout is context.WithTimeout on the given clock.
func withTimeout(ctx context.Context, clock rattanclock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
