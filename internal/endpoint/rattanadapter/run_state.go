package rattanadapter

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// RunState returns NotRun when err proves that the request has not run and will not
// run later, and Unknown otherwise. The state of a *rattanerr.Refusal is its own.
func RunState(err error) rattanerr.RunState {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return refusal.RunState
	}
	var unacknowledged *UnacknowledgedError
	if errors.As(err, &unacknowledged) {
		return rattanerr.Unknown
	}
	if isNotSent(err) || isRefusedByEndpoint(err) {
		return rattanerr.NotRun
	}
	return rattanerr.Unknown
}

func isNotSent(err error) bool {
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

func isRefusedByEndpoint(err error) bool {
	if fault, ok := AsFault(err); ok {
		return hasNoEffect(fault.Kind) || isRefusalCode(fault.Code)
	}
	// Only an error that the endpoint itself sent counts. The client library reports a
	// response that is too large with the code RESOURCE_EXHAUSTED as well, and the
	// statement of that response has run.
	return connect.IsWireError(err) && isRefusalCode(connect.CodeOf(err))
}

// isRefusalCode reports whether code means that the endpoint has no connection free or
// does not know the connection.
func isRefusalCode(code connect.Code) bool {
	return code == connect.CodeResourceExhausted || code == connect.CodeNotFound
}

// hasNoEffect reports whether a request has had no effect after a fault of this kind,
// since the endpoint detects the fault before it runs a statement, or rolls the
// statements back.
func hasNoEffect(kind rattanv1.EndpointFaultKind) bool {
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
