package rattanoperator

import (
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// maxListedErrors keeps an error message readable and below header limits.
	maxListedErrors = 100
	// retryAfter is about the time that the platform needs to recover from a short
	// outage.
	retryAfter = 2 * time.Second
)

// wireError converts an error to a Connect error. Errors from the platform get a
// Refusal detail that says whether the change has had an effect. Only an error that
// is itself a Connect error is returned unchanged, without unwrapping: the store's
// errors wrap Connect errors of the platform, whose codes have a different meaning
// for an operator.
func wireError(err error) error {
	if connectErr, ok := err.(*connect.Error); ok {
		return connectErr
	}
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return withRefusal(connect.CodeUnavailable, err, refusal)
	}
	var validation *rattansettings.ValidationErrors
	var edit *rattansettings.EditError
	var conflict *rattanstore.ConflictError
	var changeID *rattanstore.ChangeIDError
	var tooLarge *rattanstore.TooLargeError
	var unknown *rattanstore.UnknownOutcomeError
	var corrupt *rattanstore.CorruptError
	var unavailable *rattanstore.UnavailableError
	var stale *rattanstore.StaleReadError
	switch {
	case errors.As(err, &validation):
		return connect.NewError(connect.CodeInvalidArgument, listValidationErrors(validation))
	case errors.As(err, &edit), errors.As(err, &tooLarge):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.As(err, &changeID):
		return connect.NewError(connect.CodeAlreadyExists, err)
	case errors.As(err, &corrupt):
		return connect.NewError(connect.CodeDataLoss, err)
	case errors.As(err, &unknown):
		return withRefusal(connect.CodeUnavailable, err, rattanerr.NewUnknown(rattanv1.Reason_REASON_UNAVAILABLE, unknown.ChangeID, "%v", err))
	case errors.As(err, &unavailable), errors.As(err, &stale):
		return withRefusal(connect.CodeUnavailable, err, rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, retryAfter, "%v", err))
	default:
		return withRefusal(connect.CodeUnknown, err, rattanerr.NewUnknown(rattanv1.Reason_REASON_UNAVAILABLE, "", "%v", err))
	}
}

// withRefusal returns a Connect error with the text of err and refusal as a detail.
func withRefusal(code connect.Code, err error, refusal *rattanerr.Refusal) error {
	connectErr := connect.NewError(code, errors.New(err.Error()))
	if detail, err := connect.NewErrorDetail(refusal.Wire()); err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// listValidationErrors returns the first maxListedErrors errors and the number of
// the others.
func listValidationErrors(validation *rattansettings.ValidationErrors) error {
	all := validation.Errors()
	if len(all) <= maxListedErrors {
		return validation
	}
	var b strings.Builder
	for _, invalid := range all[:maxListedErrors] {
		b.WriteString(invalid.Error())
		b.WriteByte('\n')
	}
	return fmt.Errorf("%sand %d further errors", b.String(), len(all)-maxListedErrors)
}
