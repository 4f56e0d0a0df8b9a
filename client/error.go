package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A RunState says whether a call has had an effect.
type RunState string

// The run states.
const (
	// Unknown means that the effect is not known; Client.Outcome may find it.
	Unknown RunState = "unknown"
	// NotRun means that the call has had no effect and will have none.
	NotRun RunState = "not_run"
	// Ran means that the call has had its effect.
	Ran RunState = "ran"
)

// A Reason says why a call failed.
type Reason string

// The reasons.
const (
	Unauthenticated Reason = "unauthenticated"
	KeyWithdrawn    Reason = "key_withdrawn"
	KeyNotFresh     Reason = "key_not_fresh"
	OverRate        Reason = "over_rate"
	Overloaded      Reason = "overloaded"
	NoPrimary       Reason = "no_primary"
	Drained         Reason = "drained"
	Deadline        Reason = "deadline"
	BadRequest      Reason = "bad_request"
	TransactionLost Reason = "transaction_lost"
	ShuttingDown    Reason = "shutting_down"
	TooLarge        Reason = "too_large"
	Conflict        Reason = "conflict"
	Unavailable     Reason = "unavailable"
	EndpointFailed  Reason = "endpoint_failed"
	// Canceled means that the caller's context was cancelled.
	Canceled Reason = "canceled"
	// Unspecified means that the answer did not come from a daemon or states no reason.
	Unspecified Reason = "unspecified"
)

// An Error is the error of every call that fails.
type Error struct {
	RunState RunState
	Reason   Reason
	// RetryAfter is the time after which a retry may succeed, as the daemon states
	// it. It is 0 when a retry of the same call does not help or no time is known.
	RetryAfter time.Duration
	// Message is the daemon's explanation, or the text of the transport's error.
	Message string
	// RequestID is the identifier under which Client.Outcome finds the outcome of
	// a write; empty for other calls.
	RequestID string
	// cause is the error of the transport, nil when a daemon refused the call.
	cause error
	// refused is true when a daemon refused the call and stated the run state.
	refused bool
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("rattanstream: %s (%s, %s)", e.Message, e.Reason, e.RunState)
}

// Unwrap returns the error of the transport, such as context.DeadlineExceeded.
func (e *Error) Unwrap() error { return e.cause }

// newError converts the error of a call that was made with ctx.
func newError(ctx context.Context, err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	e := &Error{RunState: Unknown, Reason: Unspecified, Message: err.Error(), cause: err}
	if refusal, ok := refusalOf(err); ok {
		e.refused = true
		e.RunState = RunState(refusal.RunState.String())
		e.Reason = Reason(rattanerr.ReasonName(refusal.Reason))
		e.RetryAfter = refusal.RetryAfter
		e.Message = refusal.Message
		e.RequestID = refusal.RequestID
		return e
	}
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		// Without a connection the request was never sent.
		e.RunState = NotRun
		e.Reason = Unavailable
	case errors.Is(ctx.Err(), context.Canceled):
		e.Reason = Canceled
		e.cause = ctx.Err()
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		e.Reason = Deadline
		e.cause = errors.Join(context.DeadlineExceeded, err)
	case connect.CodeOf(err) == connect.CodeUnavailable:
		e.Reason = Unavailable
	}
	return e
}

// refusalOf returns the refusal that a daemon attached to err.
func refusalOf(err error) (*rattanerr.Refusal, bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil, false
	}
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refusal, ok := value.(*rattanv1.Refusal); ok {
			return rattanerr.RefusalFromWire(refusal), true
		}
	}
	return nil, false
}

// badRequest returns the error of a call that is not sent because it is invalid.
func badRequest(format string, args ...any) *Error {
	return &Error{RunState: NotRun, Reason: BadRequest, Message: fmt.Sprintf(format, args...)}
}
