package rattanadapter

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A repeatingServer serves HTTP/1.1. On each connection it sends the first answer
// twice, the second copy when the next request has arrived.
type repeatingServer struct {
	listener net.Listener
	handler  http.Handler
	// opened is the number of connections that were opened.
	opened atomic.Int32
	ended  sync.WaitGroup
}

func startRepeatingServer(t *testing.T, handler http.Handler) *repeatingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &repeatingServer{listener: listener, handler: handler}
	s.ended.Go(s.accept)
	t.Cleanup(func() {
		listener.Close()
		s.ended.Wait()
	})
	return s
}

func (s *repeatingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.opened.Add(1)
		s.ended.Go(func() {
			defer conn.Close()
			s.serve(conn)
		})
	}
}

func (s *repeatingServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var first []byte
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := answerBytes(s.handler, request)
		if n == 1 {
			first = answer
		}
		if n == 2 {
			answer = append(bytes.Clone(first), answer...)
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answerBytes returns the answer of handler as it is sent.
func answerBytes(handler http.Handler, request *http.Request) []byte {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	result := recorder.Result()
	result.ContentLength = int64(recorder.Body.Len())
	var answer bytes.Buffer
	_ = result.Write(&answer) // writing to a buffer does not fail
	return answer.Bytes()
}

// An orderedEndpoint is an endpoint whose answers tell the calls apart.
type orderedEndpoint struct {
	rattanv1connect.UnimplementedEndpointServiceHandler
	opened atomic.Int32
	term   atomic.Uint64
}

func (e *orderedEndpoint) OpenConnection(context.Context, *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	return connect.NewResponse(&rattanv1.OpenConnectionResponse{Connection: "c" + strconv.Itoa(int(e.opened.Add(1)))}), nil
}

func (e *orderedEndpoint) GetStatus(context.Context, *connect.Request[rattanv1.GetStatusRequest]) (*connect.Response[rattanv1.GetStatusResponse], error) {
	return connect.NewResponse(&rattanv1.GetStatusResponse{Status: &rattanv1.EndpointStatus{Term: e.term.Add(1)}}), nil
}

func (e *orderedEndpoint) WaitPosition(_ context.Context, request *connect.Request[rattanv1.WaitPositionRequest]) (*connect.Response[rattanv1.WaitPositionResponse], error) {
	if request.Msg.GetIndex() > 5 {
		return nil, withFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND)
	}
	position := &rattanv1.Position{Term: request.Msg.GetTerm(), Index: 5}
	return connect.NewResponse(&rattanv1.WaitPositionResponse{Status: &rattanv1.EndpointStatus{Term: request.Msg.GetTerm(), Position: position}}), nil
}

func (e *orderedEndpoint) FindOutcome(_ context.Context, request *connect.Request[rattanv1.FindOutcomeRequest]) (*connect.Response[rattanv1.FindOutcomeResponse], error) {
	state := rattanv1.RunState_RUN_STATE_RAN
	if request.Msg.GetRequestId() == "cancelled" {
		state = rattanv1.RunState_RUN_STATE_NOT_RUN
	}
	return connect.NewResponse(&rattanv1.FindOutcomeResponse{RunState: state, Position: &rattanv1.Position{Term: 1, Index: 5}}), nil
}

func (e *orderedEndpoint) Fence(_ context.Context, request *connect.Request[rattanv1.FenceRequest]) (*connect.Response[rattanv1.FenceResponse], error) {
	if request.Msg.GetTerm() > 5 {
		return nil, withFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED)
	}
	return connect.NewResponse(&rattanv1.FenceResponse{Status: &rattanv1.EndpointStatus{PromisedTerm: request.Msg.GetTerm()}}), nil
}

func (e *orderedEndpoint) RunStatements(_ context.Context, request *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	if request.Msg.GetReadOnly() {
		return nil, withFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND)
	}
	response := &rattanv1.RunStatementsResponse{Call: request.Msg.GetCall(), Position: &rattanv1.Position{Term: 1, Index: 5}}
	for range request.Msg.GetStatements() {
		response.Results = append(response.Results, &rattanv1.Result{})
	}
	return connect.NewResponse(response), nil
}

// TestRepeatedHTTPAnswer guards against an answer that is taken for the answer to the
// next request on the same HTTP connection, when an endpoint answers twice.
func TestRepeatedHTTPAnswer(t *testing.T) {
	statement := []*rattanv1.Statement{{Text: "s"}}
	for _, tc := range []struct {
		name          string
		first, second func(ctx context.Context, c *Client) error
	}{
		{"confirmation of another position", waitPosition(5), waitPosition(9)},
		{"refusal of another position", waitPosition(9), waitPosition(5)},
		{"outcome of another request", findOutcome("ran"), findOutcome("cancelled")},
		{"promise of another term", fence(5), fence(9)},
		{"earlier status", status, status},
		{"connection of another request", open, open},
		{
			"refusal of another statement", runStatements(&rattanv1.RunStatementsRequest{Statements: statement, ReadOnly: true}),
			runStatements(&rattanv1.RunStatementsRequest{Statements: statement, RequestId: "w"}),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := newRepeatingClient(t)
			_ = tc.first(t.Context(), client) // it may be a refusal
			err := tc.second(t.Context(), client)
			if err == nil || RunState(err) != rattanerr.Unknown {
				t.Errorf("answer to the request before: error %v, run state %s, want an error and unknown", err, RunState(err))
			}
			_ = tc.second(t.Context(), client)
			if opened := server.opened.Load(); opened != 2 {
				t.Errorf("%d connections were opened, want 2: the one with a repeated answer must not be used again", opened)
			}
		})
	}
}

// newRepeatingClient returns a client of an orderedEndpoint behind a repeatingServer.
func newRepeatingClient(t *testing.T) (*Client, *repeatingServer) {
	t.Helper()
	_, service := rattanv1connect.NewEndpointServiceHandler(&orderedEndpoint{})
	server := startRepeatingServer(t, repeatCalls(service))
	httpClient := NewHTTPClient((&net.Dialer{}).DialContext)
	t.Cleanup(httpClient.CloseIdleConnections)
	return Dial(httpClient, server.listener.Addr().String(), "vm-1", 0), server
}

func waitPosition(index uint64) func(ctx context.Context, c *Client) error {
	return func(ctx context.Context, c *Client) error {
		_, err := c.WaitPosition(ctx, rattanmodel.Position{Term: 1, Index: index})
		return err
	}
}

func findOutcome(id string) func(ctx context.Context, c *Client) error {
	return func(ctx context.Context, c *Client) error {
		_, err := c.FindOutcome(ctx, &rattanv1.FindOutcomeRequest{RequestId: id, Term: 1})
		return err
	}
}

func fence(term uint64) func(ctx context.Context, c *Client) error {
	return func(ctx context.Context, c *Client) error {
		_, err := c.Fence(ctx, term, "vm-1/1")
		return err
	}
}

func status(ctx context.Context, c *Client) error {
	_, err := c.Status(ctx)
	return err
}

func open(ctx context.Context, c *Client) error {
	_, err := c.Open(ctx)
	return err
}

func runStatements(request *rattanv1.RunStatementsRequest) func(ctx context.Context, c *Client) error {
	return func(ctx context.Context, c *Client) error {
		_, err := newConn(c, "c1").Run(ctx, request)
		return err
	}
}

// answerWithNumbers answers calls with the numbers of a list, where the empty one stands for
// none and "own" for that of the call.
type answerWithNumbers []string

func (a *answerWithNumbers) Do(request *http.Request) (*http.Response, error) {
	header := make(http.Header)
	switch number := (*a)[0]; number {
	case "":
	case "own":
		header.Set(CallHeader, request.Header.Get(CallHeader))
	default:
		header.Set(CallHeader, number)
	}
	*a = (*a)[1:]
	return &http.Response{Header: header, Body: http.NoBody}, nil
}

// TestEndpointWithoutCallNumbers guards against an endpoint of the first version of the
// protocol whose answers are all refused, and against one of this version whose answer to
// another call is taken as it lacks a number.
func TestEndpointWithoutCallNumbers(t *testing.T) {
	for _, test := range []struct {
		name    string
		numbers answerWithNumbers
		isTaken bool
	}{
		{"never numbered", answerWithNumbers{"", ""}, true},
		{"numbered before", answerWithNumbers{"own", ""}, false},
		{"another number", answerWithNumbers{"", "other"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newNumberedClient(&test.numbers)
			var err error
			for range 2 {
				var request *http.Request
				if request, err = http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1/", http.NoBody); err != nil {
					t.Fatal(err)
				}
				var response *http.Response
				if response, err = client.Do(request); err == nil {
					_ = response.Body.Close()
				}
			}
			if isTaken := err == nil; isTaken != test.isTaken {
				t.Errorf("got %v, want taken: %t", err, test.isTaken)
			}
		})
	}
}
