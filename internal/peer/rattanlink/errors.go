package rattanlink

import (
	"fmt"

	"github.com/pkg/errors"
)

// Sentinel errors of this package.
var (
	// ErrClosed is returned by a Client or Server that has been closed.
	ErrClosed = errors.New("peer link is closed")
	// ErrBackoff is returned while the last failed connection attempt to an
	// address is so recent that no new one is made yet.
	ErrBackoff = errors.New("waiting before the next connection attempt")
	// ErrMalformedFrame is returned for bytes that are not a PeerFrame.
	ErrMalformedFrame = errors.New("malformed peer frame")
	// ErrMismatchedFrame is returned when a response carries another
	// request's number.
	ErrMismatchedFrame = errors.New("response belongs to another request")
)

// A FrameSizeError says that a frame is larger than accepted.
type FrameSizeError struct {
	Bytes uint64
	Limit int
}

// Error implements the error interface.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer frame has %d bytes, at most %d are accepted", e.Bytes, e.Limit)
}

// A RemoteError is a peer's answer to a frame that it could not handle.
type RemoteError struct {
	Address string
	Message string
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Address, e.Message)
}

// An unsentError says that a call failed before its whole frame was sent.
type unsentError struct {
	cause error
}

// Error implements the error interface.
func (e *unsentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }

// IsUnsent reports whether a call failed before its whole frame was sent, so that
// the peer has certainly not handled it.
func IsUnsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}
