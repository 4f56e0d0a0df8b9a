package rattanendpoint

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var (
	errTimeout      = errors.New("timeout")
	errDown         = connect.NewError(connect.CodeUnavailable, errors.New("instance is down"))
	errResponseLost = connect.NewError(connect.CodeUnavailable, errors.New("response dropped by an injected fault"))
)

// endpointFaultLocked returns a FAILED_PRECONDITION error with an EndpointFault as
// its detail. The caller holds mu.
func (i *Instance) endpointFaultLocked(kind rattanv1.EndpointFaultKind, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	failure := connect.NewError(connect.CodeFailedPrecondition, errors.New(message))
	detail, err := connect.NewErrorDetail(&rattanv1.EndpointFault{Kind: kind, Status: i.status(), Message: message})
	if err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// endpointFault is endpointFaultLocked for a caller that does not hold mu.
func (i *Instance) endpointFault(kind rattanv1.EndpointFaultKind, format string, args ...any) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.endpointFaultLocked(kind, format, args...)
}
