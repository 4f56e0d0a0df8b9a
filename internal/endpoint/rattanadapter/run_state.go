package rattanadapter

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// RunState returns NotRun when err proves that the request has not run and will
// not run, and otherwise Unknown. A *rattanerr.Refusal keeps its own state.
func RunState(err error) rattanerr.RunState {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return refusal.RunState
	}
	var unacknowledged *UnacknowledgedError
	if errors.As(err, &unacknowledged) {
		return rattanerr.Unknown
	}
	if notSent(err) || refusedByEndpoint(err) {
		return rattanerr.NotRun
	}
	return rattanerr.Unknown
}

func notSent(err error) bool {
	if errors.Is(err, ErrBusy) || errors.Is(err, ErrClosed) {
		return true
	}
	var marked *notSentError
	if errors.As(err, &marked) {
		return true
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func refusedByEndpoint(err error) bool {
	if fault, ok := AsFault(err); ok {
		return nothingRan(fault.Kind) || refusedByCode(fault.Code)
	}
	// Only an error that the endpoint itself sent counts: a response that is too
	// large has the code RESOURCE_EXHAUSTED too, and its statement has run.
	return connect.IsWireError(err) && refusedByCode(connect.CodeOf(err))
}

// refusedByCode reports whether the endpoint uses code for a missing connection.
func refusedByCode(code connect.Code) bool {
	return code == connect.CodeResourceExhausted || code == connect.CodeNotFound
}

// nothingRan reports whether the endpoint checks for the fault before it runs
// anything, or rolls back what it ran.
func nothingRan(kind rattanv1.EndpointFaultKind) bool {
	switch kind {
	case rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_WRONG_TERM,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_TRANSACTION,
		rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED:
		return true
	default:
		return false
	}
}
