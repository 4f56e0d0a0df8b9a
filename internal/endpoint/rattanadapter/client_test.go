package rattanadapter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// repeatCalls returns next with the header that repeats the number of each call.
func repeatCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(CallHeader, r.Header.Get(CallHeader))
		next.ServeHTTP(w, r)
	})
}

// handler is an endpoint that answers RunStatements with the function run.
type handler struct {
	rattanv1connect.UnimplementedEndpointServiceHandler
	run func(request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error)
}

func (h *handler) OpenConnection(context.Context, *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	return connect.NewResponse(&rattanv1.OpenConnectionResponse{Connection: "c1"}), nil
}

func (h *handler) RunStatements(_ context.Context, request *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	response, err := h.run(request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func withFault(kind rattanv1.EndpointFaultKind) error {
	err := connect.NewError(connect.CodeFailedPrecondition, errors.New("refused"))
	detail, _ := connect.NewErrorDetail(&rattanv1.EndpointFault{Kind: kind, Status: &rattanv1.EndpointStatus{Term: 7}})
	err.AddDetail(detail)
	return err
}

// TestRun guards against an error that counts as proof that a request has not run
// although it may have, and against reuse of a connection whose state is unknown.
func TestRun(t *testing.T) {
	answer := func(change func(r *rattanv1.RunStatementsResponse)) func(*rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
		return func(request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
			response := &rattanv1.RunStatementsResponse{Call: request.GetCall(), Results: []*rattanv1.Result{{}}}
			change(response)
			return response, nil
		}
	}
	fail := func(err error) func(*rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
		return func(*rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) { return nil, err }
	}
	large := &rattanv1.Result{Columns: []string{string(make([]byte, 5000))}}
	for _, tc := range []struct {
		name     string
		run      func(*rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error)
		ok       bool
		state    rattanerr.RunState
		reusable bool
	}{
		{"answer", answer(func(*rattanv1.RunStatementsResponse) {}), true, rattanerr.Unknown, true},
		{"crossed", answer(func(r *rattanv1.RunStatementsResponse) { r.Call++ }), false, rattanerr.Unknown, false},
		{"partial", answer(func(r *rattanv1.RunStatementsResponse) { r.Results = nil }), false, rattanerr.Unknown, false},
		{"too large", answer(func(r *rattanv1.RunStatementsResponse) { r.Results[0] = large }), false, rattanerr.Unknown, false},
		{"behind", fail(withFault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND)), false, rattanerr.NotRun, true},
		{"unknown kind of fault", fail(withFault(99)), false, rattanerr.Unknown, false},
		{"unknown connection", fail(connect.NewError(connect.CodeNotFound, nil)), false, rattanerr.NotRun, false},
		{"unavailable", fail(connect.NewError(connect.CodeUnavailable, nil)), false, rattanerr.Unknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, service := rattanv1connect.NewEndpointServiceHandler(&handler{run: tc.run})
			server := httptest.NewServer(repeatCalls(service))
			defer server.Close()
			client := Dial(server.Client(), server.Listener.Addr().String(), "vm-1", 4096)
			conn, err := client.Open(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			_, err = conn.Run(t.Context(), &rattanv1.RunStatementsRequest{Statements: []*rattanv1.Statement{{}}})
			if fault, ok := AsFault(err); ok && fault.Status.GetTerm() != 7 {
				t.Errorf("fault without its status: %v", fault)
			}
			if (err == nil) != tc.ok || err != nil && RunState(err) != tc.state || conn.Reusable() != tc.reusable {
				t.Errorf("got error %v, run state %s, reusable %t", err, RunState(err), conn.Reusable())
			}
		})
	}
}

// TestNotSent guards against a request that was never sent but whose run state is
// reported as unknown, so that a write would not be retried.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	client := Dial(NewHTTPClient((&net.Dialer{}).DialContext), listener.Addr().String(), "vm-1", 0)
	_, refused := client.Status(t.Context())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, afterCancel := client.Status(canceled)
	shortContext, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	// The transport goes on dialing after the request has ended.
	done := make(chan struct{})
	defer close(done)
	stuckDialer := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		<-done
		return nil, net.ErrClosed
	}}}
	_, notDialed := Dial(stuckDialer, listener.Addr().String(), "vm-1", 0).Status(shortContext)
	for name, err := range map[string]error{"dial refused": refused, "context ended": afterCancel, "dial stuck": notDialed} {
		if err == nil || RunState(err) != rattanerr.NotRun {
			t.Errorf("%s: run state of error %v is %s, want not run", name, err, RunState(err))
		}
	}
}

// TestSent guards against a cancelled context that counts as proof that a request did
// not run although the endpoint has received it.
func TestSent(t *testing.T) {
	received := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := Dial(server.Client(), server.Listener.Addr().String(), "vm-1", 0).Status(ctx)
	if err == nil || RunState(err) != rattanerr.Unknown {
		t.Errorf("run state of error %v is %s, want unknown", err, RunState(err))
	}
}

type replica struct{ err error }

func (r replica) WaitPosition(ctx context.Context, _ rattanmodel.Position) (*rattanv1.EndpointStatus, error) {
	if r.err == context.Canceled {
		<-ctx.Done()
	}
	return nil, r.err
}

// TestAcknowledge guards against a write that is acknowledged without a majority or
// waits for more replicas than it needs, and against a replica's fault that counts as
// proof that the write has not run.
func TestAcknowledge(t *testing.T) {
	refusing := replica{&Fault{Kind: rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED}}
	stuck := replica{context.Canceled}
	for _, tc := range []struct {
		name     string
		replicas []PositionWaiter
		ok       bool
	}{
		{"one of two", []PositionWaiter{replica{}, refusing}, true},
		{"one stuck", []PositionWaiter{stuck, replica{}}, true},
		{"none", []PositionWaiter{refusing, refusing}, false},
		{"all stuck", []PositionWaiter{stuck, stuck}, false},
		{"no replicas", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			err := Acknowledge(ctx, rattanmodel.Position{Term: 1, Index: 1}, 1, tc.replicas)
			if (err == nil) != tc.ok || err != nil && RunState(err) != rattanerr.Unknown {
				t.Errorf("got error %v, run state %s", err, RunState(err))
			}
		})
	}
}
