// Package rattanerr defines the errors that cross package borders: refusals
// with a stated effect, and the sentinel errors of the system.
package rattanerr

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A RunState says whether a refused request has had an effect.
type RunState int

// The run states. The zero RunState is Unknown, the only safe default.
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

// Wire returns s as a wire value.
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

// RunStateFromWire converts a wire value; everything unspecified is Unknown.
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
	RunState  RunState
	Reason    rattanv1.Reason
	Message   string
	RequestID string
	// RetryAfter is the time after which a retry makes sense. 0 means that a
	// retry of the same request does not help.
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

// Wire returns r as a wire message.
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

// AsRefusal returns the Refusal in err's chain.
func AsRefusal(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}
