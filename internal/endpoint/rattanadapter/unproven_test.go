package rattanadapter

import (
	"context"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A scriptedEndpoint answers every call but RunStatements with a status, RunStatements
// with a position, and FindOutcome with a run state and a position.
type scriptedEndpoint struct {
	rattanv1connect.UnimplementedEndpointServiceHandler
	connection string
	status     *rattanv1.EndpointStatus
	position   *rattanv1.Position
	state      rattanv1.RunState
}

func (e *scriptedEndpoint) OpenConnection(context.Context, *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	return connect.NewResponse(&rattanv1.OpenConnectionResponse{Connection: e.connection}), nil
}

func (e *scriptedEndpoint) GetStatus(context.Context, *connect.Request[rattanv1.GetStatusRequest]) (*connect.Response[rattanv1.GetStatusResponse], error) {
	return connect.NewResponse(&rattanv1.GetStatusResponse{Status: e.status}), nil
}

func (e *scriptedEndpoint) WaitPosition(context.Context, *connect.Request[rattanv1.WaitPositionRequest]) (*connect.Response[rattanv1.WaitPositionResponse], error) {
	return connect.NewResponse(&rattanv1.WaitPositionResponse{Status: e.status}), nil
}

func (e *scriptedEndpoint) FindOutcome(context.Context, *connect.Request[rattanv1.FindOutcomeRequest]) (*connect.Response[rattanv1.FindOutcomeResponse], error) {
	return connect.NewResponse(&rattanv1.FindOutcomeResponse{RunState: e.state, Position: e.position}), nil
}

func (e *scriptedEndpoint) Fence(context.Context, *connect.Request[rattanv1.FenceRequest]) (*connect.Response[rattanv1.FenceResponse], error) {
	return connect.NewResponse(&rattanv1.FenceResponse{Status: e.status}), nil
}

func (e *scriptedEndpoint) Promote(context.Context, *connect.Request[rattanv1.PromoteRequest]) (*connect.Response[rattanv1.PromoteResponse], error) {
	return connect.NewResponse(&rattanv1.PromoteResponse{Status: e.status}), nil
}

func (e *scriptedEndpoint) RunStatements(_ context.Context, request *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	response := &rattanv1.RunStatementsResponse{Call: request.Msg.GetCall(), Position: e.position, Status: e.status}
	for range request.Msg.GetStatements() {
		response.Results = append(response.Results, &rattanv1.Result{})
	}
	return connect.NewResponse(response), nil
}

// TestUnprovenAnswer guards against an answer that is told as a success although it
// lacks what proves one: a confirmed position, a promise, a position or an outcome.
func TestUnprovenAnswer(t *testing.T) {
	statement := []*rattanv1.Statement{{Text: "s"}}
	write := runStatements(&rattanv1.RunStatementsRequest{Statements: statement, RequestId: "w", Term: 3})
	commit := runStatements(&rattanv1.RunStatementsRequest{Step: rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT, RequestId: "w", Term: 3})
	read := runStatements(&rattanv1.RunStatementsRequest{Statements: statement, ReadOnly: true, MinPosition: &rattanv1.Position{Term: 3, Index: 5}})
	outcome := findOutcome("w")
	wait := func(ctx context.Context, c *Client) error {
		_, err := c.WaitPosition(ctx, rattanmodel.Position{Term: 3, Index: 5})
		return err
	}
	promote := func(ctx context.Context, c *Client) error {
		_, err := c.Promote(ctx, 3, "vm-1/1", []string{"a", "b"})
		return err
	}
	at := func(term, index uint64) *rattanv1.Position { return &rattanv1.Position{Term: term, Index: index} }
	const (
		primary = rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
		ran     = rattanv1.RunState_RUN_STATE_RAN
		notRun  = rattanv1.RunState_RUN_STATE_NOT_RUN
	)
	for _, tc := range []struct {
		name     string
		call     func(ctx context.Context, c *Client) error
		endpoint scriptedEndpoint
		ok       bool
	}{
		{"connection", open, scriptedEndpoint{connection: "c1"}, true},
		{"connection without a name", open, scriptedEndpoint{}, false},
		{"status", status, scriptedEndpoint{status: &rattanv1.EndpointStatus{}}, true},
		{"no status", status, scriptedEndpoint{}, false},
		{"position", wait, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3, PromisedTerm: 3, Position: at(3, 5)}}, true},
		{"position in the log of the term before", wait, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3, PromisedTerm: 3, Position: at(2, 6)}}, true},
		{"position without a status", wait, scriptedEndpoint{}, false},
		{"position not reached", wait, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3, Position: at(3, 4)}}, false},
		{"position of another term", wait, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 2, Position: at(2, 9)}}, false},
		{"position after a promise", wait, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3, PromisedTerm: 4, Position: at(3, 5)}}, false},
		{"promise", fence(3), scriptedEndpoint{status: &rattanv1.EndpointStatus{PromisedTerm: 3, PromisedBy: "vm-1/1"}}, true},
		{"promise without a status", fence(3), scriptedEndpoint{}, false},
		{"promise of another term", fence(3), scriptedEndpoint{status: &rattanv1.EndpointStatus{PromisedTerm: 2, PromisedBy: "vm-1/1"}}, false},
		{"promise to another coordinator", fence(3), scriptedEndpoint{status: &rattanv1.EndpointStatus{PromisedTerm: 3, PromisedBy: "vm-1/11"}}, false},
		{"promotion", promote, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3, Role: primary}}, true},
		{"promotion without a status", promote, scriptedEndpoint{}, false},
		{"promotion of another term", promote, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 2, Role: primary}}, false},
		{"promotion of a replica", promote, scriptedEndpoint{status: &rattanv1.EndpointStatus{Term: 3}}, false},
		{"write", write, scriptedEndpoint{position: at(3, 5)}, true},
		{"write without a position", write, scriptedEndpoint{}, false},
		{"write at position zero", write, scriptedEndpoint{position: at(0, 0)}, false},
		{"commit without a position", commit, scriptedEndpoint{}, false},
		{"read", read, scriptedEndpoint{position: at(3, 5)}, true},
		{"read in a later term", read, scriptedEndpoint{position: at(4, 4)}, true},
		{"read without a position", read, scriptedEndpoint{}, false},
		{"read before the minimum position", read, scriptedEndpoint{position: at(3, 4)}, false},
		{"outcome that ran", outcome, scriptedEndpoint{state: ran, position: at(3, 5)}, true},
		{"outcome that was cancelled", outcome, scriptedEndpoint{state: notRun, position: at(3, 5)}, true},
		{"outcome without a run state", outcome, scriptedEndpoint{position: at(3, 5)}, false},
		{"outcome without a position", outcome, scriptedEndpoint{state: notRun}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, service := rattanv1connect.NewEndpointServiceHandler(&tc.endpoint)
			server := httptest.NewServer(repeatCalls(service))
			defer server.Close()
			err := tc.call(t.Context(), Dial(server.Client(), server.Listener.Addr().String(), "vm-1", 0))
			if (err == nil) != tc.ok || err != nil && RunState(err) != rattanerr.Unknown {
				t.Errorf("got error %v, run state %s, want success %t, and otherwise unknown", err, RunState(err), tc.ok)
			}
		})
	}
}
