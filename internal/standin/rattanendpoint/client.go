package rattanendpoint

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// memoryClient calls an instance in the same process without HTTP. Messages are
// copied, and the controls apply as they do over HTTP.
type memoryClient struct {
	instance *Instance
	sender   string
}

// Client returns a client that calls the instance in the same process, for
// simulations with many calls. sender takes the place of PeerHeader. Requests are
// not recorded; for that, use Transport.
func (i *Instance) Client(sender string) rattanv1connect.EndpointServiceClient {
	return memoryClient{instance: i, sender: sender}
}

func callMemory[Req, Res any](ctx context.Context, c memoryClient, request *connect.Request[Req], procedure string, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)) (*connect.Response[Res], error) {
	type outcome struct {
		response *connect.Response[Res]
		err      error
	}
	done := make(chan outcome, 1)
	copied := connect.NewRequest(cloneMessage(request.Msg))
	go func() {
		var response *connect.Response[Res]
		err := c.instance.guard(ctx, c.sender, procedure, func(ctx context.Context) (err error) {
			response, err = method(ctx, copied)
			return err
		})
		done <- outcome{response, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return nil, connectError(o.err)
		}
		return connect.NewResponse(cloneMessage(o.response.Msg)), nil
	case <-ctx.Done():
		return nil, connectError(ctx.Err())
	}
}

// connectError gives a context's error the code that it has over HTTP.
func connectError(err error) error {
	switch err {
	case context.DeadlineExceeded:
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case context.Canceled:
		return connect.NewError(connect.CodeCanceled, err)
	}
	return err
}

func cloneMessage[M any](message *M) *M {
	return any(proto.Clone(any(message).(proto.Message))).(*M)
}

func (c memoryClient) OpenConnection(ctx context.Context, r *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceOpenConnectionProcedure, c.instance.OpenConnection)
}

func (c memoryClient) CloseConnection(ctx context.Context, r *connect.Request[rattanv1.CloseConnectionRequest]) (*connect.Response[rattanv1.CloseConnectionResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceCloseConnectionProcedure, c.instance.CloseConnection)
}

func (c memoryClient) RunStatements(ctx context.Context, r *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceRunStatementsProcedure, c.instance.RunStatements)
}

func (c memoryClient) FindOutcome(ctx context.Context, r *connect.Request[rattanv1.FindOutcomeRequest]) (*connect.Response[rattanv1.FindOutcomeResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceFindOutcomeProcedure, c.instance.FindOutcome)
}

func (c memoryClient) GetStatus(ctx context.Context, r *connect.Request[rattanv1.GetStatusRequest]) (*connect.Response[rattanv1.GetStatusResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceGetStatusProcedure, c.instance.GetStatus)
}

func (c memoryClient) WaitPosition(ctx context.Context, r *connect.Request[rattanv1.WaitPositionRequest]) (*connect.Response[rattanv1.WaitPositionResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceWaitPositionProcedure, c.instance.WaitPosition)
}

func (c memoryClient) Fence(ctx context.Context, r *connect.Request[rattanv1.FenceRequest]) (*connect.Response[rattanv1.FenceResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceFenceProcedure, c.instance.Fence)
}

func (c memoryClient) Promote(ctx context.Context, r *connect.Request[rattanv1.PromoteRequest]) (*connect.Response[rattanv1.PromoteResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServicePromoteProcedure, c.instance.Promote)
}

func (c memoryClient) Replicate(ctx context.Context, r *connect.Request[rattanv1.ReplicateRequest]) (*connect.Response[rattanv1.ReplicateResponse], error) {
	return callMemory(ctx, c, r, rattanv1connect.EndpointServiceReplicateProcedure, c.instance.Replicate)
}
