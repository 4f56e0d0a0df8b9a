package rattanexecutor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// The times after which a retry of a refused request makes sense.
const (
	retryNoPrimary   = 500 * time.Millisecond
	retryUnavailable = 200 * time.Millisecond
	retryLocked      = 50 * time.Millisecond
)

// isFinal reports whether another attempt cannot change the answer.
func isFinal(err error) bool {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return refusal.Reason != rattanv1.Reason_REASON_UNAVAILABLE && refusal.Reason != rattanv1.Reason_REASON_DRAINED
	}
	fault, ok := rattanadapter.AsFault(err)
	if !ok {
		return false
	}
	switch fault.Kind {
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION:
		return true
	default:
		return false
	}
}

// isOverloaded reports whether the daemon itself refused because the request
// cannot get its turn at the endpoint in time.
func isOverloaded(err error) bool {
	refusal, ok := rattanerr.AsRefusal(err)
	return ok && refusal.Reason == rattanv1.Reason_REASON_OVERLOADED && refusal.RunState == rattanerr.NotRun
}

// refuse returns the refusal for the last error of a request. mayHaveRun says
// that an earlier attempt may have had an effect, which the last error cannot
// undo, unless the endpoint looked the request's record up before it refused.
func refuse(ctx context.Context, err error, mayHaveRun bool) *rattanerr.Refusal {
	refusal := describe(ctx, err)
	if mayHaveRun && !looksUpRecord(err) {
		refusal.RunState = rattanerr.Unknown
	}
	return refusal
}

// looksUpRecord reports whether the endpoint refused after it had looked for
// the request's record and found none with an effect.
func looksUpRecord(err error) bool {
	fault, ok := rattanadapter.AsFault(err)
	return ok && fault.Kind == rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED
}

func describe(ctx context.Context, err error) *rattanerr.Refusal {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		described := *refusal
		return &described
	}
	state := rattanadapter.RunState(err)
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &rattanerr.Refusal{RunState: state, Reason: rattanv1.Reason_REASON_DEADLINE, Message: "deadline passed: " + err.Error()}
	}
	reason, retryAfter := classify(err)
	return &rattanerr.Refusal{RunState: state, Reason: reason, RetryAfter: retryAfter, Message: err.Error()}
}

// classify returns the reason and the time to come back for an endpoint's error.
func classify(err error) (rattanv1.Reason, time.Duration) {
	var unacknowledged *rattanadapter.UnacknowledgedError
	if errors.As(err, &unacknowledged) {
		return rattanv1.Reason_REASON_NO_PRIMARY, retryNoPrimary
	}
	fault, ok := rattanadapter.AsFault(err)
	if !ok {
		return rattanv1.Reason_REASON_ENDPOINT_FAILED, retryUnavailable
	}
	switch fault.Kind {
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED:
		return rattanv1.Reason_REASON_BAD_REQUEST, 0
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED:
		return rattanv1.Reason_REASON_CONFLICT, retryLocked
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION:
		return rattanv1.Reason_REASON_TRANSACTION_LOST, 0
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_WRONG_TERM,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED:
		return rattanv1.Reason_REASON_NO_PRIMARY, retryNoPrimary
	default:
		return rattanv1.Reason_REASON_UNAVAILABLE, retryUnavailable
	}
}

func errNoPrimary(group string) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_NO_PRIMARY, retryNoPrimary, "group %s has no primary that takes writes now", group)
}

func errNoMajority(view rattanmodel.GroupView, reached int) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_NO_PRIMARY, retryNoPrimary,
		"this VM reaches %d of %d endpoints of group %s; another VM may reach a majority", reached, len(view.Endpoints), view.Group)
}

func errNoEndpoint(group string) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, retryUnavailable, "no endpoint of group %s can serve the read now", group)
}
