// Package rattanexecutor runs statements on groups. It chooses endpoints, retries
// where that is safe and waits for the acknowledgement of writes. A refusal says
// whether the request ran, did not run or may have run.
package rattanexecutor

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Attempt describes an attempt of a request to the endpoint's admission queue: the
// client account, its weight in fair queueing and whether the attempt is a retry.
type Attempt struct {
	ClientAccount string
	Weight        int64
	// Retry marks a repeated attempt, which is charged to the group's retry budget.
	Retry bool
}

// A Runner runs requests on the connections of one endpoint. Its errors are
// those of rattanadapter or a *rattanerr.Refusal.
type Runner interface {
	Run(ctx context.Context, attempt Attempt, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error)
	// Pin reserves a connection for a transaction.
	Pin(ctx context.Context, attempt Attempt) (PinnedConn, error)
	// Blocked reports whether no requests may be sent to the endpoint now.
	Blocked() bool
}

// A PinnedConn is a connection that is reserved for one transaction.
type PinnedConn interface {
	Run(ctx context.Context, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error)
	// Release returns the connection to the pool. A connection with an open
	// transaction is closed, which rolls the transaction back.
	Release()
	// Done returns a channel that is closed when the connection is released or the
	// pool has ended the transaction.
	Done() <-chan struct{}
}

// An Endpoint is one endpoint with its connections.
type Endpoint interface {
	Runner
	rattanadapter.PositionWaiter
	FindOutcome(ctx context.Context, request *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error)
}

// Endpoints finds endpoints by full name.
type Endpoints interface {
	Endpoint(name string) (Endpoint, bool)
}

// Views provides the daemon's view of each group: its primary and the state of its
// endpoints.
type Views interface {
	View(group string) rattanmodel.GroupView
	// Observe records the status that an endpoint has sent.
	Observe(endpoint string, status *rattanv1.EndpointStatus)
	// Refresh requests the status of the group's endpoints in the background.
	Refresh(group string)
	// Changed returns a channel that is closed at the next change of the group's view.
	Changed(group string) <-chan struct{}
}

// Limits bound the waits of an Executor.
type Limits struct {
	// PrimaryWait is the longest wait of a write for a new primary.
	PrimaryWait time.Duration
	// WaitingWrites is the largest number of writes that wait for a primary.
	WaitingWrites int64
	// AcknowledgeWait is the longest wait for one round of acknowledgements.
	AcknowledgeWait time.Duration
	// ReadWait is the longest wait of a read for an endpoint that can serve it.
	ReadWait time.Duration
}

// DefaultLimits returns the limits of a daemon. A failover takes about 2 s, so a
// write that waits up to 4 s for its primary usually outlasts one.
func DefaultLimits() Limits {
	return Limits{
		PrimaryWait:     4 * time.Second,
		WaitingWrites:   1000,
		AcknowledgeWait: time.Second,
		ReadWait:        2 * time.Second,
	}
}

// An Executor runs statements. It is safe for concurrent use.
type Executor struct {
	clock         rattanclock.Clock
	views         Views
	endpoints     Endpoints
	failureDomain string
	limits        Limits
	readPrimary   bool

	waitingWrites atomic.Int64
	// spread distributes reads over equal replicas.
	spread  atomic.Uint64
	retries atomic.Uint64
}

// An Option changes an Executor.
type Option func(*Executor)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(e *Executor) { e.limits = limits }
}

// WithPrimaryReads sends all reads to the primary. Measurements of the share of reads
// that replicas serve compare with it.
func WithPrimaryReads() Option {
	return func(e *Executor) { e.readPrimary = true }
}

// New returns an Executor of a daemon in the given failure domain.
func New(clock rattanclock.Clock, views Views, endpoints Endpoints, failureDomain string, options ...Option) *Executor {
	e := &Executor{
		clock:         clock,
		views:         views,
		endpoints:     endpoints,
		failureDomain: failureDomain,
		limits:        DefaultLimits(),
	}
	e.spread.Store(rand.Uint64())
	for _, option := range options {
		option(e)
	}
	return e
}

// Retries returns the number of repeated attempts since the Executor was created.
func (e *Executor) Retries() uint64 { return e.retries.Load() }

// WaitingWrites returns the number of writes that wait for a primary now.
func (e *Executor) WaitingWrites() int64 { return e.waitingWrites.Load() }

// pause waits for d or for a change of the group's view before the next attempt. It
// returns false when ctx has ended, or without a wait when the wait would reach the
// deadline, so that the caller gets the final answer at once.
func (e *Executor) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && !e.clock.Now().Add(d).Before(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-e.clock.After(d):
		return true
	}
}
