package rattanendpoint

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// cluster is a group of three instances in a synctest bubble.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	instances map[string]*Instance
	cancel    map[string]context.CancelFunc
	running   sync.WaitGroup
}

var names = []string{"a", "b", "c"}

// inCluster runs a test with a group whose first primary is instance a.
func inCluster(t *testing.T, test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, instances: map[string]*Instance{}, cancel: map[string]context.CancelFunc{}}
		for _, name := range names {
			c.create(name, nil)
		}
		for _, name := range names {
			c.start(name)
		}
		time.Sleep(200 * time.Millisecond)
		test(c)
		for _, name := range names {
			c.stop(name)
		}
		c.running.Wait()
	})
}

func (c *cluster) create(name string, state *State) {
	instance := New(Config{
		Name:            name,
		Group:           "orders",
		Peers:           slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name }),
		Dial:            func(peer string) rattanv1connect.EndpointServiceClient { return c.dial(peer, name) },
		InitialPrimary:  "a",
		State:           state,
		LockTimeout:     100 * time.Millisecond,
		TransactionIdle: 2 * time.Second,
	}, rattanclock.System())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[name] = instance
}

func (c *cluster) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel[name] = cancel
	instance := c.get(name)
	c.running.Go(func() { instance.Run(ctx) })
}

func (c *cluster) stop(name string) *State {
	state := c.get(name).Stop()
	c.cancel[name]()
	return state
}

func (c *cluster) get(name string) *Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

// dial returns a client of the instance that has the name at present. The client
// goes through HTTP when sender is empty, otherwise it calls in memory.
func (c *cluster) dial(name, sender string) rattanv1connect.EndpointServiceClient {
	instance := c.get(name)
	if sender != "" {
		return instance.Client(sender)
	}
	return rattanv1connect.NewEndpointServiceClient(&http.Client{Transport: instance.Transport("")}, "http://"+name)
}

// callOnce calls a method with a deadline of 2 s.
func callOnce[Req, Res any](method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), request *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// open opens a connection to an instance.
func (c *cluster) open(name string) string {
	c.t.Helper()
	opened, err := callOnce(c.dial(name, "").OpenConnection, &rattanv1.OpenConnectionRequest{Daemon: "vm/1"})
	if err != nil {
		c.t.Fatal(err)
	}
	return opened.GetConnection()
}

// run runs one statement on the connection of the request, or on a new one if the
// request names none. text is empty for a request without statements.
func (c *cluster) run(name string, request *rattanv1.RunStatementsRequest, text string) (*rattanv1.RunStatementsResponse, error) {
	c.t.Helper()
	client := c.dial(name, "")
	if request.Connection == "" {
		request.Connection = c.open(name)
		defer func() {
			_, _ = callOnce(client.CloseConnection, &rattanv1.CloseConnectionRequest{Connection: request.GetConnection()})
		}()
	}
	if text != "" {
		request.Statements = []*rattanv1.Statement{{Text: text}}
	}
	return callOnce(client.RunStatements, request)
}

// promote fences the given instances for a term and then makes an instance its
// primary.
func (c *cluster) promote(name string, term uint64, fenced ...string) error {
	for _, member := range fenced {
		if _, err := callOnce(c.dial(member, "").Fence, &rattanv1.FenceRequest{Term: term, Coordinator: "vm"}); err != nil {
			return err
		}
	}
	_, err := callOnce(c.dial(name, "").Promote, &rattanv1.PromoteRequest{Term: term, Coordinator: "vm", Fenced: fenced})
	return err
}

// faultKind returns the kind of an EndpointFault, 0 for other errors and nil.
func faultKind(err error) rattanv1.EndpointFaultKind {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return 0
	}
	for _, detail := range failure.Details() {
		if value, err := detail.Value(); err == nil {
			if fault, ok := value.(*rattanv1.EndpointFault); ok {
				return fault.GetKind()
			}
		}
	}
	return 0
}
