package rattanload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A generator is one run of a load.
type generator struct {
	config   Config
	start    time.Time
	prefix   string
	clients  []rattanv1connect.CallerServiceClient
	balancer *balancer
	sessions []*sessions
	tracer   *tracer
	running  sync.WaitGroup
	slots    chan struct{}

	mutex   sync.Mutex
	samples []sample
}

// Run creates the table of the load in every service, sends the load and
// measures it. It returns a *ConfigError for a wrong Config, the refusal when
// the table cannot be created, and the error of writing the trace. When ctx
// ends early, the Report covers the time until then.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Report{}, err
	}
	g := newGenerator(config)
	if err := g.createTables(ctx); err != nil {
		return Report{}, err
	}
	g.run(ctx)
	if g.tracer.err != nil {
		return Report{}, errors.Wrap(g.tracer.err, "write trace")
	}
	return newReport(config, g.start, g.samples), nil
}

func newGenerator(config Config) *generator {
	g := &generator{
		config:   config,
		prefix:   fmt.Sprintf("%x-%x", config.Seed, config.Clock.Now().UnixNano()),
		balancer: newBalancer(config),
		tracer:   newTracer(config.Trace),
		slots:    make(chan struct{}, config.InFlight),
	}
	httpClient := &http.Client{Transport: config.Transport}
	for _, url := range config.URLs {
		g.clients = append(g.clients, rattanv1connect.NewCallerServiceClient(httpClient, url))
	}
	for i := range config.Accounts {
		g.sessions = append(g.sessions, &sessions{prefix: fmt.Sprintf("%s-%d", g.prefix, i)})
	}
	return g
}

// createTables creates the load's table in every service.
func (g *generator) createTables(ctx context.Context) error {
	for _, service := range g.config.Services {
		ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
		_, err := g.clients[0].Execute(ctx, g.request(0, "", &rattanv1.ExecuteRequest{
			Service:   service,
			RequestId: g.prefix + "-table",
			Statement: &rattanv1.Statement{Text: "CREATE TABLE IF NOT EXISTS load (row TEXT, value TEXT)"},
		}))
		cancel()
		if err != nil {
			return errors.Wrapf(err, "create table of service %s", service)
		}
	}
	return nil
}

func (g *generator) run(ctx context.Context) {
	g.start = g.config.Clock.Now()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var helpers sync.WaitGroup
	helpers.Go(func() { g.balancer.run(background) })
	helpers.Go(func() { g.progress(background) })
	var arriving sync.WaitGroup
	for i := range g.config.Accounts {
		arriving.Go(func() { g.arrive(ctx, i) })
	}
	arriving.Wait()
	g.running.Wait()
	stop()
	helpers.Wait()
}

// arrive sends the requests of a client account at their times.
func (g *generator) arrive(ctx context.Context, account int) {
	random := rand.New(rand.NewPCG(g.config.Seed, uint64(account)))
	allowance := newAllowance(g.config.Accounts[account])
	var at time.Duration
	for {
		rate := g.config.Accounts[account].sendRate(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= g.config.Duration {
			return
		}
		arrival := newArrival(g.config, random, account, at)
		arrival.withinRate = allowance.take(at)
		select {
		case <-ctx.Done():
			return
		case <-g.config.Clock.After(g.start.Add(at).Sub(g.config.Clock.Now())):
		}
		g.admit(arrival)
	}
}

// admit sends a request when the generator has room for it.
func (g *generator) admit(a arrival) {
	select {
	case g.slots <- struct{}{}:
	default:
		s := a.sample()
		s.end, s.reason = g.since(), reasonGeneratorFull
		g.add(s)
		return
	}
	g.running.Go(func() {
		g.send(a)
		<-g.slots
	})
}

func (g *generator) since() time.Duration { return g.config.Clock.Now().Sub(g.start) }

func (g *generator) add(s sample) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.samples = append(g.samples, s)
}

// request returns the request of a client account in a session.
func (g *generator) request(account int, token string, message *rattanv1.ExecuteRequest) *connect.Request[rattanv1.ExecuteRequest] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+g.config.Accounts[account].Key)
	if token != "" {
		request.Header().Set(sessionHeader, token)
	}
	return request
}

// sessionHeader carries the session token, as docs/callers.md says.
const sessionHeader = "Rattanstream-Session"
