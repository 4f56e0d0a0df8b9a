// Package rattanadapter is the RPC client of EndpointService, the service of one
// endpoint. RunState tells of each error whether the request may have run.
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

// A Client calls one endpoint. Its errors are *Fault, *UnprovenAnswerError, Connect
// errors or errors of a request that was not sent. RunState reports which of them prove
// that the request has not run. A Client is safe for concurrent use.
type Client struct {
	wire   rattanv1connect.EndpointServiceClient
	daemon string
	// calls is the number of the last call on any connection. It starts at a random
	// number, so that an answer to another connection or daemon has another number.
	calls atomic.Uint64
}

// New returns a Client that calls over wire. Daemon identifies the VM and its
// incarnation; the endpoint records it with every connection.
func New(wire rattanv1connect.EndpointServiceClient, daemon string) *Client {
	client := &Client{wire: wire, daemon: daemon}
	client.calls.Store(rand.Uint64())
	return client
}

// Dial returns a Client of the endpoint at address ("host:port"). It opens no
// connection yet. A response of more than messageBytes bytes is an error, 0 means no
// limit; so is one that does not repeat CallHeader, unless the endpoint has never repeated it.
func Dial(httpClient connect.HTTPClient, address, daemon string, messageBytes int) *Client {
	wire := rattanv1connect.NewEndpointServiceClient(newNumberedClient(httpClient), "http://"+address,
		connect.WithReadMaxBytes(messageBytes),
		// No compression: endpoints are in the same region, where it costs more time
		// than it saves.
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
	if err := proven(response.GetConnection() != "", "the name of the connection"); err != nil {
		return nil, err
	}
	return newConn(c, response.GetConnection()), nil
}

// FindOutcome looks up the record of a request at the primary of the request's term.
// An identifier without a record is cancelled there, so that it cannot run later.
func (c *Client) FindOutcome(ctx context.Context, request *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error) {
	response, err := invoke(ctx, c.wire.FindOutcome, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if err := checkOutcome(response); err != nil {
		return nil, err
	}
	return response, nil
}

// Status returns the endpoint's own status.
func (c *Client) Status(ctx context.Context) (*rattanv1.EndpointStatus, error) {
	response, err := invoke(ctx, c.wire.GetStatus, connect.NewRequest(&rattanv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	if err := proven(response.GetStatus() != nil, "the status"); err != nil {
		return nil, err
	}
	return response.GetStatus(), nil
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
	if err != nil {
		return nil, err
	}
	if err := checkReached(response.GetStatus(), position); err != nil {
		return nil, err
	}
	return response.GetStatus(), nil
}

// Fence asks the endpoint to promise term to coordinator.
func (c *Client) Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error) {
	request := &rattanv1.FenceRequest{Term: term, Coordinator: coordinator}
	response, err := invoke(ctx, c.wire.Fence, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if err := checkPromised(response.GetStatus(), term, coordinator); err != nil {
		return nil, err
	}
	return response.GetStatus(), nil
}

// Promote makes the endpoint the primary of term. The fenced endpoints are those that
// answered the Fence call of the same term and coordinator.
func (c *Client) Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error) {
	request := &rattanv1.PromoteRequest{Term: term, Coordinator: coordinator, Fenced: fenced}
	response, err := invoke(ctx, c.wire.Promote, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if err := checkPromoted(response.GetStatus(), term); err != nil {
		return nil, err
	}
	return response.GetStatus(), nil
}
