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

// An Endpoint is one endpoint of the settings with its client and pool.
type Endpoint struct {
	settings rattansettings.Endpoint
	client   *rattanadapter.Client
	pool     *rattanpool.Pool
	budget   *rattanpool.RetryBudget
	work     *work
}

var _ rattanexecutor.Endpoint = (*Endpoint)(nil)

// Client returns the endpoint's client.
func (e *Endpoint) Client() *rattanadapter.Client { return e.client }

// Pool returns the endpoint's pool.
func (e *Endpoint) Pool() *rattanpool.Pool { return e.pool }

// Settings returns the endpoint as the settings in force declare it.
func (e *Endpoint) Settings() rattansettings.Endpoint { return e.settings }

// Running returns the number of requests and transactions that run now.
func (e *Endpoint) Running() int { return e.work.runningNow() }

// StartRate returns the number of requests started in the last whole second.
func (e *Endpoint) StartRate() int { return e.work.startedLastSecond() }

// Blocked implements rattanexecutor.Runner.
func (e *Endpoint) Blocked() bool { return e.pool.Breaker() != rattanpool.BreakerClosed }

// Run implements rattanexecutor.Runner.
func (e *Endpoint) Run(ctx context.Context, job rattanexecutor.Attempt, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	if err := e.spendBudget(job); err != nil {
		return nil, err
	}
	var response *rattanv1.RunStatementsResponse
	err := e.pool.Do(ctx, poolJob(job), func(ctx context.Context, conn *rattanpool.Conn) error {
		defer e.work.begin()()
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
func (e *Endpoint) Pin(ctx context.Context, job rattanexecutor.Attempt) (rattanexecutor.PinnedConn, error) {
	if err := e.spendBudget(job); err != nil {
		return nil, err
	}
	reserved, err := e.pool.Pin(ctx, poolJob(job))
	if err != nil {
		return nil, err
	}
	return &pinned{pinned: reserved, end: e.work.begin()}, nil
}

// WaitPosition implements rattanexecutor.Endpoint. Like FindOutcome it goes
// past the pool, since it needs no database connection and no slot.
func (e *Endpoint) WaitPosition(ctx context.Context, position rattanmodel.Position) (*rattanv1.EndpointStatus, error) {
	return e.client.WaitPosition(ctx, position)
}

// FindOutcome implements rattanexecutor.Endpoint.
func (e *Endpoint) FindOutcome(ctx context.Context, request *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error) {
	return e.client.FindOutcome(ctx, request)
}

// spendBudget counts the attempt against the retry budget of the endpoint's group.
func (e *Endpoint) spendBudget(job rattanexecutor.Attempt) error {
	if !job.Retry {
		e.budget.RecordRequest()
		return nil
	}
	if e.budget.TryRetry() {
		return nil
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryBudgetWait,
		"retry budget of group %s is used up", e.settings.Group())
}

func poolJob(job rattanexecutor.Attempt) rattanpool.Flow {
	return rattanpool.Flow{Account: job.ClientAccount, Weight: int(job.Weight)}
}

// A pinned is a connection of the pool that a transaction holds.
type pinned struct {
	pinned *rattanpool.PinnedConn
	end    func()
}

// Run implements rattanexecutor.Pinned.
func (p *pinned) Run(ctx context.Context, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	var response *rattanv1.RunStatementsResponse
	err := p.pinned.Do(ctx, func(ctx context.Context, conn *rattanpool.Conn) error {
		var err error
		response, err = conn.Run(ctx, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// Release implements rattanexecutor.Pinned.
func (p *pinned) Release() {
	p.end()
	p.pinned.Release()
}

// Done implements rattanexecutor.Pinned.
func (p *pinned) Done() <-chan struct{} { return p.pinned.Done() }
