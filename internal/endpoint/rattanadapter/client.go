// Package rattanadapter is the client of one endpoint: one database instance
// that is reached over EndpointService.
package rattanadapter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A Client calls one endpoint. Its errors are *Fault or Connect errors; RunState
// says of each whether the request is known not to have run. It is safe for
// concurrent use.
type Client struct {
	wire   rattanv1connect.EndpointServiceClient
	daemon string
	// calls numbers the calls of all connections. It starts at a random number,
	// so that an answer of another connection or daemon does not match either.
	calls atomic.Uint64
}

// New returns a Client over wire. The daemon names the VM and its incarnation;
// the endpoint records it for every connection.
func New(wire rattanv1connect.EndpointServiceClient, daemon string) *Client {
	client := &Client{wire: wire, daemon: daemon}
	client.calls.Store(rand.Uint64())
	return client
}

// Dial returns a Client of the endpoint at address, "host:port". It opens no
// connection yet. Responses over messageBytes bytes are errors; 0 means no limit.
func Dial(httpClient connect.HTTPClient, address, daemon string, messageBytes int) *Client {
	wire := rattanv1connect.NewEndpointServiceClient(httpClient, "http://"+address,
		connect.WithReadMaxBytes(messageBytes),
		// Endpoints are in the same region, where compression costs more time than
		// it saves.
		connect.WithAcceptCompression("gzip", nil, nil))
	return New(wire, daemon)
}

// Open opens a database connection, which takes about 10 ms. An error with the
// code RESOURCE_EXHAUSTED means that the endpoint has no connection free.
func (c *Client) Open(ctx context.Context) (*Conn, error) {
	request := connect.NewRequest(&rattanv1.OpenConnectionRequest{Daemon: c.daemon})
	response, err := invoke(ctx, c.wire.OpenConnection, request)
	if err != nil {
		return nil, err
	}
	return newConn(c, response.GetConnection()), nil
}

// FindOutcome looks the request up on the primary of term and cancels it there
// when it is unknown.
func (c *Client) FindOutcome(ctx context.Context, request *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error) {
	return invoke(ctx, c.wire.FindOutcome, connect.NewRequest(request))
}

// Status returns what the endpoint knows of itself.
func (c *Client) Status(ctx context.Context) (*rattanv1.EndpointStatus, error) {
	response, err := invoke(ctx, c.wire.GetStatus, connect.NewRequest(&rattanv1.GetStatusRequest{}))
	return response.GetStatus(), err
}

// WaitPosition returns when the endpoint holds position in the position's own
// term. It waits at most until the deadline of ctx. A *Fault of kind PROMISED or
// WRONG_TERM means that the endpoint has left the term, BEHIND that it has not
// reached the position in time.
func (c *Client) WaitPosition(ctx context.Context, position rattanmodel.Position) (*rattanv1.EndpointStatus, error) {
	request := &rattanv1.WaitPositionRequest{
		Term:      position.Term,
		Index:     position.Index,
		MaxWaitMs: remainingMilliseconds(ctx),
	}
	response, err := invoke(ctx, c.wire.WaitPosition, connect.NewRequest(request))
	return response.GetStatus(), err
}

// Fence asks the endpoint to promise term to coordinator.
func (c *Client) Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error) {
	request := &rattanv1.FenceRequest{Term: term, Coordinator: coordinator}
	response, err := invoke(ctx, c.wire.Fence, connect.NewRequest(request))
	return response.GetStatus(), err
}

// Promote opens term on the endpoint. The fenced endpoints are those that
// answered the fence of the same term and coordinator.
func (c *Client) Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error) {
	request := &rattanv1.PromoteRequest{Term: term, Coordinator: coordinator, Fenced: fenced}
	response, err := invoke(ctx, c.wire.Promote, connect.NewRequest(request))
	return response.GetStatus(), err
}
