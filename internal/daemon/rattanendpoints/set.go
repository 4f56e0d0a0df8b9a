// Package rattanendpoints holds a client and a connection pool for every endpoint
// of the settings in force.
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

// retryBudgetWait is how long to wait before a retry when the retry budget is
// used up: the budget grows by at least one retry per second.
const retryBudgetWait = time.Second

// closeTimeout bounds how long the pool of a removed endpoint waits for its
// running requests.
const closeTimeout = 30 * time.Second

// A ConnectionShare returns how many connections this daemon may open to an
// endpoint that accepts total connections from all daemons.
type ConnectionShare func(endpoint string, total int) int

// A Set holds the endpoints of the settings in force. It is safe for concurrent use.
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
	// Daemon is the name that the daemon gives to the endpoints: its VM and
	// incarnation.
	Daemon string
	// MessageBytes is the size of the largest accepted response.
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

// Find returns the endpoint with the given full name.
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

// Apply replaces the endpoints by those of the snapshot that have an address and
// a group. The pool of an endpoint that was removed, or that has a new address or
// group, is closed after its running requests.
func (s *Set) Apply(snapshot *rattansettings.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.policy = snapshot.Policy()
	applied := make(map[string]*Endpoint)
	for _, settings := range snapshot.Endpoints() {
		if settings.Address() == "" || settings.Group() == "" {
			continue
		}
		applied[settings.Name()] = s.apply(settings)
	}
	for name, endpoint := range s.endpoints {
		if applied[name] == nil || applied[name].pool != endpoint.pool {
			go endpoint.close()
		}
	}
	s.endpoints = applied
}

// apply returns the endpoint of the given settings. It reuses the client and the
// pool of the present endpoint if address and group are the same.
func (s *Set) apply(settings rattansettings.Endpoint) *Endpoint {
	limits := s.limits(settings)
	old, ok := s.endpoints[settings.Name()]
	if ok && old.settings.Address() == settings.Address() && old.settings.Group() == settings.Group() {
		old.pool.SetLimits(limits)
		old.pool.SetDrained(settings.Drained())
		return &Endpoint{settings: settings, client: old.client, pool: old.pool, budget: old.budget, requests: old.requests}
	}
	client := rattanadapter.Dial(s.httpClient, settings.Address(), s.daemon, s.messageBytes)
	pool := rattanpool.New(s.clock, client, limits, s.poolOptions...)
	pool.SetDrained(settings.Drained())
	return &Endpoint{
		settings: settings,
		client:   client,
		pool:     pool,
		budget:   s.budget(settings.Group()),
		requests: &requestCounter{clock: s.clock},
	}
}

// budget returns the retry budget of a group, which all of its endpoints share.
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

// UpdateShares applies the daemon's present connection shares to the pools.
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
		wait.Go(func() { _ = endpoint.pool.Close(ctx) }) // the only error is that ctx ended
	}
	wait.Wait()
}

func (e *Endpoint) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = e.pool.Close(ctx) // the only error is that closeTimeout was exceeded
}
