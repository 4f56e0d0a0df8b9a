package rattanload

import (
	"context"
	"net"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Reasons of requests that were not served although no daemon refused them.
const (
	reasonNotConnected  = "not_connected"
	reasonAnswerLost    = "answer_lost"
	reasonNoAnswer      = "no_answer_in_time"
	reasonGeneratorFull = "generator_full"
)

// An outcome says why a request was not served and whether it ran.
type outcome struct {
	reason       string
	runState     rattanerr.RunState
	retryAfterMs uint32
	message      string
}

// newOutcome returns the outcome of a call that failed with err.
func newOutcome(err error) outcome {
	message := err.Error()
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		for _, detail := range connectErr.Details() {
			value, err := detail.Value()
			if err != nil {
				continue
			}
			if refusal, ok := value.(*rattanv1.Refusal); ok {
				return outcome{reasonName(refusal.GetReason()), rattanerr.RunStateFromWire(refusal.GetRunState()), refusal.GetRetryAfterMs(), refusal.GetMessage()}
			}
		}
	}
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return outcome{reason: reasonNotConnected, runState: rattanerr.NotRun, message: message}
	case errors.Is(err, context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return outcome{reason: reasonNoAnswer, message: message}
	default:
		return outcome{reason: reasonAnswerLost, message: message}
	}
}

// reasonName returns the snake case name of a reason.
func reasonName(reason rattanv1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
