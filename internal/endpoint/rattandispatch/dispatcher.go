// Package rattandispatch runs statements at endpoints. It chooses the endpoint and
// retries statements that have certainly not run or that are safe to run again. For
// the others it reports whether they ran, did not run or are in doubt.
package rattandispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfreshness"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// retryPause is the wait between two rounds of attempts at the endpoints of a
	// group.
	retryPause = 20 * time.Millisecond
	// The wait for the answer to a statement of a transaction is limited to answerTimeout,
	// or to the latency objective divided by answerWaitDivisor if that is longer. Both are
	// well above the run time of a statement.
	answerTimeout     = 300 * time.Millisecond
	answerWaitDivisor = 2
	// While no endpoint can run a request, it waits at most for its latency objective
	// divided by endpointWaitDivisor. It is then refused, so that the caller can still
	// try another daemon in time.
	endpointWaitDivisor = 4
)

// Endpoints provides the upstreams and the position history of a group.
type Endpoints interface {
	// Upstreams returns the endpoints of a group that may get new statements.
	Upstreams(group string) []*rattanupstream.Upstream
	// Upstream returns an endpoint by id, also one that is leaving.
	Upstream(id string) (*rattanupstream.Upstream, bool)
	// IsLocal reports whether an endpoint is in the daemon's failure domain.
	IsLocal(endpoint rattancatalog.Endpoint) bool
	// History returns the positions of a group's primary.
	History(group string) *rattanfreshness.History
	// Replicas returns the positions that endpoints are known to hold.
	Replicas() *rattanfreshness.Replicas
}

// Owners runs statements through the connection owners of the endpoints. The errors
// are those of the same methods of rattanupstream.Upstream.
type Owners interface {
	Read(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error)
	Write(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error)
	Begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error)
	// Expect returns what a new statement is expected to find at an endpoint.
	Expect(upstream *rattanupstream.Upstream) Expectation
}

// An Expectation is what a new statement is expected to find at an endpoint.
type Expectation struct {
	// Load is zero when nothing is known of it. Age is the time since it was reported, and
	// Busy the mean share of busy slots in the time before.
	Load rattanwork.Load
	Age  time.Duration
	Busy float64
	// Path is the round trip to the daemon that owns the connections.
	Path time.Duration
}

// A Request is the context in which a statement runs: its route, session and
// arrival time.
type Request struct {
	Route rattancatalog.Route
	// Account is the client account, empty on routes open to all.
	Account string
	// SessionVars are the session variables.
	SessionVars map[string]string
	// SessionPosition is the last position that the session has observed.
	SessionPosition rattanmodel.Position
	// Arrived is when the statement was received.
	Arrived time.Time
	// AnswerBy is when the statement must have its answer although the route's timeout is
	// later; the zero time sets no limit.
	AnswerBy time.Time
}

func (r Request) deadline() time.Time { return r.limit(r.Arrived.Add(r.Route.Timeout)) }

// limit returns a time, or AnswerBy if that is earlier.
func (r Request) limit(t time.Time) time.Time {
	if !r.AnswerBy.IsZero() && t.After(r.AnswerBy) {
		return r.AnswerBy
	}
	return t
}

// acquireRequest returns the request, made now, for a connection to run the statement on.
func (r Request) acquireRequest(operation rattanwork.Operation, now time.Time) rattanupstream.AcquireRequest {
	return rattanupstream.AcquireRequest{
		Account: r.Account, Kind: rattanwork.Kind{Route: r.Route.Name, Operation: operation}, Priority: r.Route.Priority,
		Objective: r.Arrived.Add(r.Route.LatencyObjective), Deadline: r.deadline(), Waited: now.Sub(r.Arrived),
	}
}

// endpointWaitDeadline returns until when the request may wait while no endpoint
// can run it.
func (r Request) endpointWaitDeadline() time.Time {
	return r.limit(r.Arrived.Add(min(r.Route.LatencyObjective/endpointWaitDivisor, r.Route.Timeout)))
}

// An Outcome is the result of a statement, with the attempts that led to it for the
// log.
type Outcome struct {
	rattanstatement.Result
	// Endpoint is the id of the endpoint of the last attempt, empty if there was no
	// attempt.
	Endpoint string
	// Attempts lists the attempts in order.
	Attempts Attempts
	// MinPosition is the position that the endpoint had to hold, zero for none.
	MinPosition rattanmodel.Position
	// Cause is the error of the last attempt that failed.
	Cause error
	// MayHaveRun is false when certainly no endpoint has run the statement.
	MayHaveRun bool
}

// mayHaveRun reports whether the endpoint of one attempt may have run the statement.
func (o Outcome) mayHaveRun() bool {
	if o.Cause != nil {
		return errors.Is(o.Cause, rattanupstream.ErrTimeout)
	}
	return !o.Code.NotRun()
}

// maxAttempts bounds the attempts that an Outcome lists for the log.
const maxAttempts = 8

// An Attempt is one try of a statement at an endpoint.
type Attempt struct {
	Endpoint string
	Code     rattanstatement.Code
	Cause    error
	Took     time.Duration
}

// Attempts are the attempts of one statement.
type Attempts []Attempt

// add appends an attempt with the given outcome.
func (a *Attempts) add(outcome Outcome, took time.Duration) {
	if len(*a) < maxAttempts {
		*a = append(*a, Attempt{Endpoint: outcome.Endpoint, Code: outcome.Code, Cause: outcome.Cause, Took: took})
	}
}

// String returns the attempts in one line, each as endpoint=outcome/milliseconds.
func (a Attempts) String() string {
	var b strings.Builder
	for i, attempt := range a {
		if i > 0 {
			b.WriteByte(' ')
		}
		outcome := attempt.Code.String()
		if attempt.Cause != nil {
			outcome = strings.ReplaceAll(attempt.Cause.Error(), " ", "_")
		}
		fmt.Fprintf(&b, "%s=%s/%d", attempt.Endpoint, outcome, attempt.Took.Milliseconds())
	}
	return b.String()
}

// A Dispatcher runs statements. It is safe for concurrent use.
type Dispatcher struct {
	clock       rattanclock.Clock
	endpoints   Endpoints
	owners      Owners
	grants      *rattangrant.Grants
	switchovers *rattangrant.SwitchoverEstimator
	placer      *rattanplacement.Placer
	outliers    outliers
}

// New returns a Dispatcher. OnOutlier is called when an endpoint has become an outlier
// of its group or is none any more.
func New(clock rattanclock.Clock, endpoints Endpoints, owners Owners, grants *rattangrant.Grants, switchovers *rattangrant.SwitchoverEstimator, placer *rattanplacement.Placer, onOutlier func(rattanoutlier.Change)) *Dispatcher {
	return &Dispatcher{
		clock: clock, endpoints: endpoints, owners: owners, grants: grants, switchovers: switchovers, placer: placer,
		outliers: outliers{detector: rattanoutlier.New(), onChange: onOutlier},
	}
}

// OutlierWeight returns the share of its reads that an endpoint gets, 1 unless it is an
// outlier of its group.
func (d *Dispatcher) OutlierWeight(id string) float64 {
	d.outliers.mu.Lock()
	defer d.outliers.mu.Unlock()
	return d.outliers.detector.Weight(id)
}

// RunAutocommit runs a statement outside a transaction.
func (d *Dispatcher) RunAutocommit(request Request, operation rattanstatemachine.Operation) Outcome {
	if operation.IsWrite {
		return d.write(request, operation)
	}
	if request.Route.Consistency == rattancatalog.Primary {
		return d.readPrimary(request, operation)
	}
	return d.read(request, operation)
}

// statementRequest returns the operation's statement as a request, made now, to an endpoint.
func (r Request) statementRequest(operation rattanstatemachine.Operation, minPosition rattanmodel.Position, now time.Time) rattanupstream.StatementRequest {
	kind := rattanwork.Read
	if operation.IsWrite {
		kind = rattanwork.Write
	}
	statement := rattanupstream.StatementRequest{
		AcquireRequest: r.acquireRequest(kind, now),
		SessionVars:    r.SessionVars,
		StatementID:    operation.Statement.ID,
		Text:           operation.Statement.Text,
		IsWrite:        operation.IsWrite,
		IsCommit:       operation.Statement.Kind == rattanstatement.Commit,
		MinPosition:    minPosition,
	}
	if operation.Prepared != nil {
		statement.Text, statement.Prepared, statement.Argument = "", *operation.Prepared, operation.Statement.Argument
	}
	return statement
}

// primaryWaitDeadline returns until when a request waits for a primary. During a
// switchover that is expected to end before the request's deadline, it is that
// deadline. During one that is expected to end later, or that waits for endpoints, the
// request does not wait.
func (d *Dispatcher) primaryWaitDeadline(request Request) time.Time {
	if d.switchovers.IsAwaiting(request.Route.Group) {
		return request.Arrived
	}
	end, ok := d.switchovers.ExpectedEnd(request.Route.Group)
	switch {
	case !ok:
		return request.endpointWaitDeadline()
	case end.Before(request.deadline()):
		return request.deadline()
	default:
		return request.Arrived
	}
}

// errNoPrimary says that the daemon holds no grant for the group's primary, or that
// the granted primary is not among the known endpoints.
var errNoPrimary = errors.New("no primary of the group can be used now")

// primary returns the upstream of the primary for which the daemon holds a grant.
// While there is none it waits until the request's primaryWaitDeadline. A primary that
// gets no new statements because it goes out of service is reported at once: nothing
// can replace it, or a switchover would have begun long before.
func (d *Dispatcher) primary(request Request) (*rattanupstream.Upstream, error) {
	group := request.Route.Group
	for {
		changed := d.grants.Changed()
		id, ok := d.grants.Primary(group)
		if ok {
			upstream, known := d.endpoints.Upstream(id)
			if known && !upstream.AcceptsNewStatements() {
				return nil, rattanupstream.ErrLeaving
			}
			if known {
				return upstream, nil
			}
		}
		now := d.clock.Now()
		until := d.primaryWaitDeadline(request)
		if !now.Before(until) {
			return nil, errNoPrimary
		}
		select {
		case <-changed:
		case <-d.clock.After(min(until.Sub(now), retryPause)):
		}
	}
}
