package rattanexecutor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanroute"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// writePause is the wait before a failed write is tried again. A change of the group's
// view ends it early.
const writePause = 50 * time.Millisecond

// majorityWait is how long a write waits for a primary while this daemon reaches
// fewer than a majority of the group. It is long enough for two status calls. After it
// the write is refused, since another VM may serve it at once.
const majorityWait = 700 * time.Millisecond

// Write runs a write at most once and returns when it is acknowledged. All attempts
// carry the same request identifier. The endpoint records it, so that a second attempt
// does not run the write again. The error is a *rattanerr.Refusal.
func (e *Executor) Write(ctx context.Context, write rattanservice.WriteRequest) (rattanservice.Answer, error) {
	attempt := Attempt{ClientAccount: write.ClientAccount, Weight: write.Weight}
	uncertain := false
	for {
		changed := e.views.Changed(write.Group)
		view, err := e.awaitPrimary(ctx, write.Group)
		if err != nil {
			return rattanservice.Answer{}, refuse(ctx, err, uncertain)
		}
		answer, err := e.tryWrite(ctx, attempt, write, view)
		if err == nil {
			return answer, nil
		}
		uncertain = uncertain || mayHaveRun(err)
		if isFinal(err) || ctx.Err() != nil || e.cannotAcknowledge(write.Group, err) {
			return rattanservice.Answer{}, refuse(ctx, err, uncertain)
		}
		e.views.Refresh(write.Group)
		if !e.pause(ctx, changed, writePause) {
			return rattanservice.Answer{}, refuse(ctx, err, uncertain)
		}
		attempt.Retry = true
		e.retries.Add(1)
	}
}

// cannotAcknowledge reports whether a write was committed but not acknowledged while
// this daemon reaches less than a majority of the group. The other side of a partition
// has then probably replaced the primary; GetOutcome at another VM finds the outcome.
func (e *Executor) cannotAcknowledge(group string, err error) bool {
	var unacknowledged *rattanadapter.UnacknowledgedError
	if !errors.As(err, &unacknowledged) {
		return false
	}
	view := e.views.View(group)
	return countReachable(view) < view.Majority()
}

// awaitPrimary returns the group's view as soon as it has a primary that accepts
// writes.
func (e *Executor) awaitPrimary(ctx context.Context, group string) (rattanmodel.GroupView, error) {
	start := e.clock.Now()
	isCounted := false
	for {
		changed := e.views.Changed(group)
		view := e.views.View(group)
		if _, ok := rattanroute.WriteTarget(view); ok {
			return view, nil
		}
		if !isCounted {
			isCounted = true
			defer e.waitingWrites.Add(-1)
			if e.waitingWrites.Add(1) > e.limits.WaitingWrites {
				return view, errNoPrimary(group)
			}
		}
		e.views.Refresh(group)
		waited := e.clock.Now().Sub(start)
		if reached := countReachable(view); reached < view.Majority() && waited >= majorityWait {
			return view, errNoMajority(view, reached)
		}
		if waited >= e.limits.PrimaryWait || !e.pause(ctx, changed, writePause) {
			return view, errNoPrimary(group)
		}
	}
}

func countReachable(view rattanmodel.GroupView) int {
	count := 0
	for _, endpoint := range view.Endpoints {
		if endpoint.Reachable {
			count++
		}
	}
	return count
}

func (e *Executor) tryWrite(ctx context.Context, attempt Attempt, write rattanservice.WriteRequest, view rattanmodel.GroupView) (rattanservice.Answer, error) {
	endpoint, ok := e.endpoints.Endpoint(view.Primary)
	if !ok {
		return rattanservice.Answer{}, errNoPrimary(write.Group)
	}
	request := &rattanv1.RunStatementsRequest{
		ClientAccount: write.ClientAccount,
		RequestId:     write.RequestID,
		Statements:    write.Statements,
		Term:          view.Term,
	}
	response, err := endpoint.Run(ctx, attempt, request)
	if err != nil {
		e.observeError(view.Primary, err)
		return rattanservice.Answer{}, err
	}
	e.views.Observe(view.Primary, response.GetStatus())
	position := rattanmodel.PositionFromWire(response.GetPosition())
	if write.AcknowledgeMajority {
		if err := e.acknowledge(ctx, view, position, response.GetStatus()); err != nil {
			return rattanservice.Answer{}, err
		}
	}
	return rattanservice.Answer{
		Results:  response.GetResults(),
		Position: position,
		Endpoint: view.Primary,
		Repeated: response.GetRepeated(),
	}, nil
}

// acknowledge returns when a majority of the group holds position in the primary's own
// term. An entry of an earlier term counts as held only together with the first entry
// of the current term. Before that, a promotion may still choose a log that ends in a
// later term and lacks the entry.
func (e *Executor) acknowledge(ctx context.Context, view rattanmodel.GroupView, position rattanmodel.Position, primary *rattanv1.EndpointStatus) error {
	neededReplicas := view.Majority() - 1
	required := rattanmodel.Position{Term: view.Term, Index: position.Index}
	if position.Term < view.Term {
		required.Index = max(required.Index, termStart(primary, view.Term))
	}
	replicas := make([]rattanadapter.PositionWaiter, 0, len(view.Endpoints))
	for _, other := range view.Endpoints {
		if other.Name == view.Primary {
			continue
		}
		if endpoint, ok := e.endpoints.Endpoint(other.Name); ok {
			replicas = append(replicas, endpoint)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, e.limits.AcknowledgeWait)
	defer cancel()
	return rattanadapter.Acknowledge(ctx, required, neededReplicas, replicas)
}

// termStart returns the index of the first entry of term, or 0 if the status does not
// have the term.
func termStart(status *rattanv1.EndpointStatus, term uint64) uint64 {
	for _, start := range status.GetLineage() {
		if start.GetTerm() == term {
			return start.GetStartIndex()
		}
	}
	return 0
}

// FindOutcome finds whether the request with an identifier has run. When the primary
// has no record of the identifier, it cancels it, so that the request cannot run
// later. Either answer is returned only once a majority holds its record. The error is
// a *rattanerr.Refusal with the run state unknown.
func (e *Executor) FindOutcome(ctx context.Context, group, clientAccount, requestID string) (rattanservice.Outcome, error) {
	for {
		changed := e.views.Changed(group)
		view, err := e.awaitPrimary(ctx, group)
		if err != nil {
			return rattanservice.Outcome{}, refuse(ctx, err, true)
		}
		outcome, err := e.tryFindOutcome(ctx, view, clientAccount, requestID)
		if err == nil {
			return outcome, nil
		}
		e.views.Refresh(group)
		if ctx.Err() != nil || !e.pause(ctx, changed, writePause) {
			return rattanservice.Outcome{}, refuse(ctx, err, true)
		}
	}
}

func (e *Executor) tryFindOutcome(ctx context.Context, view rattanmodel.GroupView, clientAccount, requestID string) (rattanservice.Outcome, error) {
	endpoint, ok := e.endpoints.Endpoint(view.Primary)
	if !ok {
		return rattanservice.Outcome{}, errNoPrimary(view.Group)
	}
	request := &rattanv1.FindOutcomeRequest{ClientAccount: clientAccount, RequestId: requestID, Term: view.Term}
	attempt, cancel := context.WithTimeout(ctx, e.limits.AcknowledgeWait)
	defer cancel()
	response, err := endpoint.FindOutcome(attempt, request)
	if err != nil {
		e.observeError(view.Primary, err)
		return rattanservice.Outcome{}, err
	}
	position := rattanmodel.PositionFromWire(response.GetPosition())
	status := &rattanv1.EndpointStatus{Lineage: view.TermHistory.Wire()}
	if err := e.acknowledge(ctx, view, position, status); err != nil {
		return rattanservice.Outcome{}, err
	}
	return rattanservice.Outcome{State: response.GetRunState(), Results: response.GetResults(), Position: position}, nil
}

// outcomeRefusal returns the refusal of a commit that is known not to have run.
func outcomeRefusal(requestID string, cause error) error {
	return &rattanerr.Refusal{
		RunState:  rattanerr.NotRun,
		Reason:    rattanv1.Reason_REASON_TRANSACTION_LOST,
		RequestID: requestID,
		Message:   "transaction was rolled back: " + cause.Error(),
	}
}
