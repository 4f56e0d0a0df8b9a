package rattanmatrix

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// wireRefusal returns the refusal in the details of a Connect error, or nil.
func wireRefusal(err error) *rattanv1.Refusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
		if value, err := detail.Value(); err == nil {
			if refusal, ok := value.(*rattanv1.Refusal); ok {
				return refusal
			}
		}
	}
	return nil
}

// isDialError reports whether the connection failed, so that the request was not sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
