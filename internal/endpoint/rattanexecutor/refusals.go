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

// The times after which a caller should retry a refused request.
const (
	noPrimaryRetryAfter   = 500 * time.Millisecond
	unavailableRetryAfter = 200 * time.Millisecond
	lockedRetryAfter      = 50 * time.Millisecond
)

// isFinal reports whether another attempt would get the same answer.
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

// isOverloaded reports whether the daemon itself refused the request because its
// admission queue or retry budget leaves no room for it.
func isOverloaded(err error) bool {
	refusal, ok := rattanerr.AsRefusal(err)
	return ok && refusal.Reason == rattanv1.Reason_REASON_OVERLOADED && refusal.RunState == rattanerr.NotRun
}

// refuse returns the refusal for the last error of a request. mayHaveRun says that an
// earlier attempt may have had an effect. The run state is then unknown whatever the
// last error says, unless the endpoint looked up the request's record before it
// refused.
func refuse(ctx context.Context, err error, mayHaveRun bool) *rattanerr.Refusal {
	refusal := refusalFor(ctx, err)
	if mayHaveRun && !lookedUpRecord(err) {
		refusal.RunState = rattanerr.Unknown
	}
	return refusal
}

// lookedUpRecord reports whether the endpoint refused after it had looked for
// the request's record and found none with an effect.
func lookedUpRecord(err error) bool {
	fault, ok := rattanadapter.AsFault(err)
	return ok && fault.Kind == rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED
}

// refusalFor returns the refusal that describes err, without regard to earlier
// attempts.
func refusalFor(ctx context.Context, err error) *rattanerr.Refusal {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		duplicate := *refusal
		return &duplicate
	}
	state := rattanadapter.RunState(err)
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &rattanerr.Refusal{RunState: state, Reason: rattanv1.Reason_REASON_DEADLINE, Message: "deadline passed: " + err.Error()}
	}
	reason, retryAfter := classify(err)
	return &rattanerr.Refusal{RunState: state, Reason: reason, RetryAfter: retryAfter, Message: err.Error()}
}

// classify returns the reason and the retry time of the refusal for an endpoint's
// error.
func classify(err error) (rattanv1.Reason, time.Duration) {
	var unacknowledged *rattanadapter.UnacknowledgedError
	if errors.As(err, &unacknowledged) {
		return rattanv1.Reason_REASON_NO_PRIMARY, noPrimaryRetryAfter
	}
	fault, ok := rattanadapter.AsFault(err)
	if !ok {
		return rattanv1.Reason_REASON_ENDPOINT_FAILED, unavailableRetryAfter
	}
	switch fault.Kind {
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED:
		return rattanv1.Reason_REASON_BAD_REQUEST, 0
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED:
		return rattanv1.Reason_REASON_CONFLICT, lockedRetryAfter
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION:
		return rattanv1.Reason_REASON_TRANSACTION_LOST, 0
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_WRONG_TERM,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED:
		return rattanv1.Reason_REASON_NO_PRIMARY, noPrimaryRetryAfter
	default:
		return rattanv1.Reason_REASON_UNAVAILABLE, unavailableRetryAfter
	}
}

func errNoPrimary(group string) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_NO_PRIMARY, noPrimaryRetryAfter, "group %s has no primary that accepts writes now", group)
}

func errNoMajority(view rattanmodel.GroupView, reachable int) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_NO_PRIMARY, noPrimaryRetryAfter,
		"this VM reaches %d of %d endpoints of group %s; another VM may reach a majority", reachable, len(view.Endpoints), view.Group)
}

func errNoEndpoint(group string) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, unavailableRetryAfter, "no endpoint of group %s can serve the read now", group)
}
