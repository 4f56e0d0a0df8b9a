package rattanpool

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// outcome is what a call says of the endpoint's health.
type outcome int

const (
	neutral outcome = iota
	healthy
	failing
)

// Observe takes a status that was received outside the pool, as by a monitor's
// probe. It counts as a sign of life of the endpoint.
func (p *Pool) Observe(status *rattanv1.EndpointStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeStatus(status, p.clock.Now())
}

func (p *Pool) observeStatus(status *rattanv1.EndpointStatus, now time.Time) {
	p.lastAnswer = now
	if status == nil {
		return
	}
	saturated := p.inFlight >= p.inFlightLimit(now)
	p.window.observe(now, int(status.GetQueued()), p.limits.Slots, saturated)
}

// observeCall records the result of a call that began at start.
func (p *Pool) observeCall(ctx context.Context, start time.Time, status *rattanv1.EndpointStatus, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault, ok := rattanadapter.AsFault(err); ok {
		status = fault.Status
	}
	switch p.judge(ctx, start, err) {
	case healthy:
		p.observeStatus(status, now)
		p.record(false)
	case failing:
		p.record(true)
	default:
	}
	if rattanadapter.IsNotFound(err) {
		// The endpoint has restarted: it knows none of the older connections.
		p.closeIdle()
	}
}

// judge says what the error of a call means for the endpoint's health. A caller's
// deadline counts against the endpoint only if it has answered nobody since the
// call began: otherwise one account's slow statements or short deadlines would
// open the breaker for all.
func (p *Pool) judge(ctx context.Context, start time.Time, err error) outcome {
	if err == nil || answered(err) {
		return healthy
	}
	if errors.Is(err, rattanadapter.ErrBusy) || errors.Is(err, rattanadapter.ErrClosed) {
		return neutral
	}
	switch ended := ctx.Err(); {
	case ended == nil:
		return failing
	case errors.Is(ended, context.DeadlineExceeded) && !p.lastAnswer.After(start) && p.clock.Now().Sub(start) >= probeTimeout:
		return failing
	default:
		return neutral
	}
}

// answered reports whether err is a considered answer of the endpoint.
func answered(err error) bool {
	if _, ok := rattanadapter.AsFault(err); ok {
		return true
	}
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeInternal, connect.CodeUnknown, connect.CodeDataLoss:
		return false
	default:
		return true
	}
}

// record counts an outcome and opens the breaker when its rules say so.
func (p *Pool) record(failed bool) {
	if !p.breaker.record(failed) || p.breaker.state != BreakerClosed || p.closed {
		return
	}
	p.breaker.open(p.clock.Now())
	p.state.Store(int32(BreakerOpen))
	p.refuseWaiting(rattanv1.Reason_REASON_UNAVAILABLE, openTime)
	p.tasks.Go(p.probe)
}

// probe asks an endpoint with an open breaker for its status until it answers.
func (p *Pool) probe() {
	for {
		select {
		case <-p.clock.After(openTime):
		case <-p.waits.Done():
			return
		}
		if p.isClosed() {
			return
		}
		p.setBreaker(BreakerHalfOpen)
		ctx, cancel := context.WithTimeout(p.background, probeTimeout)
		status, err := p.client.Status(ctx)
		cancel()
		if err == nil {
			p.returnToService(status)
			return
		}
		p.setBreaker(BreakerOpen)
	}
}

func (p *Pool) returnToService(status *rattanv1.EndpointStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.breaker.close()
	p.state.Store(int32(BreakerClosed))
	p.observeStatus(status, now)
	p.window.restart(now)
	p.connections.refused = 0
	p.dispatch()
}

func (p *Pool) setBreaker(state BreakerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaker.state = state
	if state == BreakerOpen {
		p.breaker.open(p.clock.Now())
	}
	p.state.Store(int32(state))
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
