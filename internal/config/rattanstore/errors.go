package rattanstore

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// A ConflictError means that a change was not applied because the key's revision
// is not the expected one.
type ConflictError struct {
	Key              string
	ExpectedRevision uint64
	ActualRevision   uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has revision %d, not the expected %d; the change was not applied", e.Key, e.ActualRevision, e.ExpectedRevision)
}

// An UnavailableError means that the platform did not respond in time or responded
// with an error, and that nothing was changed.
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

// An UnknownOutcomeError means that a change may or may not have been applied. A
// repeat with the same change id returns the outcome and does not apply the change
// twice.
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

// A ChangeIDError means that a change id was used before for a different change.
type ChangeIDError struct {
	Key      string
	ChangeID string
}

// Error implements the error interface.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("change id %q was used for another change of %s; accepted: a new change id", e.ChangeID, e.Key)
}

// A TooLargeError means that a value is larger than the platform's limit.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error implements the error interface.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s would have %d bytes; accepted: at most %d bytes", e.Key, e.Bytes, maxValueBytes)
}

// A StaleReadError means that the platform returned an older revision than it had
// returned before.
type StaleReadError struct {
	Key string
}

// Error implements the error interface.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("platform returned an older revision of %s than before", e.Key)
}

// A CorruptError means that a stored value cannot be decoded.
type CorruptError struct {
	Key      string
	Revision uint64
}

// Error implements the error interface. The value is left out, as it may hold secrets.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s at revision %d is not a stored value of rattanstream", e.Key, e.Revision)
}

// A notSentError wraps the error of a call that ended before it was sent.
type notSentError struct {
	err error
}

func (e *notSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.err) }
func (e *notSentError) Unwrap() error { return e.err }

// An updateError wraps the error of Change.Update, which is never retried whatever
// it wraps.
type updateError struct {
	err error
}

func (e *updateError) Error() string { return e.err.Error() }
func (e *updateError) Unwrap() error { return e.err }

// newReadError returns the error of a failed read, which never changes anything.
func newReadError(key string, err error) error {
	return &UnavailableError{Key: key, Err: err}
}

// isTransient reports whether a later attempt may succeed.
func isTransient(err error) bool {
	var updateErr *updateError
	if errors.As(err, &updateErr) {
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
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return isContextError(err)
	}
	switch connectErr.Code() {
	case connect.CodeAborted, connect.CodeInvalidArgument, connect.CodeNotFound,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return false
	default:
		return true
	}
}

// isContextError reports whether err means that a context was canceled or timed
// out.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// isUncertainWrite is isUncertain for errors that may come from reads as well as
// from writes. A failed read, an *UnavailableError, has changed nothing.
func isUncertainWrite(err error) bool {
	var unavailable *UnavailableError
	return !errors.As(err, &unavailable) && isUncertain(err)
}
