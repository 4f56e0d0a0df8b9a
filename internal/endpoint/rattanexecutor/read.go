package rattanexecutor

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanroute"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// readPause is the wait before a read looks for candidates again. A change of the
// group's view ends it early.
const readPause = 100 * time.Millisecond

// Read runs a read on the best endpoint that can serve it, and on others when
// that fails. The error is a *rattanerr.Refusal.
func (e *Executor) Read(ctx context.Context, read rattanservice.ReadRequest) (rattanservice.Answer, error) {
	start := e.clock.Now()
	attempt := Attempt{ClientAccount: read.ClientAccount, Weight: read.Weight}
	var last error
	for {
		changed := e.views.Changed(read.Group)
		for _, candidate := range e.candidates(read) {
			answer, err := e.readFrom(ctx, attempt, read, candidate)
			if err == nil {
				return answer, nil
			}
			last = err
			if ctx.Err() != nil || isFinal(err) && !isOverloaded(err) {
				return rattanservice.Answer{}, refuse(ctx, err, false)
			}
			// A refusal by the daemon's own admission queue puts no load on the
			// endpoint, so the attempt at the next one takes no retry budget.
			if !isOverloaded(err) {
				attempt.Retry = true
				e.retries.Add(1)
			}
		}
		if last != nil && isOverloaded(last) {
			return rattanservice.Answer{}, refuse(ctx, last, false)
		}
		e.views.Refresh(read.Group)
		if last == nil {
			last = errNoEndpoint(read.Group)
		}
		if e.clock.Now().Sub(start) >= e.limits.ReadWait || !e.pause(ctx, changed, readPause) {
			return rattanservice.Answer{}, refuse(ctx, last, false)
		}
	}
}

func (e *Executor) candidates(read rattanservice.ReadRequest) []rattanroute.Candidate {
	view := e.views.View(read.Group)
	options := []rattanroute.Option{
		rattanroute.WithFailureDomain(e.failureDomain),
		rattanroute.WithSpread(e.spread.Add(1)),
		rattanroute.WithBlocked(e.blocked),
	}
	if read.MaxAge > 0 {
		options = append(options, rattanroute.WithMaxAge(read.MaxAge, e.clock.Now()))
	}
	candidates := rattanroute.ReadCandidates(view, read.MinPosition, options...)
	if e.readPrimary && len(candidates) > 0 && candidates[len(candidates)-1].Primary {
		return candidates[len(candidates)-1:]
	}
	return candidates
}

func (e *Executor) blocked(name string) bool {
	endpoint, ok := e.endpoints.Endpoint(name)
	return !ok || endpoint.Blocked()
}

func (e *Executor) readFrom(ctx context.Context, attempt Attempt, read rattanservice.ReadRequest, candidate rattanroute.Candidate) (rattanservice.Answer, error) {
	endpoint, ok := e.endpoints.Endpoint(candidate.Endpoint.Name)
	if !ok {
		return rattanservice.Answer{}, errNoEndpoint(read.Group)
	}
	request := &rattanv1.RunStatementsRequest{
		ClientAccount: read.ClientAccount,
		Statements:    []*rattanv1.Statement{read.Statement},
		ReadOnly:      true,
		MinPosition:   candidate.MinPosition.Wire(),
		MaxWaitMs:     uint32(candidate.MaxWait.Milliseconds()),
		MaxAgeMs:      uint32(candidate.MaxAge.Milliseconds()),
	}
	response, err := endpoint.Run(ctx, attempt, request)
	if err != nil {
		e.observeError(candidate.Endpoint.Name, err)
		return rattanservice.Answer{}, err
	}
	e.views.Observe(candidate.Endpoint.Name, response.GetStatus())
	return readAnswer(candidate, response), nil
}

func readAnswer(candidate rattanroute.Candidate, response *rattanv1.RunStatementsResponse) rattanservice.Answer {
	answer := rattanservice.Answer{
		Results:     response.GetResults(),
		Position:    rattanmodel.PositionFromWire(response.GetPosition()),
		Endpoint:    candidate.Endpoint.Name,
		FromReplica: response.GetStatus().GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_REPLICA,
	}
	if answer.FromReplica && response.GetStatus().GetAgeKnown() {
		answer.Age = time.Duration(response.GetStatus().GetAgeMs()) * time.Millisecond
	}
	return answer
}

// observeError records the status that an endpoint sends with a fault, if any.
func (e *Executor) observeError(endpoint string, err error) {
	if fault, ok := rattanadapter.AsFault(err); ok && fault.Status != nil {
		e.views.Observe(endpoint, fault.Status)
	}
}

// mayHaveRun reports whether the request of a failed attempt may have an effect.
func mayHaveRun(err error) bool {
	return rattanadapter.RunState(err) != rattanerr.NotRun
}
