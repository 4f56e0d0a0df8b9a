package rattanendpoint

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var (
	errTimeout = errors.New("timeout")
	errKilled  = connect.NewError(connect.CodeUnavailable, errors.New("instance is down"))
	errLost    = connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
)

// fault returns a FAILED_PRECONDITION error with an EndpointFault. The caller
// holds mu.
func (i *Instance) fault(kind rattanv1.EndpointFaultKind, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	failure := connect.NewError(connect.CodeFailedPrecondition, errors.New(message))
	detail, err := connect.NewErrorDetail(&rattanv1.EndpointFault{Kind: kind, Status: i.status(), Message: message})
	if err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// lockedFault is fault for a caller that does not hold mu.
func (i *Instance) lockedFault(kind rattanv1.EndpointFaultKind, format string, args ...any) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault(kind, format, args...)
}
