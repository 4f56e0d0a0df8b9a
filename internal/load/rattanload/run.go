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

// A generator runs a load once.
type generator struct {
	config Config
	start  time.Time
	// prefix is unique to the run; request and session names begin with it.
	prefix   string
	clients  []rattanv1connect.CallerServiceClient
	balancer *balancer
	sessions []*sessionPool
	tracer   *tracer
	// running has the requests in flight, and inFlight one element for each of them.
	running  sync.WaitGroup
	inFlight chan struct{}

	mutex   sync.Mutex
	samples []sample
}

// Run creates the load's table in every service, sends the load and measures it. It
// returns a *ConfigError for an invalid Config, the refusal when the table cannot be
// created, and the error when the trace cannot be written. When ctx ends early, the
// Report covers the time until then.
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
		inFlight: make(chan struct{}, config.InFlight),
	}
	httpClient := &http.Client{Transport: config.Transport}
	for _, url := range config.URLs {
		g.clients = append(g.clients, rattanv1connect.NewCallerServiceClient(httpClient, url))
	}
	for i := range config.Accounts {
		g.sessions = append(g.sessions, &sessionPool{prefix: fmt.Sprintf("%s-%d", g.prefix, i)})
	}
	return g
}

// createTables creates the table of the load in every service.
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
	helpers.Go(func() { g.reportProgress(background) })
	var senders sync.WaitGroup
	for i := range g.config.Accounts {
		senders.Go(func() { g.sendAccount(ctx, i) })
	}
	senders.Wait()
	g.running.Wait()
	stop()
	helpers.Wait()
}

// sendAccount sends the requests of a client account at their arrival times.
func (g *generator) sendAccount(ctx context.Context, account int) {
	random := rand.New(rand.NewPCG(g.config.Seed, uint64(account)))
	bucket := newTokenBucket(g.config.Accounts[account])
	var at time.Duration
	for {
		rate := g.config.Accounts[account].sendRate(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= g.config.Duration {
			return
		}
		arrival := newArrival(g.config, random, account, at)
		arrival.withinRate = bucket.take(at)
		select {
		case <-ctx.Done():
			return
		case <-g.config.Clock.After(g.start.Add(at).Sub(g.config.Clock.Now())):
		}
		g.admit(arrival)
	}
}

// admit sends a request, or records it as not served when Config.InFlight requests are
// waiting for a response.
func (g *generator) admit(a arrival) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		s := a.sample()
		s.end, s.reason = g.elapsed(), reasonGeneratorFull
		g.addSample(s)
		return
	}
	g.running.Go(func() {
		g.send(a)
		<-g.inFlight
	})
}

func (g *generator) elapsed() time.Duration { return g.config.Clock.Now().Sub(g.start) }

func (g *generator) addSample(s sample) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.samples = append(g.samples, s)
}

// request returns a request of a client account with a session token, "" for none.
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
