package client

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A CallOption is an option of a single call.
type CallOption func(*callOptions)

type callOptions struct {
	route      string
	requestID  string
	idempotent bool
}

// OnRoute sends the call to a route of the service instead of its default route.
func OnRoute(route string) CallOption {
	return func(o *callOptions) { o.route = route }
}

// WithRequestID sets the identifier of a write, at most 64 characters and unique
// for the client account. The default is a random one.
func WithRequestID(id string) CallOption {
	return func(o *callOptions) { o.requestID = id }
}

// Idempotent says that running a statement twice has the effect of running it
// once, so that it is retried when its answer is lost.
func Idempotent() CallOption {
	return func(o *callOptions) { o.idempotent = true }
}

func newCallOptions(options []CallOption) callOptions {
	o := callOptions{requestID: rand.Text()}
	for _, option := range options {
		option(&o)
	}
	return o
}

// An Answer is the answer to Execute and Query.
type Answer struct {
	Result
	RequestID string
	// Endpoint is the name of the endpoint that served the call.
	Endpoint string
	// FromReplica is true when a replica served the call.
	FromReplica bool
	// Age bounds the age of a stale read's data; 0 for other calls.
	Age time.Duration
	// Repeated is true when this is the recorded outcome of an earlier attempt.
	Repeated bool
}

// A BatchAnswer is the answer to Batch.
type BatchAnswer struct {
	Results   []Result
	RequestID string
	// Repeated is true when this is the recorded outcome of an earlier attempt.
	Repeated bool
}

// Execute runs one statement, which may write, at most once. When its answer is
// lost, Execute finds the outcome before it returns. The error is an *Error; if
// its RunState is Unknown, call Outcome with its RequestID. A statement that did
// not run may be executed again, under a new identifier.
func (c *Client) Execute(ctx context.Context, service string, statement Statement, options ...CallOption) (*Answer, error) {
	o := newCallOptions(options)
	wire, err := statement.wire()
	if err != nil {
		return nil, err
	}
	request := &rattanv1.ExecuteRequest{
		Service:    service,
		Route:      o.route,
		Statement:  wire,
		RequestId:  o.requestID,
		Idempotent: o.idempotent,
	}
	first, cancel := leaveTimeForOutcome(ctx, o.idempotent)
	defer cancel()
	response, err := call(first, c, whole(rattanv1connect.CallerServiceClient.Execute, isWholeExecute(o.requestID)), request, o.idempotent)
	if err == nil {
		return answerFromWire(response), nil
	}
	results, err := c.findOutcome(ctx, service, o.requestID, err)
	if err != nil {
		return nil, err
	}
	answer := &Answer{RequestID: o.requestID, Repeated: true}
	if len(results) > 0 {
		answer.Result = results[0]
	}
	return answer, nil
}

// Query runs one statement that only reads. The error is an *Error.
func (c *Client) Query(ctx context.Context, service string, statement Statement, options ...CallOption) (*Answer, error) {
	o := newCallOptions(options)
	wire, err := statement.wire()
	if err != nil {
		return nil, err
	}
	request := &rattanv1.ExecuteRequest{Service: service, Route: o.route, Statement: wire, ReadOnly: true, Idempotent: true}
	response, err := call(ctx, c, whole(rattanv1connect.CallerServiceClient.Execute, isWholeExecute("")), request, true)
	if err != nil {
		return nil, err
	}
	return answerFromWire(response), nil
}

// Batch runs statements in one transaction, at most once. Its errors are those of
// Execute.
func (c *Client) Batch(ctx context.Context, service string, statements []Statement, options ...CallOption) (*BatchAnswer, error) {
	o := newCallOptions(options)
	wire, err := wireStatements(statements)
	if err != nil {
		return nil, err
	}
	request := &rattanv1.ExecuteBatchRequest{Service: service, Route: o.route, Statements: wire, RequestId: o.requestID}
	first, cancel := leaveTimeForOutcome(ctx, false)
	defer cancel()
	response, err := call(first, c, whole(rattanv1connect.CallerServiceClient.ExecuteBatch, isWholeBatch(o.requestID, len(wire))), request, false)
	if err == nil {
		return &BatchAnswer{
			Results:   resultsFromWire(response.GetResults()),
			RequestID: o.requestID,
			Repeated:  response.GetRepeated(),
		}, nil
	}
	results, err := c.findOutcome(ctx, service, o.requestID, err)
	if err != nil {
		return nil, err
	}
	return &BatchAnswer{Results: results, RequestID: o.requestID, Repeated: true}, nil
}

func answerFromWire(response *rattanv1.ExecuteResponse) *Answer {
	return &Answer{
		Result:      resultFromWire(response.GetResult()),
		RequestID:   response.GetRequestId(),
		Endpoint:    response.GetEndpoint(),
		FromReplica: response.GetFromReplica(),
		Age:         time.Duration(response.GetAgeMs()) * time.Millisecond,
		Repeated:    response.GetRepeated(),
	}
}

// leaveTimeForOutcome returns ctx with an earlier deadline, so that the outcome of a
// write can be found before the deadline of ctx. For a repeatable call it returns
// ctx as it is.
func leaveTimeForOutcome(ctx context.Context, repeatable bool) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || repeatable {
		return ctx, func() {}
	}
	left := time.Until(deadline)
	return context.WithDeadline(ctx, deadline.Add(-min(left/outcomeTimeDivisor, maxOutcomeTime)))
}

// findOutcome returns the results of a write that failed with err but ran, otherwise
// the final error. It never runs the write again.
func (c *Client) findOutcome(ctx context.Context, service, requestID string, err error) ([]Result, error) {
	var e *Error
	if !errors.As(err, &e) {
		return nil, err
	}
	e.RequestID = requestID
	if e.RunState == NotRun || ctx.Err() != nil {
		return nil, e
	}
	outcome, err := c.Outcome(ctx, service, requestID)
	for i := 1; err == nil && outcome.RunState == Unknown && i < c.shared.maxAttempts; i++ {
		// The outcome may be unknown because the group has no primary at present.
		if !c.wait(ctx, maxBackoff) {
			break
		}
		outcome, err = c.Outcome(ctx, service, requestID)
	}
	if err != nil {
		return nil, e
	}
	if outcome.RunState == Ran {
		return outcome.Results, nil
	}
	// When the state is NotRun, the daemon has cancelled the identifier, so the
	// retry-after of the original error does not apply.
	e.RunState = outcome.RunState
	e.RetryAfter = 0
	return nil, e
}

// An Outcome is what is known of a write.
type Outcome struct {
	// RunState is Ran, NotRun or Unknown. NotRun is final: the identifier has been
	// cancelled and the write cannot run under it any more.
	RunState RunState
	// Results are the results of the statements when RunState is Ran.
	Results []Result
}

// Outcome finds the outcome of the write with the given identifier. It cancels
// the identifier when the write has not run. The error is an *Error.
func (c *Client) Outcome(ctx context.Context, service, requestID string) (*Outcome, error) {
	request := &rattanv1.GetOutcomeRequest{Service: service, RequestId: requestID}
	response, err := call(ctx, c, rattanv1connect.CallerServiceClient.GetOutcome, request, true)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{RunState: Unknown}
	switch response.GetRunState() {
	case rattanv1.RunState_RUN_STATE_RAN:
		outcome.RunState = Ran
		outcome.Results = resultsFromWire(response.GetResults())
	case rattanv1.RunState_RUN_STATE_NOT_RUN:
		outcome.RunState = NotRun
	default:
	}
	return outcome, nil
}
