package rattanfailover

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A response is the result of a call to one endpoint.
type response struct {
	endpoint string
	status   *rattanv1.EndpointStatus
	err      error
}

func (r response) position() rattanmodel.Position {
	return rattanmodel.PositionFromWire(r.status.GetPosition())
}

func (r response) isPrimary() bool {
	return r.status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
}

// An endpointCall is a call that returns the endpoint's status.
type endpointCall func(ctx context.Context, endpoint Endpoint) (*rattanv1.EndpointStatus, error)

// callAll calls all endpoints of the view concurrently and returns the
// successful responses. It returns when all endpoints have responded, when
// gracePeriod has passed since a majority responded successfully, or after
// CallTimeout.
func (c *Coordinator) callAll(ctx context.Context, view rattanmodel.GroupView, call endpointCall) []response {
	ctx, cancel := withTimeout(ctx, c.clock, CallTimeout)
	defer cancel()
	responses := make(chan response, len(view.Endpoints))
	for _, endpoint := range view.Endpoints {
		go func() {
			status, err := call(ctx, c.endpoints(endpoint.Name))
			responses <- response{endpoint.Name, status, err}
		}()
	}
	var successful []response
	var grace <-chan time.Time
	for range view.Endpoints {
		select {
		case arrived := <-responses:
			if arrived.err != nil {
				continue
			}
			c.tracker.Observe(arrived.endpoint, arrived.status)
			successful = append(successful, arrived)
			if len(successful) == view.Majority() {
				grace = c.clock.After(gracePeriod)
			}
		case <-grace:
			return successful
		case <-ctx.Done():
			return successful
		}
	}
	return successful
}

// withTimeout is like context.WithTimeout but uses the given clock. When the
// time-out expires, the error of the returned context is context.Canceled.
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
