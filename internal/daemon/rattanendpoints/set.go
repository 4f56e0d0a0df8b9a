// Package rattanendpoints keeps a client and a pool for every endpoint of the
// settings in force.
package rattanendpoints

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanexecutor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanpool"
)

// retryBudgetWait is when to come back after the retry budget was used up: it
// grows by at least one retry per second.
const retryBudgetWait = time.Second

// closeTimeout bounds how long a removed endpoint's running requests may last.
const closeTimeout = 30 * time.Second

// A ConnectionShare returns how many connections this daemon may have to an
// endpoint that allows total in all.
type ConnectionShare func(endpoint string, total int) int

// A Set holds the endpoints. It is safe for concurrent use.
type Set struct {
	clock        rattanclock.Clock
	httpClient   connect.HTTPClient
	daemon       string
	messageBytes int
	share        ConnectionShare
	poolOptions  []rattanpool.Option

	mutex     sync.RWMutex
	endpoints map[string]*Endpoint
	budgets   map[string]*rattanpool.RetryBudget
	policy    rattansettings.Policy
}

// Config is what a Set needs to reach endpoints.
type Config struct {
	HTTPClient connect.HTTPClient
	// Daemon names the VM and its incarnation to the endpoints.
	Daemon string
	// MessageBytes is the largest accepted answer.
	MessageBytes int
	Share        ConnectionShare
	PoolOptions  []rattanpool.Option
}

// New returns an empty Set.
func New(clock rattanclock.Clock, config Config) *Set {
	return &Set{
		clock:        clock,
		httpClient:   config.HTTPClient,
		daemon:       config.Daemon,
		messageBytes: config.MessageBytes,
		share:        config.Share,
		poolOptions:  config.PoolOptions,
		endpoints:    make(map[string]*Endpoint),
		budgets:      make(map[string]*rattanpool.RetryBudget),
	}
}

// Endpoint implements rattanexecutor.Endpoints.
func (s *Set) Endpoint(name string) (rattanexecutor.Endpoint, bool) {
	endpoint, ok := s.Find(name)
	if !ok {
		return nil, false
	}
	return endpoint, true
}

// Find returns the endpoint of that full name.
func (s *Set) Find(name string) (*Endpoint, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	endpoint, ok := s.endpoints[name]
	return endpoint, ok
}

// All returns all endpoints.
func (s *Set) All() []*Endpoint {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	all := make([]*Endpoint, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		all = append(all, endpoint)
	}
	return all
}

// Apply makes the endpoints those of the snapshot. An endpoint that is gone or
// has a new address is closed after its running requests.
func (s *Set) Apply(snapshot *rattansettings.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.policy = snapshot.Policy()
	kept := make(map[string]*Endpoint)
	for _, settings := range snapshot.Endpoints() {
		if settings.Address() == "" || settings.Group() == "" {
			continue
		}
		kept[settings.Name()] = s.apply(settings)
	}
	for name, endpoint := range s.endpoints {
		if kept[name] == nil || kept[name].pool != endpoint.pool {
			go endpoint.close()
		}
	}
	s.endpoints = kept
}

// apply returns the endpoint of the given settings, with the pool that the
// earlier one had at the same address.
func (s *Set) apply(settings rattansettings.Endpoint) *Endpoint {
	limits := s.limits(settings)
	old, ok := s.endpoints[settings.Name()]
	if ok && old.settings.Address() == settings.Address() && old.settings.Group() == settings.Group() {
		old.pool.SetLimits(limits)
		old.pool.SetDrained(settings.Drained())
		return &Endpoint{settings: settings, client: old.client, pool: old.pool, budget: old.budget, work: old.work}
	}
	client := rattanadapter.Dial(s.httpClient, settings.Address(), s.daemon, s.messageBytes)
	pool := rattanpool.New(s.clock, client, limits, s.poolOptions...)
	pool.SetDrained(settings.Drained())
	return &Endpoint{
		settings: settings,
		client:   client,
		pool:     pool,
		budget:   s.budget(settings.Group()),
		work:     &work{clock: s.clock},
	}
}

func (s *Set) budget(group string) *rattanpool.RetryBudget {
	budget, ok := s.budgets[group]
	if !ok {
		budget = rattanpool.NewRetryBudget(s.clock)
		s.budgets[group] = budget
	}
	return budget
}

func (s *Set) limits(settings rattansettings.Endpoint) rattanpool.Limits {
	return rattanpool.Limits{
		Connections:  s.share(settings.Name(), settings.Connections()),
		Slots:        settings.Slots(),
		DrainTimeout: s.policy.DrainTimeout(),
	}
}

// UpdateShares takes a change of the daemon's connection shares into the pools.
func (s *Set) UpdateShares() {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	for _, endpoint := range s.endpoints {
		endpoint.pool.SetLimits(s.limits(endpoint.settings))
	}
}

// Close closes all pools after their running requests, at most until ctx ends.
func (s *Set) Close(ctx context.Context) {
	var wait sync.WaitGroup
	for _, endpoint := range s.All() {
		wait.Go(func() { _ = endpoint.pool.Close(ctx) }) // the error says only that ctx ended
	}
	wait.Wait()
}

func (e *Endpoint) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = e.pool.Close(ctx) // the error says only that the time was over
}
