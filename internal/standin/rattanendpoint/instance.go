package rattanendpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// An Instance is one database instance. It implements
// rattanv1connect.EndpointServiceHandler and is safe for concurrent use.
type Instance struct {
	config  Config
	clock   rattanclock.Clock
	handler http.Handler

	mu    sync.Mutex
	state State
	// changed is closed and replaced whenever something that a call may wait
	// for has changed: the log, the term, the promise or the controls.
	changed     chan struct{}
	database    *rattansql.Database
	records     map[requestKey]requestRecord
	connections map[string]*connection
	// opened counts the connections opened so far; it makes their names unique.
	opened uint64
	slots  slots
	age    age
	// arrivals is when each log entry that is not yet accepted first arrived, by
	// index.
	arrivals  map[uint64]time.Time
	controls  Controls
	recording [][]byte
	// lastResponse is the response to the previous RunStatements call, for
	// Controls.CrossAnswers.
	lastResponse *rattanv1.RunStatementsResponse
	stopped      bool
	// lifetime ends when the instance is killed or stopped; it is then replaced.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// New returns an instance. It serves calls at once; replication, the age of its
// data and the limit on idle transactions need Run.
func New(config Config, clock rattanclock.Clock) *Instance {
	config = config.withDefaults()
	i := &Instance{
		config:   config,
		clock:    clock,
		state:    newState(config),
		changed:  make(chan struct{}),
		arrivals: map[uint64]time.Time{},
		controls: Controls{ServiceTime: config.ServiceTime},
		slots:    slots{free: config.Slots},
	}
	if config.State != nil {
		i.state = *config.State.clone()
	}
	i.connections = map[string]*connection{}
	i.lifetime, i.endLifetime = context.WithCancel(context.Background())
	i.rebuild()
	i.handler = i.newHandler()
	return i
}

// Handler serves EndpointService and, under /control, the controls.
func (i *Instance) Handler() http.Handler { return i.handler }

func (i *Instance) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rattanv1connect.NewEndpointServiceHandler(i, connect.WithInterceptors(connect.UnaryInterceptorFunc(i.intercept))))
	mux.HandleFunc("/control", i.serveControl)
	return i.recordRequests(repeatCalls(mux))
}

// repeatCalls returns next with the header that repeats the number of each call.
func repeatCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if number := r.Header.Get(rattanadapter.CallHeader); number != "" {
			w.Header().Set(rattanadapter.CallHeader, number)
		}
		next.ServeHTTP(w, r)
	})
}

// Run replicates the log, sends status queries and closes connections with idle
// transactions until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, peer := range i.config.Peers {
		loops.Go(func() { i.pushLoop(ctx, peer) })
	}
	loops.Go(func() { i.ageLoop(ctx) })
	loops.Go(func() { i.idleLoop(ctx) })
	loops.Wait()
}

// Stop ends all calls and connections permanently and returns the durable state,
// from which a later instance may start.
func (i *Instance) Stop() *State {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.dropAll()
	return i.state.clone()
}

// dropAll ends every call in progress and every connection. The caller holds mu.
func (i *Instance) dropAll() {
	i.endLifetime()
	i.lifetime, i.endLifetime = context.WithCancel(context.Background())
	for name := range i.connections {
		i.closeConnection(name)
	}
	i.notify()
}

// notify wakes all calls that wait for a change. The caller holds mu.
func (i *Instance) notify() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// wait runs check, with mu held, now and after each change until it returns true
// or an error, and returns that error. If the timeout or ctx ends first, it returns
// errTimeout or the error of ctx.
func (i *Instance) wait(ctx context.Context, timeout <-chan time.Time, check func() (bool, error)) error {
	for {
		i.mu.Lock()
		done, err := check()
		changed := i.changed
		i.mu.Unlock()
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-timeout:
			return errTimeout
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d or until ctx ends.
func (i *Instance) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-i.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
