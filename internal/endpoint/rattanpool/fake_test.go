package rattanpool

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeEndpoint is an endpoint with a fixed number of slots and a fixed service time.
type fakeEndpoint struct {
	rattanv1connect.EndpointServiceClient
	service time.Duration
	slots   chan struct{}
	// slotCount is the capacity of slots. The channel is created in the test's
	// synctest bubble.
	slotCount int

	// costs overrides service for some client accounts.
	costs map[string]time.Duration

	mu           sync.Mutex
	opened       int
	peak         int
	open         map[string]bool
	waiting      int
	down         error
	unresponsive bool
	responses    int
	// crossEvery makes every crossEvery-th response belong to another call; 0 means
	// none.
	crossEvery int
	statuses   int
}

func newFakeEndpoint(slots int, service time.Duration) *fakeEndpoint {
	return &fakeEndpoint{service: service, slotCount: slots, open: make(map[string]bool)}
}

func (f *fakeEndpoint) set(change func(f *fakeEndpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fault applies the configured fault: it returns an error, or does not respond
// until ctx ends. It returns nil if there is none.
func (f *fakeEndpoint) fault(ctx context.Context) error {
	f.mu.Lock()
	down, unresponsive := f.down, f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	return down
}

func (f *fakeEndpoint) OpenConnection(ctx context.Context, _ *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	time.Sleep(10 * time.Millisecond)
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened++
	name := fmt.Sprintf("c%d", f.opened)
	f.open[name] = true
	f.peak = max(f.peak, len(f.open))
	return connect.NewResponse(&rattanv1.OpenConnectionResponse{Connection: name}), nil
}

func (f *fakeEndpoint) CloseConnection(ctx context.Context, request *connect.Request[rattanv1.CloseConnectionRequest]) (*connect.Response[rattanv1.CloseConnectionResponse], error) {
	time.Sleep(10 * time.Millisecond)
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, request.Msg.GetConnection())
	return connect.NewResponse(&rattanv1.CloseConnectionResponse{}), nil
}

func (f *fakeEndpoint) GetStatus(ctx context.Context, _ *connect.Request[rattanv1.GetStatusRequest]) (*connect.Response[rattanv1.GetStatusResponse], error) {
	f.set(func(f *fakeEndpoint) { f.statuses++ })
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.GetStatusResponse{Status: &rattanv1.EndpointStatus{}}), nil
}

func (f *fakeEndpoint) RunStatements(ctx context.Context, request *connect.Request[rattanv1.RunStatementsRequest]) (*connect.Response[rattanv1.RunStatementsResponse], error) {
	if err := f.fault(ctx); err != nil {
		return nil, err
	}
	if !f.holds(request.Msg.GetConnection()) {
		return nil, connectionUnknown()
	}
	service := f.service
	if cost, ok := f.costs[request.Msg.GetClientAccount()]; ok {
		service = cost
	}
	f.set(func(f *fakeEndpoint) { f.waiting++ })
	f.slots <- struct{}{}
	f.set(func(f *fakeEndpoint) { f.waiting-- })
	time.Sleep(service)
	<-f.slots
	f.mu.Lock()
	defer f.mu.Unlock()
	call := request.Msg.GetCall()
	f.responses++
	if f.crossEvery > 0 && f.responses%f.crossEvery == 0 {
		call--
	}
	return connect.NewResponse(&rattanv1.RunStatementsResponse{
		Call:      call,
		ServiceUs: uint64(service.Microseconds()),
		Status:    &rattanv1.EndpointStatus{Queued: uint32(f.waiting)},
	}), nil
}

func (f *fakeEndpoint) holds(connection string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open[connection]
}

func connectionUnknown() error {
	err := connect.NewError(connect.CodeNotFound, nil)
	if detail, detailErr := connect.NewErrorDetail(&rattanv1.EndpointFault{}); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

// runWithPool runs test with a pool of the endpoint in a synctest bubble, and closes
// the pool.
func runWithPool(t *testing.T, endpoint *fakeEndpoint, limits Limits, test func(t *testing.T, p *Pool), options ...Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		endpoint.slots = make(chan struct{}, endpoint.slotCount)
		p := New(rattanclock.System(), rattanadapter.New(endpoint, "vm-1"), limits, options...)
		test(t, p)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := p.Close(ctx); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
}

// runOnce returns a function that runs one empty request as the given transaction
// step.
func runOnce(step rattanv1.TransactionStep) func(context.Context, *Conn) error {
	return func(ctx context.Context, conn *Conn) error {
		_, err := conn.Run(ctx, &rattanv1.RunStatementsRequest{Step: step})
		return err
	}
}

var autocommit = runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED)

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// counts returns how many connections were opened, how many are open, and how often
// the status was queried.
func (f *fakeEndpoint) counts() (opened, open, statuses int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened, len(f.open), f.statuses
}

func (f *fakeEndpoint) connections() int {
	_, open, _ := f.counts()
	return open
}
