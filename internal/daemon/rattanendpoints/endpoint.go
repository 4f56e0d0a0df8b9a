package rattanendpoints

import (
	"context"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanexecutor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanpool"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Endpoint is one endpoint of the settings with its client, its connection pool
// and the retry budget of its group.
type Endpoint struct {
	settings rattansettings.Endpoint
	client   *rattanadapter.Client
	pool     *rattanpool.Pool
	budget   *rattanpool.RetryBudget
	requests *requestCounter
}

var _ rattanexecutor.Endpoint = (*Endpoint)(nil)

// Client returns the endpoint's client.
func (e *Endpoint) Client() *rattanadapter.Client { return e.client }

// Pool returns the endpoint's pool.
func (e *Endpoint) Pool() *rattanpool.Pool { return e.pool }

// Settings returns the endpoint as the settings in force declare it.
func (e *Endpoint) Settings() rattansettings.Endpoint { return e.settings }

// Running returns the number of requests and transactions that run now.
func (e *Endpoint) Running() int { return e.requests.runningNow() }

// StartRate returns the number of requests and transactions started in the last
// whole second, or in the current one if that is more.
func (e *Endpoint) StartRate() int { return e.requests.startedLastSecond() }

// Blocked implements rattanexecutor.Runner: an endpoint whose circuit breaker is
// not closed gets no requests.
func (e *Endpoint) Blocked() bool { return e.pool.Breaker() != rattanpool.BreakerClosed }

// Run implements rattanexecutor.Runner.
func (e *Endpoint) Run(ctx context.Context, attempt rattanexecutor.Attempt, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	if err := e.spendBudget(attempt); err != nil {
		return nil, err
	}
	var response *rattanv1.RunStatementsResponse
	err := e.pool.Do(ctx, flowOf(attempt), func(ctx context.Context, conn *rattanpool.Conn) error {
		defer e.requests.begin()()
		var err error
		response, err = conn.Run(ctx, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// Pin implements rattanexecutor.Runner.
func (e *Endpoint) Pin(ctx context.Context, attempt rattanexecutor.Attempt) (rattanexecutor.PinnedConn, error) {
	if err := e.spendBudget(attempt); err != nil {
		return nil, err
	}
	conn, err := e.pool.Pin(ctx, flowOf(attempt))
	if err != nil {
		return nil, err
	}
	return &pinnedConn{conn: conn, end: e.requests.begin()}, nil
}

// WaitPosition implements rattanexecutor.Endpoint. Like FindOutcome it bypasses
// the pool, since it needs no database connection and no slot.
func (e *Endpoint) WaitPosition(ctx context.Context, position rattanmodel.Position) (*rattanv1.EndpointStatus, error) {
	return e.client.WaitPosition(ctx, position)
}

// FindOutcome implements rattanexecutor.Endpoint.
func (e *Endpoint) FindOutcome(ctx context.Context, request *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error) {
	return e.client.FindOutcome(ctx, request)
}

// spendBudget counts the attempt in the retry budget of the endpoint's group. A
// retry that exceeds the budget is refused.
func (e *Endpoint) spendBudget(attempt rattanexecutor.Attempt) error {
	if !attempt.Retry {
		e.budget.RecordRequest()
		return nil
	}
	if e.budget.TryRetry() {
		return nil
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryBudgetWait,
		"retry budget of group %s is used up", e.settings.Group())
}

// flowOf returns the fair-queuing flow that the attempt belongs to.
func flowOf(attempt rattanexecutor.Attempt) rattanpool.Flow {
	return rattanpool.Flow{Account: attempt.ClientAccount, Weight: int(attempt.Weight)}
}

// A pinnedConn is a pooled connection reserved for one transaction. end counts
// the end of the transaction.
type pinnedConn struct {
	conn *rattanpool.PinnedConn
	end  func()
}

// Run implements rattanexecutor.PinnedConn.
func (p *pinnedConn) Run(ctx context.Context, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	var response *rattanv1.RunStatementsResponse
	err := p.conn.Do(ctx, func(ctx context.Context, conn *rattanpool.Conn) error {
		var err error
		response, err = conn.Run(ctx, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// Release implements rattanexecutor.PinnedConn.
func (p *pinnedConn) Release() {
	p.end()
	p.conn.Release()
}

// Done implements rattanexecutor.PinnedConn.
func (p *pinnedConn) Done() <-chan struct{} { return p.conn.Done() }
