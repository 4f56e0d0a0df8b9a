package rattandispatch

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// minPosition returns the position that an endpoint must hold to serve a read of
// the request. It returns false when no observation of the primary's position is
// recent enough for the route's staleness limit.
func (d *Dispatcher) minPosition(request Request) (rattanmodel.Position, bool) {
	history := d.endpoints.History(request.Route.Group)
	minPosition, ok := history.MinPosition(d.grants.Now(), request.Route.MaxStaleness)
	return minPosition.Max(history.Resolve(request.SessionPosition)), ok
}

// read runs a read that replicas may serve. Without a recent observation of the
// primary's position it runs the read at the primary.
func (d *Dispatcher) read(request Request, operation rattanstatemachine.Operation) Outcome {
	return d.placed(request, func(upstream *rattanupstream.Upstream, minPosition rattanmodel.Position) (Outcome, bool) {
		return d.readAt(upstream, request, operation, minPosition)
	})
}

// The details of the refusal of a statement that only a primary can run.
const (
	noPrimaryDetail       = "the group has no primary now; come back in 100 ms"
	awaitingPrimaryDetail = "the group has no primary until an endpoint is back that may hold acknowledged commits; come back in 1000 ms"
)

// atPrimary repeats an attempt at the group's primary until its outcome is final or
// the request's time for further attempts has passed.
func (d *Dispatcher) atPrimary(request Request, attempt func(*rattanupstream.Upstream) (Outcome, bool)) Outcome {
	runner := attemptRunner{dispatcher: d, request: request}
	for {
		upstream, err := d.primary(request)
		if err != nil {
			return runner.refuse(rattanstatement.Busy, d.noPrimaryDetail(request), err)
		}
		if runner.try([]*rattanupstream.Upstream{upstream}, rattanmodel.Position{}, attempt) {
			return runner.last
		}
		until := request.deadline()
		if len(runner.attempts) > 1 {
			until = request.endpointWaitDeadline().Add(retryPause)
		}
		if !runner.pause(until) {
			return runner.refuseBusy()
		}
	}
}

// noPrimaryDetail returns why there is no primary, and when to come back.
func (d *Dispatcher) noPrimaryDetail(request Request) string {
	if d.switchovers.IsAwaiting(request.Route.Group) {
		return awaitingPrimaryDetail
	}
	return noPrimaryDetail
}

// readPrimary runs a read at the primary, under a grant.
func (d *Dispatcher) readPrimary(request Request, operation rattanstatemachine.Operation) Outcome {
	return d.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return d.readAt(upstream, request, operation, rattanmodel.Position{})
	})
}

// readAt tries a read at one endpoint, through the endpoint's connection owner. A
// read without a minimum position needs a grant, since only the primary may serve
// it. The outcome is final unless another endpoint may serve the read.
func (d *Dispatcher) readAt(upstream *rattanupstream.Upstream, request Request, operation rattanstatemachine.Operation, minPosition rattanmodel.Position) (Outcome, bool) {
	id := upstream.Endpoint().ID
	needsGrant := minPosition == rattanmodel.Position{}
	startedAt := d.grants.Now()
	if primary, ok := d.grants.Primary(request.Route.Group); needsGrant && (!ok || primary != id) {
		return Outcome{Endpoint: id, Cause: errNoPrimary}, false
	}
	result, err := d.owners.Read(upstream, request.statementRequest(operation, minPosition, d.clock.Now()))
	if err != nil {
		outcome := Outcome{Endpoint: id, Cause: err}
		if !d.clock.Now().Before(request.deadline()) {
			outcome.Result = rattanstatement.Refuse(rattanstatement.Timeout, "no endpoint answered in time")
			return outcome, true
		}
		return outcome, false
	}
	d.observe(request.Route.Group, id, result, startedAt)
	switch result.Code {
	case rattanstatement.Behind, rattanstatement.Busy, rattanstatement.WrongEndpoint, rattanstatement.TooManyConnections,
		rattanstatement.Failed, rattanstatement.Timeout, rattanstatement.UnknownPrepared:
		return Outcome{Result: result, Endpoint: id}, false
	default:
		return Outcome{Result: result, Endpoint: id}, true
	}
}

// answerDeadline returns until when to wait for the answer to a statement of a
// transaction that is sent now.
func (d *Dispatcher) answerDeadline(request Request) time.Time {
	until := d.clock.Now().Add(max(answerTimeout, request.Route.LatencyObjective/answerWaitDivisor))
	if deadline := request.deadline(); until.After(deadline) {
		return deadline
	}
	return until
}

// observe records the position in the answer to a request that began at startedAt, also
// as the primary's if the daemon still holds a grant for that endpoint as the primary.
func (d *Dispatcher) observe(group, id string, result rattanstatement.Result, startedAt time.Time) {
	if upstream, ok := d.endpoints.Upstream(id); ok {
		d.endpoints.Replicas().Observe(id, upstream.Endpoint().StartedUnixMS, result.Position, d.grants.Now())
	}
	if primary, ok := d.grants.Primary(group); ok && primary == id && result.Code != rattanstatement.ReadOnly {
		d.endpoints.History(group).Observe(result.Position, startedAt)
	}
}
