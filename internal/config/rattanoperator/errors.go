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
	// maxListedFaults keeps an error message readable and below header limits.
	maxListedFaults = 100
	// retryAfter is about how long the platform needs after a short outage.
	retryAfter = 2 * time.Second
)

// wireError converts an error to a Connect error. An error of the platform
// carries a Refusal detail that tells whether the change has had an effect. Only
// an error that is itself a Connect error passes as it is: the errors of the
// store wrap the platform's, whose codes mean something else to an operator.
func wireError(err error) error {
	if answer, ok := err.(*connect.Error); ok {
		return answer
	}
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return withRefusal(connect.CodeUnavailable, err, refusal)
	}
	var faults *rattansettings.ValidationErrors
	var edit *rattansettings.EditError
	var conflict *rattanstore.ConflictError
	var changeID *rattanstore.ChangeIDError
	var tooLarge *rattanstore.TooLargeError
	var unknown *rattanstore.UnknownOutcomeError
	var corrupt *rattanstore.CorruptError
	var unavailable *rattanstore.UnavailableError
	var stale *rattanstore.StaleReadError
	switch {
	case errors.As(err, &faults):
		return connect.NewError(connect.CodeInvalidArgument, listFaults(faults))
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

func withRefusal(code connect.Code, err error, refusal *rattanerr.Refusal) error {
	answer := connect.NewError(code, errors.New(err.Error()))
	if detail, err := connect.NewErrorDetail(refusal.Wire()); err == nil {
		answer.AddDetail(detail)
	}
	return answer
}

func listFaults(faults *rattansettings.ValidationErrors) error {
	all := faults.Errors()
	if len(all) <= maxListedFaults {
		return faults
	}
	var b strings.Builder
	for _, fault := range all[:maxListedFaults] {
		b.WriteString(fault.Error())
		b.WriteByte('\n')
	}
	return fmt.Errorf("%sand %d further faults", b.String(), len(all)-maxListedFaults)
}
