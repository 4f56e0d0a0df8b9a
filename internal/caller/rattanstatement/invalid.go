package rattanstatement

import "github.com/pkg/errors"

// ErrMalformedAnswer says that an endpoint sent what the protocol does not allow. Nothing
// more can be learned from the connection.
var ErrMalformedAnswer = errors.New("malformed answer of the endpoint")

// An InvalidFieldError says that a request or a result was not sent, since a field of it
// cannot be part of a message. Nothing of it has left the daemon.
type InvalidFieldError struct {
	Field   string
	Problem string
}

// Error implements the error interface.
func (e *InvalidFieldError) Error() string { return "the " + e.Field + " cannot be sent: " + e.Problem }

// IsInvalidField reports whether an error is or wraps an *InvalidFieldError.
func IsInvalidField(err error) bool {
	var invalid *InvalidFieldError
	return errors.As(err, &invalid)
}
