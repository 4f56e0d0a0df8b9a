// Package rattanstore is the daemon's client of the platform. It loads, changes
// and watches the stored settings and rosters, and registers the daemon's VM.
package rattanstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// defaultCallTimeout is far above the few milliseconds that the platform usually
	// needs, so that slow periods do not turn into failures. It is half of the 8 s
	// within which a change must be in force everywhere.
	defaultCallTimeout = 4 * time.Second
	// defaultWatchWait keeps the age of a watching daemon's cache well below the
	// smallest allowed key_freshness, 2 s.
	defaultWatchWait = 1500 * time.Millisecond
	// defaultRate is above the 3 calls/s of a daemon that watches settings and
	// rosters; daemons without a watch make far fewer calls.
	defaultRate  = 5.0
	defaultBurst = 20
)

// A Platform has the methods of the platform's RPC client that a Store uses.
type Platform interface {
	Get(context.Context, *connect.Request[rattanv1.GetRequest]) (*connect.Response[rattanv1.GetResponse], error)
	List(context.Context, *connect.Request[rattanv1.ListRequest]) (*connect.Response[rattanv1.ListResponse], error)
	Put(context.Context, *connect.Request[rattanv1.PutRequest]) (*connect.Response[rattanv1.PutResponse], error)
	Watch(context.Context, *connect.Request[rattanv1.WatchRequest]) (*connect.Response[rattanv1.WatchResponse], error)
	GrantLease(context.Context, *connect.Request[rattanv1.GrantLeaseRequest]) (*connect.Response[rattanv1.GrantLeaseResponse], error)
	KeepAlive(context.Context, *connect.Request[rattanv1.KeepAliveRequest]) (*connect.Response[rattanv1.KeepAliveResponse], error)
	ListVMs(context.Context, *connect.Request[rattanv1.ListVMsRequest]) (*connect.Response[rattanv1.ListVMsResponse], error)
}

// A Store is a client of the platform. It is safe for concurrent use.
type Store struct {
	platform    Platform
	clock       rattanclock.Clock
	callTimeout time.Duration
	watchWait   time.Duration
	limiter     *limiter
	jitter      func() float64

	reads, writes, watches, failures atomic.Uint64

	mu sync.Mutex
	// seen holds the highest revision seen of each key.
	seen map[string]uint64
}

// An Option configures a new Store.
type Option func(*Store)

// WithCallTimeout sets the timeout of one call; the default is 4 s.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *Store) { s.callTimeout = timeout }
}

// WithWatchWait sets how long one watch call waits for changes; the default is
// 1.5 s.
func WithWatchWait(wait time.Duration) Option {
	return func(s *Store) { s.watchWait = wait }
}

// WithRate limits the calls to perSecond on average and burst at once. The default
// is 5 calls/s and 20 calls.
func WithRate(perSecond float64, burst int) Option {
	return func(s *Store) { s.limiter = newLimiter(s.clock, perSecond, burst) }
}

// WithJitter sets the source of the random numbers in [0, 1) that spread retries.
func WithJitter(jitter func() float64) Option {
	return func(s *Store) { s.jitter = jitter }
}

// New returns a Store that uses platform.
func New(platform Platform, clock rattanclock.Clock, options ...Option) *Store {
	s := &Store{
		platform:    platform,
		clock:       clock,
		callTimeout: defaultCallTimeout,
		watchWait:   defaultWatchWait,
		limiter:     newLimiter(clock, defaultRate, defaultBurst),
		jitter:      rand.Float64,
		seen:        make(map[string]uint64),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Counters holds the numbers of calls since the start. Reads, Writes and Watches
// include the calls that failed.
type Counters struct {
	Reads    uint64
	Writes   uint64
	Watches  uint64
	Failures uint64
}

// Counters returns the numbers of calls to the platform.
func (s *Store) Counters() Counters {
	return Counters{
		Reads: s.reads.Load(), Writes: s.writes.Load(),
		Watches: s.watches.Load(), Failures: s.failures.Load(),
	}
}

// call waits for the rate limit and runs one call with a timeout. A call that ends
// during the wait returns a *notSentError.
func call[Q, A any](
	ctx context.Context, s *Store, counter *atomic.Uint64, timeout time.Duration, request *Q,
	run func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	if err := s.limiter.wait(ctx); err != nil {
		return nil, &notSentError{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	counter.Add(1)
	response, err := run(ctx, connect.NewRequest(request))
	if err != nil {
		s.failures.Add(1)
		return nil, err
	}
	return response.Msg, nil
}

// observe records the highest revision seen of a key. It returns false when
// revision is below it, which means that the read returned old state.
func (s *Store) observe(key string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.seen[key] {
		return false
	}
	s.seen[key] = revision
	return true
}

// get reads one key. The result is nil when the key does not exist.
func (s *Store) get(ctx context.Context, key string) (*rattanv1.KeyValue, error) {
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.GetRequest{Key: key}, s.platform.Get)
	if err != nil {
		return nil, newReadError(key, err)
	}
	if !s.observe(key, response.GetEntry().GetRevision()) {
		return nil, &StaleReadError{Key: key}
	}
	return response.GetEntry(), nil
}

// put stores or deletes a value by compare-and-swap and returns the new revision.
func (s *Store) put(ctx context.Context, request *rattanv1.PutRequest) (uint64, error) {
	response, err := call(ctx, s, &s.writes, s.callTimeout, request, s.platform.Put)
	if err != nil {
		return 0, err
	}
	if !request.GetDelete() {
		s.observe(request.GetKey(), response.GetRevision())
	}
	return response.GetRevision(), nil
}
