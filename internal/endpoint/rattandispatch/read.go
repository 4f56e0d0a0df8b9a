package rattandispatch

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// floor returns the position that an endpoint must hold for a read of the job,
// or false when no observation of the primary is young enough.
func (d *Dispatcher) floor(request Request) (rattanmodel.Position, bool) {
	history := d.endpoints.History(request.Route.Group)
	floor, ok := history.MinPosition(d.grants.Now(), request.Route.MaxStaleness)
	return floor.Max(history.Resolve(request.SessionPosition)), ok
}

// candidates returns the upstreams of a group in the order in which a read with
// a floor tries them.
func (d *Dispatcher) candidates(group string, floor rattanmodel.Position) []*rattanupstream.Upstream {
	upstreams := d.endpoints.Upstreams(group)
	byID := make(map[string]*rattanupstream.Upstream, len(upstreams))
	candidates := make([]rattanplacement.Candidate, 0, len(upstreams))
	record, _, _ := d.grants.Record(group)
	for _, u := range upstreams {
		candidate := u.Candidate()
		candidate.IsLocal = d.endpoints.IsLocal(u.Endpoint())
		candidate.IsPrimary = candidate.ID == record.Primary
		byID[candidate.ID] = u
		candidates = append(candidates, candidate)
	}
	ordered := make([]*rattanupstream.Upstream, 0, len(upstreams))
	for _, id := range rattanplacement.Rank(candidates, floor, d.clock.Now()) {
		ordered = append(ordered, byID[id])
	}
	return ordered
}

// read runs a read that replicas may serve.
func (d *Dispatcher) read(request Request, work rattanstatemachine.Operation) Outcome {
	tried := attempts{dispatcher: d}
	for {
		floor, ok := d.floor(request)
		if !ok {
			return d.readPrimary(request, work)
		}
		if tried.try(d.candidates(request.Route.Group, floor), floor, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
			return d.readAt(upstream, request, work, floor)
		}) {
			return tried.last
		}
		if d.clock.Now().Add(retryPause).After(request.hopeless()) {
			return d.giveUp(tried.last)
		}
		<-d.clock.After(retryPause)
	}
}

// giveUp answers a request that no endpoint can run now.
func (d *Dispatcher) giveUp(last Outcome) Outcome {
	last.Result = rattanstatement.Refuse(rattanstatement.Busy, "no endpoint can run the statement now; come back in 100 ms")
	return last
}

// noPrimaryNow answers a statement that only a primary can run.
const noPrimaryNow = "the group has no primary now; come back in 100 ms"

// atPrimary tries an attempt at the group's primary until its outcome is final or
// no further attempt can help the request.
func (d *Dispatcher) atPrimary(request Request, attempt func(*rattanupstream.Upstream) (Outcome, bool)) Outcome {
	tried := attempts{dispatcher: d}
	for {
		upstream, err := d.primary(request)
		if err != nil {
			return refused(rattanstatement.Busy, noPrimaryNow, err)
		}
		if tried.try([]*rattanupstream.Upstream{upstream}, rattanmodel.Position{}, attempt) {
			return tried.last
		}
		if d.clock.Now().Add(retryPause).After(request.deadline()) || len(tried.attempts) > 1 && d.clock.Now().After(request.hopeless()) {
			return d.giveUp(tried.last)
		}
		<-d.clock.After(retryPause)
	}
}

// readPrimary runs a read at the primary, under a grant.
func (d *Dispatcher) readPrimary(request Request, work rattanstatemachine.Operation) Outcome {
	return d.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return d.readAt(upstream, request, work, rattanmodel.Position{})
	})
}

// readAt tries a read at one endpoint, through the daemon that keeps its
// connections. The outcome is final unless another endpoint may serve the read.
func (d *Dispatcher) readAt(upstream *rattanupstream.Upstream, request Request, work rattanstatemachine.Operation, floor rattanmodel.Position) (Outcome, bool) {
	id := upstream.Endpoint().ID
	needsGrant := floor == rattanmodel.Position{}
	asked := d.grants.Now()
	if primary, ok := d.grants.Primary(request.Route.Group); needsGrant && (!ok || primary != id) {
		return Outcome{Endpoint: id, Cause: errNoPrimary}, false
	}
	result, err := d.owners.Read(upstream, request.task(work, floor))
	if err != nil {
		outcome := Outcome{Endpoint: id, Cause: err}
		if !d.clock.Now().Before(request.deadline()) {
			outcome.Result = rattanstatement.Refuse(rattanstatement.Timeout, "no endpoint answered in time")
			return outcome, true
		}
		return outcome, false
	}
	d.observe(request.Route.Group, id, result, asked)
	switch result.Code {
	case rattanstatement.Behind, rattanstatement.Busy, rattanstatement.WrongEndpoint, rattanstatement.TooManyConnections,
		rattanstatement.Failed, rattanstatement.Timeout, rattanstatement.UnknownPrepared:
		return Outcome{Result: result, Endpoint: id}, false
	default:
		return Outcome{Result: result, Endpoint: id}, true
	}
}

// silence is until when the answer to a statement of a transaction is awaited.
func (d *Dispatcher) silence(request Request) time.Time {
	until := d.clock.Now().Add(silenceTimeout)
	if deadline := request.deadline(); until.After(deadline) {
		return deadline
	}
	return until
}

// observe records the primary's position from an answer to a question sent at
// asked, if the daemon still holds the grant under which it was asked.
func (d *Dispatcher) observe(group, id string, result rattanstatement.Result, asked time.Time) {
	if primary, ok := d.grants.Primary(group); ok && primary == id && result.Code != rattanstatement.ReadOnly {
		d.endpoints.History(group).Observe(result.Position, asked)
	}
}
