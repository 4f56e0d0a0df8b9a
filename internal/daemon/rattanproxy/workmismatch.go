package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A workMismatch says why a response does not fit a request for another daemon.
type workMismatch string

// The reasons.
const (
	// mismatchMissing says that there is no response.
	mismatchMissing workMismatch = "missing"
	// mismatchFailure and mismatchCode say that the failure or code is not known.
	mismatchFailure workMismatch = "unknown_failure"
	mismatchCode    workMismatch = "unknown_code"
	// mismatchMixed says that the response tells both an error and a success.
	mismatchMixed workMismatch = "mixed"
	// mismatchNoSignature says that a success lacks the endpoint's signature.
	mismatchNoSignature workMismatch = "no_signature"
	// mismatchContent says that the end of a transaction has rows or a signature.
	mismatchContent workMismatch = "unexpected_content"
)

// An untrustedResponseError says that a response does not fit the request.
type untrustedResponseError struct{ reason workMismatch }

// Error implements the error interface.
func (e *untrustedResponseError) Error() string {
	return "the response does not fit the request: " + string(e.reason)
}

// responseMismatch returns why a response does not fit a request of a kind, empty if it does.
func responseMismatch(kind rattanv1.WorkKind, response *rattanv1.WorkResponse) workMismatch {
	isError := response.GetFailure() != rattanv1.WorkFailure_WORK_FAILURE_UNSPECIFIED || response.GetCode() != 0
	switch {
	case response == nil:
		return mismatchMissing
	case !isKnownFailure(response.GetFailure()):
		return mismatchFailure
	case response.GetCode() > uint32(rattanstatement.InDoubt):
		return mismatchCode
	case isError && response.GetProof() != "":
		return mismatchMixed
	case isError:
		return ""
	case !isSigned(kind) && (response.GetProof() != "" || len(response.GetRows()) > 0):
		return mismatchContent
	case isSigned(kind) && response.GetProof() == "":
		return mismatchNoSignature
	default:
		return ""
	}
}

// isKnownFailure reports whether this version knows a failure.
func isKnownFailure(failure rattanv1.WorkFailure) bool {
	_, ok := rattanv1.WorkFailure_name[int32(failure)]
	return ok
}

// isSigned reports whether the success of a request of a kind has the endpoint's signature:
// that of all but the requests that end a transaction without a commit.
func isSigned(kind rattanv1.WorkKind) bool {
	return kind != rattanv1.WorkKind_WORK_KIND_ROLLBACK && kind != rattanv1.WorkKind_WORK_KIND_ABORT
}

// isWholeRequest reports whether a request says all that a request of its kind needs. A
// statement is either a text or the execution of a prepared one.
func isWholeRequest(request *rattanv1.WorkRequest) bool {
	isStatement := (request.GetText() == "") != (request.GetShape() == "")
	hasTransaction := request.GetTransaction() != ""
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE:
		return isStatement
	case rattanv1.WorkKind_WORK_KIND_BEGIN, rattanv1.WorkKind_WORK_KIND_RUN, rattanv1.WorkKind_WORK_KIND_COMMIT:
		return isStatement && hasTransaction
	case rattanv1.WorkKind_WORK_KIND_ROLLBACK, rattanv1.WorkKind_WORK_KIND_ABORT:
		return hasTransaction
	default:
		return false
	}
}
