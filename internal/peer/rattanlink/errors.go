package rattanlink

import (
	"fmt"

	"github.com/pkg/errors"
)

// Sentinel errors of this package.
var (
	// ErrClosed is returned by a Client or Server that has been closed.
	ErrClosed = errors.New("peer link is closed")
	// ErrBackoff is returned when no connection attempt is made because the last
	// one to the same address has failed too recently.
	ErrBackoff = errors.New("waiting before the next connection attempt")
	// ErrMalformedFrame is returned for bytes that are not a PeerFrame.
	ErrMalformedFrame = errors.New("malformed peer frame")
	// ErrMismatchedFrame is returned when a response has the Id of another
	// request, or is none to a request of the kind.
	ErrMismatchedFrame = errors.New("response belongs to another request")
)

// A FrameSizeError says that a frame is larger than the accepted size.
type FrameSizeError struct {
	Bytes uint64
	Limit int
}

// Error implements the error interface.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer frame has %d bytes, at most %d are accepted", e.Bytes, e.Limit)
}

// A PanicError says that a handler panicked.
type PanicError struct {
	// Kind is the kind of the request frame.
	Kind  Kind
	Cause any
	Stack string
}

// Error implements the error interface.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in the handler of frames of kind %s: %v", e.Kind, e.Cause)
}

// A RemoteError is a peer's response to a frame that it could not handle.
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

// IsUnsent reports whether a call failed before its whole frame was sent. The peer
// has certainly not handled such a frame.
func IsUnsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// An EncodeError says that a frame cannot be encoded, as one with a string that is not UTF-8.
type EncodeError struct {
	cause error
}

// Error implements the error interface.
func (e *EncodeError) Error() string { return "encode frame: " + e.cause.Error() }

// IsUnsendable reports whether a call failed because its frame cannot be encoded or is too
// large. Nothing of it was sent, and it says nothing of the peer.
func IsUnsendable(err error) bool {
	return IsUnsent(err) && isUnwritable(err)
}

// isUnwritable reports whether WriteFrame has written nothing because of the frame itself.
func isUnwritable(err error) bool {
	var encodeErr *EncodeError
	var sizeErr *FrameSizeError
	return errors.As(err, &encodeErr) || errors.As(err, &sizeErr)
}
