// Package rattanerr defines Refusal, the error with which all packages answer a request
// that is not served. It states why, and whether the request has run.
package rattanerr

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A RunState says whether a refused request has run, and so may have had an effect.
type RunState int

// The run states. The zero RunState is Unknown, because it is the only one that
// holds without knowing what happened to the request.
const (
	Unknown RunState = iota
	NotRun
	Ran
)

// String returns the snake case name of s.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Wire converts s to its wire value.
func (s RunState) Wire() rattanv1.RunState {
	switch s {
	case NotRun:
		return rattanv1.RunState_RUN_STATE_NOT_RUN
	case Ran:
		return rattanv1.RunState_RUN_STATE_RAN
	default:
		return rattanv1.RunState_RUN_STATE_UNKNOWN
	}
}

// RunStateFromWire converts a wire value. Unspecified and unrecognized values become
// Unknown.
func RunStateFromWire(s rattanv1.RunState) RunState {
	switch s {
	case rattanv1.RunState_RUN_STATE_NOT_RUN:
		return NotRun
	case rattanv1.RunState_RUN_STATE_RAN:
		return Ran
	default:
		return Unknown
	}
}

// A Refusal is the final answer to a request that is not served.
type Refusal struct {
	RunState RunState
	Reason   rattanv1.Reason
	Message  string
	// RequestID is the identifier with which the caller can look up the outcome
	// of a write. It is empty when the request has none.
	RequestID string
	// RetryAfter is the time to wait before retrying the same request. 0 means
	// that a retry of the same request does not help.
	RetryAfter time.Duration
}

// NewNotRun returns a Refusal of a request that has not run and will not run.
func NewNotRun(reason rattanv1.Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{RunState: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a Refusal of a request that may have run.
func NewUnknown(reason rattanv1.Reason, requestID, format string, args ...any) *Refusal {
	return &Refusal{RunState: Unknown, Reason: reason, RequestID: requestID, Message: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s, %s)", r.Message, ReasonName(r.Reason), r.RunState)
}

// Wire converts r to its wire message.
func (r *Refusal) Wire() *rattanv1.Refusal {
	return &rattanv1.Refusal{
		RunState:     r.RunState.Wire(),
		Reason:       r.Reason,
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
		Message:      r.Message,
		RequestId:    r.RequestID,
	}
}

// RefusalFromWire converts a wire message.
func RefusalFromWire(r *rattanv1.Refusal) *Refusal {
	return &Refusal{
		RunState:   RunStateFromWire(r.GetRunState()),
		Reason:     r.GetReason(),
		Message:    r.GetMessage(),
		RequestID:  r.GetRequestId(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// AsRefusal returns the first Refusal in the chain of err and whether there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}
