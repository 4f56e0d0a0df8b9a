package rattanadapter

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Fault is the refusal of a request by an endpoint. It is decoded from the
// EndpointFault detail of a Connect error.
type Fault struct {
	Kind rattanv1.EndpointFaultKind
	// Status is the endpoint's own status when it refused; nil if it sent none.
	Status  *rattanv1.EndpointStatus
	Message string
	Code    connect.Code
}

// Error implements the error interface.
func (f *Fault) Error() string {
	kind := strings.TrimPrefix(f.Kind.String(), "ENDPOINT_FAULT_KIND_")
	return fmt.Sprintf("endpoint fault %s: %s", strings.ToLower(kind), f.Message)
}

// AsFault returns the Fault in err's chain.
func AsFault(err error) (*Fault, bool) {
	var fault *Fault
	ok := errors.As(err, &fault)
	return fault, ok
}

func faultFromConnect(err error) (*Fault, bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil, false
	}
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if wire, ok := value.(*rattanv1.EndpointFault); ok {
			return &Fault{
				Kind:    wire.GetKind(),
				Status:  wire.GetStatus(),
				Message: wire.GetMessage(),
				Code:    connectErr.Code(),
			}, true
		}
	}
	return nil, false
}
