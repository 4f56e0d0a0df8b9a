package rattanpool

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// outcome is what the result of a call says about the endpoint's health.
type outcome int

const (
	neutral outcome = iota
	healthy
	failing
)

// Observe records a status that was received outside the pool, for example by a
// monitor's probe. It counts as a response of the endpoint.
func (p *Pool) Observe(status *rattanv1.EndpointStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observeStatus(status, p.clock.Now())
}

func (p *Pool) observeStatus(status *rattanv1.EndpointStatus, now time.Time) {
	p.lastResponse = now
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
	switch p.classify(ctx, start, err) {
	case healthy:
		p.observeStatus(status, now)
		p.record(false)
	case failing:
		p.record(true)
	default:
	}
	if rattanadapter.IsNotFound(err) {
		// The endpoint has restarted and knows none of the older connections.
		p.closeIdle()
	}
}

// classify returns what the error of a call says about the endpoint's health. A
// caller's expired deadline counts as a failure only if the call lasted at least
// probeTimeout and the endpoint has sent no response to this daemon since the call
// began: otherwise the slow statements or short deadlines of one account would open
// the breaker for all.
func (p *Pool) classify(ctx context.Context, start time.Time, err error) outcome {
	if err == nil || endpointResponded(err) {
		return healthy
	}
	if errors.Is(err, rattanadapter.ErrBusy) || errors.Is(err, rattanadapter.ErrClosed) {
		return neutral
	}
	switch ended := ctx.Err(); {
	case ended == nil:
		return failing
	case errors.Is(ended, context.DeadlineExceeded) && !p.lastResponse.After(start) && p.clock.Now().Sub(start) >= probeTimeout:
		return failing
	default:
		return neutral
	}
}

// endpointResponded reports whether err is an error that the endpoint itself
// returned, and not one that comes from a failing connection or server.
func endpointResponded(err error) bool {
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

// record counts an outcome and opens the breaker when too many calls have failed.
func (p *Pool) record(failed bool) {
	if !p.breaker.record(failed) || p.breaker.state != BreakerClosed || p.closed {
		return
	}
	p.breaker.open(p.clock.Now())
	p.breakerState.Store(int32(BreakerOpen))
	p.refuseWaiting(rattanv1.Reason_REASON_UNAVAILABLE, openDuration)
	p.goroutines.Go(p.probe)
}

// probe queries the status of an endpoint with an open breaker until it responds.
func (p *Pool) probe() {
	for {
		select {
		case <-p.clock.After(openDuration):
		case <-p.waitCtx.Done():
			return
		}
		if p.isClosed() {
			return
		}
		p.setBreaker(BreakerHalfOpen)
		ctx, cancel := context.WithTimeout(p.backgroundCtx, probeTimeout)
		status, err := p.client.Status(ctx)
		cancel()
		if err == nil {
			p.returnToService(status)
			return
		}
		p.setBreaker(BreakerOpen)
	}
}

// returnToService closes the breaker and begins the slow start.
func (p *Pool) returnToService(status *rattanv1.EndpointStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.breaker.close()
	p.breakerState.Store(int32(BreakerClosed))
	p.observeStatus(status, now)
	p.window.beginSlowStart(now)
	p.connections.refusalBackoff = 0
	p.dispatch()
}

func (p *Pool) setBreaker(state BreakerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaker.state = state
	if state == BreakerOpen {
		p.breaker.open(p.clock.Now())
	}
	p.breakerState.Store(int32(state))
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
