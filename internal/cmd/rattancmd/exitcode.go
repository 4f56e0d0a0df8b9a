package rattancmd

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// The exit codes of the process, as docs/operators.md lists them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitDenied      = 4
	exitInvalid     = 5
	exitUnavailable = 6
	exitPending     = 7
)

// A usageError reports a wrong flag or argument.
type usageError struct{ err error }

func usageErrorf(format string, args ...any) error {
	return usageError{errors.Errorf(format, args...)}
}

// Error implements the error interface.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

// An invalidError reports input that cannot be read or is not valid, such as a file
// with process settings, settings or a certificate.
type invalidError struct{ err error }

// Error implements the error interface.
func (e invalidError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e invalidError) Unwrap() error { return e.err }

// A pendingError reports that a change is stored but not in force everywhere yet,
// or that requests still run on what was taken out.
type pendingError struct{ message string }

// Error implements the error interface.
func (e pendingError) Error() string { return e.message }

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var usage usageError
	var pending pendingError
	var invalid invalidError
	var unavailable unavailableError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &pending):
		return exitPending
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &unavailable):
		return exitUnavailable
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return exitDenied
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return exitInvalid
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnavailable
	default:
		return exitFailure
	}
}

// describe returns the message of an error. It omits the Connect code in front of
// the message, because the exit code already conveys it.
func describe(err error) string {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && connectErr.Message() != "" {
		return connectErr.Message()
	}
	return err.Error()
}
