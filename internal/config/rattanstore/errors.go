package rattanstore

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// A ConflictError tells that a change was not applied because the key has
// another revision than expected.
type ConflictError struct {
	Key              string
	ExpectedRevision uint64
	ActualRevision   uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has revision %d, not the expected %d; the change was not applied", e.Key, e.ActualRevision, e.ExpectedRevision)
}

// An UnavailableError tells that the platform did not answer in time and that
// nothing was changed.
type UnavailableError struct {
	Key string
	Err error
}

// Error implements the error interface.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform not available for %s; nothing was changed: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// An UnknownOutcomeError tells that a change may have taken effect. A repeat
// with the same change id finds out and does not apply it twice.
type UnknownOutcomeError struct {
	Key      string
	ChangeID string
	Err      error
}

// Error implements the error interface.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %q of %s is unknown; repeat it with the same change id: %v", e.ChangeID, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// A ChangeIDError tells that a change id was used before for another change.
type ChangeIDError struct {
	Key      string
	ChangeID string
}

// Error implements the error interface.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("change id %q was used for another change of %s; accepted: a new change id", e.ChangeID, e.Key)
}

// A TooLargeError tells that a value is over the platform's limit.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error implements the error interface.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s would have %d bytes; accepted: at most %d bytes", e.Key, e.Bytes, maxValueBytes)
}

// A StaleReadError tells that the platform answered with an older revision than
// before.
type StaleReadError struct {
	Key string
}

// Error implements the error interface.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("platform answered with an older revision of %s than before", e.Key)
}

// A CorruptError tells that a stored value cannot be read.
type CorruptError struct {
	Key      string
	Revision uint64
}

// Error implements the error interface. The value is left out, as it may hold secrets.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s at revision %d is not a stored value of rattanstream", e.Key, e.Revision)
}

// A notSentError wraps the error of a call that never left the daemon.
type notSentError struct {
	err error
}

func (e *notSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.err) }
func (e *notSentError) Unwrap() error { return e.err }

// A makeError wraps the error of Change.Make, which is final whatever it wraps.
type makeError struct {
	err error
}

func (e *makeError) Error() string { return e.err.Error() }
func (e *makeError) Unwrap() error { return e.err }

func newReadError(key string, err error) error {
	return &UnavailableError{Key: key, Err: err}
}

// isTransient reports whether a later attempt may succeed.
func isTransient(err error) bool {
	var made *makeError
	if errors.As(err, &made) {
		return false
	}
	var stale *StaleReadError
	var unavailable *UnavailableError
	var notSent *notSentError
	return errors.As(err, &stale) || errors.As(err, &unavailable) || errors.As(err, &notSent) ||
		isAborted(err) || isUncertain(err)
}

// isAborted reports whether a compare-and-swap found another revision.
func isAborted(err error) bool {
	return connect.CodeOf(err) == connect.CodeAborted
}

// isUncertain reports whether a write that ended with err may have taken effect.
func isUncertain(err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return false
	}
	var answer *connect.Error
	if !errors.As(err, &answer) {
		return isContextError(err)
	}
	switch answer.Code() {
	case connect.CodeAborted, connect.CodeInvalidArgument, connect.CodeNotFound,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return false
	default:
		return true
	}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// isUncertainWrite is isUncertain for errors that may also be those of reads.
func isUncertainWrite(err error) bool {
	var unavailable *UnavailableError
	return !errors.As(err, &unavailable) && isUncertain(err)
}
