package rattanservice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// SessionHeader is the header that carries the session token in requests and
// responses.
const SessionHeader = "Rattanstream-Session"

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// bearer returns the key from the Authorization header of a request, or "" when the
// request has none.
func bearer(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return value[len(bearerPrefix):]
	}
	return ""
}

// connectCode returns the Connect code of a refusal with the given reason.
func connectCode(reason rattanv1.Reason) connect.Code {
	switch reason {
	case rattanv1.Reason_REASON_UNAUTHENTICATED, rattanv1.Reason_REASON_KEY_WITHDRAWN:
		return connect.CodeUnauthenticated
	case rattanv1.Reason_REASON_OVER_RATE, rattanv1.Reason_REASON_OVERLOADED, rattanv1.Reason_REASON_TOO_LARGE:
		return connect.CodeResourceExhausted
	case rattanv1.Reason_REASON_DEADLINE:
		return connect.CodeDeadlineExceeded
	case rattanv1.Reason_REASON_BAD_REQUEST:
		return connect.CodeInvalidArgument
	case rattanv1.Reason_REASON_CONFLICT, rattanv1.Reason_REASON_TRANSACTION_LOST:
		return connect.CodeAborted
	default:
		return connect.CodeUnavailable
	}
}

// connectError converts err to the error that the caller gets. An error that is not
// a refusal becomes "internal error", so that no internal text reaches callers.
func connectError(err error) error {
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok {
		refusal = rattanerr.NewUnknown(rattanv1.Reason_REASON_UNAVAILABLE, "", "internal error")
	}
	connectErr := connect.NewError(connectCode(refusal.Reason), refusal)
	if detail, err := connect.NewErrorDetail(refusal.Wire()); err == nil {
		connectErr.AddDetail(detail)
	}
	if refusal.RetryAfter > 0 {
		connectErr.Meta().Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	return connectErr
}

// retryAfterSeconds returns d in whole seconds, rounded up, because the HTTP header
// Retry-After has no fractions. The detail of the error has the time in
// milliseconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}
