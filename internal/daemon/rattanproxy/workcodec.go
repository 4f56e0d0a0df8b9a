package rattanproxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// transactionName returns the name by which two daemons identify a forwarded
// transaction.
func transactionName(vm, incarnation string, number uint64) string {
	return fmt.Sprintf("%s/%s/%d", vm, incarnation, number)
}

// transactionOrigin returns the incarnation of the daemon that named a transaction.
func transactionOrigin(name string) string {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// newWorkRequest encodes a statement for another daemon. Its deadline is set when
// it is sent.
func newWorkRequest(kind rattanv1.WorkKind, endpoint string, statement rattanupstream.StatementRequest) *rattanv1.WorkRequest {
	return &rattanv1.WorkRequest{
		Kind: kind, Endpoint: endpoint, Account: statement.Account, Priority: uint32(statement.Priority), Values: statement.SessionVars,
		StatementId: statement.StatementID, Text: statement.Text, Shape: statement.Prepared.Text, Writes: statement.IsWrite,
		Argument: statement.Argument, Floor: statement.MinPosition.Wire(),
		IsRepeat: statement.IsRepeat, IsCommit: statement.IsCommit,
		ObjectiveMs: uint32(max(time.Until(statement.Objective), 0).Milliseconds()),
		Route:       statement.Kind.Route, WaitedMs: uint32(max(statement.Waited, 0).Milliseconds()),
	}
}

// decodeWorkRequest returns the statement of a request that has just arrived.
func decodeWorkRequest(request *rattanv1.WorkRequest, now time.Time) rattanupstream.StatementRequest {
	statement := rattanupstream.StatementRequest{
		AcquireRequest: rattanupstream.AcquireRequest{
			Account: request.GetAccount(), Priority: int(request.GetPriority()),
			Kind:      rattanwork.Kind{Route: request.GetRoute(), Operation: decodeOperation(request.GetKind())},
			Waited:    time.Duration(request.GetWaitedMs()) * time.Millisecond,
			Objective: now.Add(time.Duration(request.GetObjectiveMs()) * time.Millisecond),
			Deadline:  now.Add(time.Duration(request.GetDeadlineMs()) * time.Millisecond),
		},
		SessionVars: request.GetValues(), StatementID: request.GetStatementId(), Text: request.GetText(),
		Argument: request.GetArgument(), IsWrite: request.GetWrites(), IsRepeat: request.GetIsRepeat(),
		// Older daemons set only the kind.
		IsCommit:    request.GetIsCommit() || request.GetKind() == rattanv1.WorkKind_WORK_KIND_COMMIT,
		MinPosition: rattanmodel.PositionFromWire(request.GetFloor()),
	}
	if request.GetShape() != "" {
		statement.Prepared = rattanupstream.PreparedStatement{Access: rattanstatement.ReadAccess, Text: request.GetShape()}
		if statement.IsWrite {
			statement.Prepared.Access = rattanstatement.WriteAccess
		}
	}
	return statement
}

// decodeOperation returns what a request that begins work does at the endpoint.
func decodeOperation(kind rattanv1.WorkKind) rattanwork.Operation {
	switch kind {
	case rattanv1.WorkKind_WORK_KIND_WRITE:
		return rattanwork.Write
	case rattanv1.WorkKind_WORK_KIND_BEGIN:
		return rattanwork.Transaction
	default:
		return rattanwork.Read
	}
}

// workFailures maps the errors of statements to failures in messages between
// daemons. A failure is decoded as the first error that has it.
var workFailures = []struct {
	failure rattanv1.WorkFailure
	err     error
}{
	{rattanv1.WorkFailure_WORK_FAILURE_OVERLOADED, rattanupstream.ErrOverloaded},
	{rattanv1.WorkFailure_WORK_FAILURE_OVERLOADED, rattanupstream.ErrLeaving},
	{rattanv1.WorkFailure_WORK_FAILURE_UNREACHABLE, rattanupstream.ErrUnreachable},
	{rattanv1.WorkFailure_WORK_FAILURE_UNREACHABLE, rattanupstream.ErrWrongEndpoint},
	{rattanv1.WorkFailure_WORK_FAILURE_NO_GRANT, rattanupstream.ErrNoGrant},
	{rattanv1.WorkFailure_WORK_FAILURE_SILENT, rattanupstream.ErrTimeout},
}

// encodeWorkResponse encodes the outcome of a request. An error that has no
// failure of its own leaves open whether the statement ran.
func encodeWorkResponse(result rattanstatement.Result, err error) *rattanv1.WorkResponse {
	if err == nil {
		return &rattanv1.WorkResponse{
			Rows: result.Rows, Proof: result.Signature, Code: uint32(result.Code), Detail: result.Detail,
			Position: result.Position.Wire(),
		}
	}
	for _, known := range workFailures {
		if errors.Is(err, known.err) {
			response := &rattanv1.WorkResponse{Failure: known.failure, Detail: err.Error()}
			if retryAfter, ok := rattanupstream.RetryAfter(err); ok {
				response.RetryAfterMs = uint32(max(retryAfter.Milliseconds(), 1))
			}
			return response
		}
	}
	return &rattanv1.WorkResponse{Failure: rattanv1.WorkFailure_WORK_FAILURE_SILENT, Detail: err.Error()}
}

// decodeWorkResponse returns the outcome of a request of a kind. A response that does not fit
// the request counts as missing: it returns an *ownerCallError whose cause is an
// *untrustedResponseError.
func decodeWorkResponse(kind rattanv1.WorkKind, response *rattanv1.WorkResponse) (rattanstatement.Result, error) {
	if reason := responseMismatch(kind, response); reason != "" {
		return rattanstatement.Result{}, &ownerCallError{cause: &untrustedResponseError{reason: reason}}
	}
	if response.GetFailure() == rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN {
		return rattanstatement.Result{}, &ownerCallError{cause: errUnknownTarget, isNotRun: true}
	}
	if response.GetFailure() == rattanv1.WorkFailure_WORK_FAILURE_OVERLOADED {
		return rattanstatement.Result{}, &rattanupstream.OverloadedError{Refusal: rattanwork.Refusal{
			Reason: response.GetDetail(), RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
		}}
	}
	for _, known := range workFailures {
		if response.GetFailure() == known.failure {
			return rattanstatement.Result{}, errors.Wrap(known.err, response.GetDetail())
		}
	}
	return rattanstatement.Result{
		Rows: response.GetRows(), Signature: response.GetProof(),
		Code: rattanstatement.Code(response.GetCode()), Detail: response.GetDetail(),
		Position: rattanmodel.PositionFromWire(response.GetPosition()),
	}, nil
}

// errUnknownTarget says that the connection owner does not know the endpoint or
// transaction.
var errUnknownTarget = errors.New("the connection owner does not know the endpoint or transaction")
