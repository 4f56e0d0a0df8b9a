package rattanadapter

import (
	"fmt"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An UnprovenAnswerError says that an answer reports success but lacks what proves it.
// The request may have run.
type UnprovenAnswerError struct {
	// Missing is what the answer lacks.
	Missing string
}

// Error implements the error interface.
func (e *UnprovenAnswerError) Error() string { return "answer of the endpoint lacks " + e.Missing }

// proven returns nil if the answer is proven, and otherwise an *UnprovenAnswerError.
func proven(isProven bool, format string, args ...any) error {
	if isProven {
		return nil
	}
	return &UnprovenAnswerError{Missing: fmt.Sprintf(format, args...)}
}

// checkReached checks that an endpoint with status holds position in the position's own
// term and has not promised a later one.
func checkReached(status *rattanv1.EndpointStatus, position rattanmodel.Position) error {
	isReached := status.GetTerm() == position.Term &&
		status.GetPromisedTerm() <= position.Term &&
		status.GetPosition().GetIndex() >= position.Index
	return proven(isReached, "position %s", position)
}

func checkPromised(status *rattanv1.EndpointStatus, term uint64, coordinator string) error {
	isPromised := status.GetPromisedTerm() == term && status.GetPromisedBy() == coordinator
	return proven(isPromised, "the promise of term %d to %s", term, coordinator)
}

func checkPromoted(status *rattanv1.EndpointStatus, term uint64) error {
	isPrimary := status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
	return proven(isPrimary && status.GetTerm() == term, "the role of primary in term %d", term)
}

// checkOutcome checks that the outcome says whether the request ran and at which
// position its record is.
func checkOutcome(outcome *rattanv1.FindOutcomeResponse) error {
	switch outcome.GetRunState() {
	case rattanv1.RunState_RUN_STATE_RAN, rattanv1.RunState_RUN_STATE_NOT_RUN:
		return proven(outcome.GetPosition().GetIndex() > 0, "the position of the record")
	default:
		return proven(false, "the run state")
	}
}

// checkPosition checks that the answer has the position at which the record of a write
// is, or a position of a read that is not before its minimum.
func checkPosition(request *rattanv1.RunStatementsRequest, response *rattanv1.RunStatementsResponse) error {
	switch {
	case request.GetReadOnly():
		minimum := rattanmodel.PositionFromWire(request.GetMinPosition())
		return proven(response.GetPosition() != nil && holds(response, minimum), "position %s", minimum)
	case request.GetRequestId() != "":
		return proven(response.GetPosition().GetIndex() > 0, "the position of the write")
	default:
		return nil
	}
}

// holds reports whether the log that a read saw contains all acknowledged entries up to
// minimum.
func holds(response *rattanv1.RunStatementsResponse, minimum rattanmodel.Position) bool {
	position := rattanmodel.PositionFromWire(response.GetPosition())
	if position.Compare(minimum) >= 0 {
		return true
	}
	index, ok := rattanmodel.TermHistoryFromWire(response.GetStatus().GetLineage()).Resolve(minimum)
	return ok && position.Term >= minimum.Term && position.Index >= index
}
