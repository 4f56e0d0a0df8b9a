package rattanfailover

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// endpointClient is the Endpoint that a daemon's coordinator and monitor use. Its
// calls fail once the daemon is terminated.
type endpointClient struct {
	*daemon
	client rattanv1connect.EndpointServiceClient
}

func (d *daemon) endpoint(name string) Endpoint {
	return endpointClient{d, d.endpoints[name].Client(d.Name)}
}

func (d *daemon) called(method string, after bool) {
	d.mu.Lock()
	onCall := d.onCall
	d.mu.Unlock()
	onCall(d, method, after)
}

func send[Req, Res any](ctx context.Context, r endpointClient, name string, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), request *Req) (*Res, error) {
	r.called(name, false)
	if err := r.lifetime.Err(); err != nil {
		return nil, err
	}
	response, err := method(ctx, connect.NewRequest(request))
	r.called(name, true)
	if err != nil {
		return nil, err
	}
	return response.Msg, r.lifetime.Err()
}

func (r endpointClient) Status(ctx context.Context) (*rattanv1.EndpointStatus, error) {
	response, err := send(ctx, r, "Status", r.client.GetStatus, &rattanv1.GetStatusRequest{})
	return response.GetStatus(), err
}

func (r endpointClient) Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error) {
	response, err := send(ctx, r, "Fence", r.client.Fence, &rattanv1.FenceRequest{Term: term, Coordinator: coordinator})
	return response.GetStatus(), err
}

func (r endpointClient) Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error) {
	response, err := send(ctx, r, "Promote", r.client.Promote, &rattanv1.PromoteRequest{Term: term, Coordinator: coordinator, Fenced: fenced})
	return response.GetStatus(), err
}

func (r endpointClient) WaitPosition(ctx context.Context, position rattanmodel.Position, maxWait time.Duration) (*rattanv1.EndpointStatus, error) {
	response, err := send(ctx, r, "WaitPosition", r.client.WaitPosition, &rattanv1.WaitPositionRequest{Term: position.Term, Index: position.Index, MaxWaitMs: uint32(maxWait.Milliseconds())})
	return response.GetStatus(), err
}
