package rattangroups

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfailover"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// endpoint implements rattanfailover.Endpoints.
func (g *Groups) endpoint(name string) rattanfailover.Endpoint {
	return &failoverEndpoint{groups: g, name: name}
}

// errUnknownEndpoint is returned for calls to an endpoint that the settings in
// force no longer have.
var errUnknownEndpoint = errors.New("endpoint is not in the settings")

// A failoverEndpoint calls an endpoint for the failover coordinator. The endpoint
// is looked up at each call, since its address may change.
type failoverEndpoint struct {
	groups *Groups
	name   string
}

// do makes a call and passes the returned status to the endpoint's pool and to
// the group's view.
func (e *failoverEndpoint) do(call func(*rattanadapter.Client) (*rattanv1.EndpointStatus, error)) (*rattanv1.EndpointStatus, error) {
	endpoint, ok := e.groups.endpoints.Find(e.name)
	if !ok {
		return nil, errUnknownEndpoint
	}
	status, err := call(endpoint.Client())
	if err != nil {
		return nil, err
	}
	endpoint.Pool().Observe(status)
	e.groups.Observe(e.name, status)
	return status, nil
}

// Status implements rattanfailover.Endpoint.
func (e *failoverEndpoint) Status(ctx context.Context) (*rattanv1.EndpointStatus, error) {
	return e.do(func(c *rattanadapter.Client) (*rattanv1.EndpointStatus, error) { return c.Status(ctx) })
}

// Fence implements rattanfailover.Endpoint.
func (e *failoverEndpoint) Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error) {
	return e.do(func(c *rattanadapter.Client) (*rattanv1.EndpointStatus, error) {
		return c.Fence(ctx, term, coordinator)
	})
}

// Promote implements rattanfailover.Endpoint.
func (e *failoverEndpoint) Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error) {
	return e.do(func(c *rattanadapter.Client) (*rattanv1.EndpointStatus, error) {
		return c.Promote(ctx, term, coordinator, fenced)
	})
}

// WaitPosition implements rattanfailover.Endpoint.
func (e *failoverEndpoint) WaitPosition(ctx context.Context, position rattanmodel.Position, maxWait time.Duration) (*rattanv1.EndpointStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	return e.do(func(c *rattanadapter.Client) (*rattanv1.EndpointStatus, error) { return c.WaitPosition(ctx, position) })
}
