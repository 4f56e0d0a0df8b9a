// Package rattandispatch runs statements at endpoints: it chooses the endpoint,
// retries what has certainly not run or may run again, and says truthfully what
// became of the rest.
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
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

const (
	// retryPause separates two rounds over the endpoints of a group.
	retryPause = 20 * time.Millisecond
	// silenceTimeout is after how long without an answer a statement of a
	// transaction is given up: well above the time of a statement.
	silenceTimeout = 300 * time.Millisecond
	// hopelessShare is the part of the latency objective for which a request may
	// wait while no endpoint can run it; the caller can do better elsewhere.
	hopelessShare = 4
)

// Endpoints gives the upstreams of a group that may get new work.
type Endpoints interface {
	// Upstreams returns the usable endpoints of a group.
	Upstreams(group string) []*rattanupstream.Upstream
	// Upstream returns an endpoint by id, also one that is leaving.
	Upstream(id string) (*rattanupstream.Upstream, bool)
	// IsLocal reports whether an endpoint is in the daemon's failure domain.
	IsLocal(endpoint rattancatalog.Endpoint) bool
	// History returns the positions of a group's primary.
	History(group string) *rattanfreshness.History
}

// Owners runs statements through the daemons that keep the endpoints'
// connections. The errors are those of the same methods of rattanupstream.Upstream.
type Owners interface {
	Read(upstream *rattanupstream.Upstream, task rattanupstream.StatementRequest) (rattanstatement.Result, error)
	Write(upstream *rattanupstream.Upstream, task rattanupstream.StatementRequest) (rattanstatement.Result, error)
	Begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error)
}

// A Request is what a statement needs beside its text.
type Request struct {
	Route rattancatalog.Route
	// Account is the client account, empty on routes open to all.
	Account string
	// SessionVars are the session values.
	SessionVars map[string]string
	// SessionPosition is the last position that the session has seen.
	SessionPosition rattanmodel.Position
	// Arrived is when the statement was received.
	Arrived time.Time
}

func (j Request) deadline() time.Time { return j.Arrived.Add(j.Route.Timeout) }

// claim returns the job's request for a connection.
func (j Request) claim() rattanupstream.AcquireRequest {
	return rattanupstream.AcquireRequest{
		Account: j.Account, Priority: j.Route.Priority,
		Objective: j.Arrived.Add(j.Route.LatencyObjective), Deadline: j.deadline(),
	}
}

// hopeless is until when a request may wait for an endpoint that can run it.
func (j Request) hopeless() time.Time {
	return j.Arrived.Add(min(j.Route.LatencyObjective/hopelessShare, j.Route.Timeout))
}

// An Outcome is the result of a statement with what decided it, for the log.
type Outcome struct {
	rattanstatement.Result
	// Endpoint is the id of the last endpoint that was asked, empty for none.
	Endpoint string
	// Attempts lists what the endpoints that were asked did, in order.
	Attempts Attempts
	// MinPosition is the position that the endpoint had to hold.
	MinPosition rattanmodel.Position
	// Cause says what the last failed attempt met.
	Cause error
}

// maxAttempts bounds the attempts that are kept for the log.
const maxAttempts = 8

// An Attempt is one try of a statement at an endpoint.
type Attempt struct {
	Endpoint string
	Code     rattanstatement.Code
	Cause    error
	Took     time.Duration
}

// A Attempts is the attempts of one statement.
type Attempts []Attempt

// add appends what one attempt at an endpoint did.
func (t *Attempts) add(outcome Outcome, took time.Duration) {
	if len(*t) < maxAttempts {
		*t = append(*t, Attempt{Endpoint: outcome.Endpoint, Code: outcome.Code, Cause: outcome.Cause, Took: took})
	}
}

// String returns the attempts in one line: endpoint, outcome and milliseconds.
func (t Attempts) String() string {
	var b strings.Builder
	for i, attempt := range t {
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

func refused(code rattanstatement.Code, detail string, cause error) Outcome {
	return Outcome{Result: rattanstatement.Refuse(code, detail), Cause: cause}
}

// A Dispatcher runs statements. It is safe for concurrent use.
type Dispatcher struct {
	clock     rattanclock.Clock
	endpoints Endpoints
	owners    Owners
	grants    *rattangrant.Grants
	switches  *rattangrant.SwitchoverEstimator
}

// New returns a Dispatcher.
func New(clock rattanclock.Clock, endpoints Endpoints, owners Owners, grants *rattangrant.Grants, switches *rattangrant.SwitchoverEstimator) *Dispatcher {
	return &Dispatcher{clock: clock, endpoints: endpoints, owners: owners, grants: grants, switches: switches}
}

// RunAutocommit runs a statement outside a transaction.
func (d *Dispatcher) RunAutocommit(request Request, work rattanstatemachine.Operation) Outcome {
	if work.IsWrite {
		return d.write(request, work)
	}
	if request.Route.Consistency == rattancatalog.Primary {
		return d.readPrimary(request, work)
	}
	return d.read(request, work)
}

// task returns the job's statement for an endpoint.
func (j Request) task(work rattanstatemachine.Operation, floor rattanmodel.Position) rattanupstream.StatementRequest {
	task := rattanupstream.StatementRequest{
		AcquireRequest: j.claim(),
		SessionVars:    j.SessionVars,
		StatementID:    work.Statement.ID,
		Text:           work.Statement.Text,
		IsWrite:        work.IsWrite,
		MinPosition:    floor,
	}
	if work.Prepared != nil {
		task.Text, task.Prepared, task.Argument = "", *work.Prepared, work.Statement.Argument
	}
	return task
}

// patience is until when a request waits for a primary: to its deadline when the
// switch under way is expected to end before, not at all when it is not.
func (d *Dispatcher) patience(request Request) time.Time {
	end, ok := d.switches.ExpectedEnd(request.Route.Group)
	switch {
	case !ok:
		return request.hopeless()
	case end.Before(request.deadline()):
		return request.deadline()
	default:
		return request.Arrived
	}
}

// errNoPrimary says that the daemon holds no grant for the group's primary.
var errNoPrimary = errors.New("no primary is known to lead the group now")

// primary returns the upstream that the daemon may send primary work to. While
// there is none it waits as long as that may still help the request.
func (d *Dispatcher) primary(request Request) (*rattanupstream.Upstream, error) {
	group := request.Route.Group
	for {
		changed := d.grants.Changed()
		id, ok := d.grants.Primary(group)
		if ok {
			if upstream, known := d.endpoints.Upstream(id); known {
				return upstream, nil
			}
		}
		now := d.clock.Now()
		until := d.patience(request)
		if !now.Before(until) {
			return nil, errNoPrimary
		}
		select {
		case <-changed:
		case <-d.clock.After(min(until.Sub(now), retryPause)):
		}
	}
}
