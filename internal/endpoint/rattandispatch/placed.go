package rattandispatch

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// replanInterval is the longest wait for an endpoint before the choice is made
	// again.
	replanInterval = 50 * time.Millisecond
	// attemptPause is how long a statement is not sent again to an endpoint that did not
	// serve it. It doubles with each further attempt there.
	attemptPause = 50 * time.Millisecond
	// maxPlacedAttempts bounds the attempts of one statement.
	maxPlacedAttempts = 6
)

// placedAttempt runs a statement at an endpoint that must hold a position; the zero
// position means the primary, under a grant. The outcome is final unless another endpoint
// may serve the statement.
type placedAttempt func(upstream *rattanupstream.Upstream, minPosition rattanmodel.Position) (Outcome, bool)

// A search looks for the endpoint that serves one statement.
type search struct {
	dispatcher *Dispatcher
	request    Request
	runner     attemptRunner
	// tried counts the attempts at each endpoint, and notBefore is when it may be tried
	// again.
	tried     map[string]int
	notBefore map[string]time.Time
	// isFull has the endpoints that have refused the statement for lack of room, wasBehind
	// those that lacked its position.
	isFull, wasBehind map[string]bool
	// isProbe is true when the last attempt was to see whether a replica that should lack
	// the position has caught up.
	isProbe bool
	// isLastResort is true while no endpoint of the group is known to answer, or the
	// group has only one.
	isLastResort bool
}

// placed runs a statement that replicas may serve where it is expected to complete
// soonest. It is refused as soon as no endpoint is expected to complete it in time, or
// the group has no endpoint that gets new statements.
func (d *Dispatcher) placed(request Request, attempt placedAttempt) Outcome {
	s := &search{
		dispatcher: d, request: request, runner: attemptRunner{dispatcher: d},
		tried: make(map[string]int), notBefore: make(map[string]time.Time), isFull: make(map[string]bool), wasBehind: make(map[string]bool),
	}
	for {
		minPosition, ok := d.minPosition(request)
		if !ok {
			return d.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
				return attempt(upstream, rattanmodel.Position{})
			})
		}
		upstream, sendIn, refusal := s.next(minPosition)
		switch {
		case refusal != nil:
			return s.refuse(refusal, minPosition)
		case sendIn > 0:
			<-d.clock.After(min(sendIn, replanInterval))
			continue
		}
		if s.runner.try([]*rattanupstream.Upstream{upstream}, minPosition, func(u *rattanupstream.Upstream) (Outcome, bool) {
			return attempt(u, minPosition)
		}) {
			return s.runner.last
		}
		s.recordFailure(upstream.Endpoint().ID, s.runner.last)
	}
}

func (s *search) recordFailure(id string, outcome Outcome) {
	s.isFull[id] = errors.Is(outcome.Cause, rattanupstream.ErrOverloaded)
	s.wasBehind[id] = s.wasBehind[id] || outcome.Cause == nil && outcome.Code == rattanstatement.Behind && !s.isProbe
	pause := attemptPause << s.tried[id]
	if s.isLastResort {
		pause = retryPause
	}
	s.tried[id]++
	s.notBefore[id] = s.dispatcher.clock.Now().Add(pause)
}

// errNoEndpoint says that the group has no endpoint that gets new statements.
var errNoEndpoint = &rattanwork.Refusal{Reason: "the group has no endpoint that gets new statements", RetryAfter: 100 * time.Millisecond}

// errAttempts says that the endpoints of the group did not serve the statement.
var errAttempts = &rattanwork.Refusal{Reason: "no endpoint has served the statement", RetryAfter: 100 * time.Millisecond}

// next returns the endpoint for the next attempt and when to send it, or why there is
// none.
func (s *search) next(minPosition rattanmodel.Position) (*rattanupstream.Upstream, time.Duration, *rattanwork.Refusal) {
	d := s.dispatcher
	upstreams := d.endpoints.Upstreams(s.request.Route.Group)
	candidates, isChoice := s.candidates(upstreams, minPosition)
	s.isLastResort = !isChoice
	switch {
	case len(upstreams) == 0:
		return nil, 0, errNoEndpoint
	case s.isLastResort:
		return s.lastResort(upstreams)
	case len(s.runner.attempts) >= maxPlacedAttempts:
		return nil, 0, errAttempts
	}
	now := d.clock.Now()
	read := rattanplacement.Read{
		Group: s.request.Route.Group, Account: s.request.Account,
		ObjectiveIn: s.request.objective().Sub(now), DeadlineIn: s.request.deadline().Sub(now),
	}
	choice, refusal := d.placer.Place(read, candidates)
	if refusal != nil {
		return nil, 0, refusal
	}
	s.isProbe = choice.IsProbe
	for _, u := range upstreams {
		if u.Endpoint().ID == choice.ID {
			if choice.IsProbe {
				d.endpoints.Replicas().MarkProbe(choice.ID, d.grants.Now())
			}
			return u, choice.SendIn, nil
		}
	}
	return nil, 0, errNoEndpoint
}

// candidates returns the endpoints as candidates for a read. It returns false when there
// is nothing to choose: the group has a single endpoint, or none of them answers.
func (s *search) candidates(upstreams []*rattanupstream.Upstream, minPosition rattanmodel.Position) ([]rattanplacement.Candidate, bool) {
	if len(upstreams) < 2 {
		return nil, false
	}
	d := s.dispatcher
	record, _, _ := d.grants.Record(s.request.Route.Group)
	candidates := make([]rattanplacement.Candidate, 0, len(upstreams))
	isChoice := false
	for _, u := range upstreams {
		candidate := s.candidate(u, record.Primary, minPosition)
		isChoice = isChoice || !candidate.IsSuspect
		candidates = append(candidates, candidate)
	}
	d.outliers.weigh(upstreams, candidates, d.grants.Now())
	return candidates, isChoice
}

func (s *search) candidate(u *rattanupstream.Upstream, primary string, minPosition rattanmodel.Position) rattanplacement.Candidate {
	d := s.dispatcher
	endpoint := u.Endpoint()
	expected := d.owners.Expect(u)
	candidate := rattanplacement.Candidate{
		ID: endpoint.ID, IsLocal: d.endpoints.IsLocal(endpoint), IsPrimary: endpoint.ID == primary, IsSuspect: u.IsSuspect(),
		Path: expected.Path, Wait: expected.Load.Wait[rattanwork.PriorityIndex(s.request.Route.Priority)],
		Service: expected.Load.ServiceTime, FailureShare: expected.Load.FailureShare,
		Slots: expected.Load.Slots, FreeSlots: expected.Load.FreeSlots, Age: expected.Age, Busy: expected.Busy, Weight: 1,
		NotBefore: max(s.notBefore[endpoint.ID].Sub(d.clock.Now()), 0), IsFull: s.isFull[endpoint.ID],
	}
	if !candidate.IsPrimary {
		holds := d.endpoints.Replicas().Expect(endpoint.ID, endpoint.StartedUnixMS, d.endpoints.History(endpoint.Group), minPosition, d.grants.Now())
		candidate.HoldsIn, candidate.IsProbe = holds.In, holds.IsProbe
		candidate.IsBehind = s.wasBehind[endpoint.ID] && holds.In > attemptPause
	}
	return candidate
}

// lastResort returns the endpoint that was not tried for longest, while none of the
// group is known to answer.
func (s *search) lastResort(upstreams []*rattanupstream.Upstream) (*rattanupstream.Upstream, time.Duration, *rattanwork.Refusal) {
	next := upstreams[0]
	for _, u := range upstreams[1:] {
		if s.notBefore[u.Endpoint().ID].Before(s.notBefore[next.Endpoint().ID]) {
			next = u
		}
	}
	now := s.dispatcher.clock.Now()
	sendIn := s.notBefore[next.Endpoint().ID].Sub(now)
	if sendIn > 0 && now.Add(sendIn).After(s.request.endpointWaitDeadline()) {
		return nil, 0, errAttempts
	}
	return next, sendIn, nil
}

// refuse returns the outcome of a statement that no endpoint has run.
func (s *search) refuse(refusal *rattanwork.Refusal, minPosition rattanmodel.Position) Outcome {
	outcome := s.runner.last
	if len(s.runner.attempts) == 0 {
		outcome.MinPosition, outcome.Cause = minPosition, refusal
	}
	outcome.Result = rattanstatement.Refuse(rattanstatement.Busy,
		fmt.Sprintf("no endpoint can run the statement now; come back in %d ms", refusal.RetryAfter.Milliseconds()))
	return outcome
}

// objective returns when the request's latency objective ends, its deadline if it has
// none.
func (r Request) objective() time.Time {
	if r.Route.LatencyObjective <= 0 {
		return r.deadline()
	}
	return r.Arrived.Add(r.Route.LatencyObjective)
}
