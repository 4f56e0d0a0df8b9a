package rattanproxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// transactionName returns the name of a transaction between daemons.
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

// workRequest returns a task for the wire between daemons. Its deadline is set
// when it is sent.
func workRequest(kind rattanv1.WorkKind, endpoint string, task rattanupstream.StatementRequest) *rattanv1.WorkRequest {
	return &rattanv1.WorkRequest{
		Kind: kind, Endpoint: endpoint, Account: task.Account, Priority: uint32(task.Priority), Values: task.SessionVars,
		StatementId: task.StatementID, Text: task.Text, Shape: task.Prepared.Text, Writes: task.IsWrite,
		Argument: task.Argument, Floor: task.MinPosition.Wire(),
		ObjectiveMs: uint32(max(time.Until(task.Objective), 0).Milliseconds()),
	}
}

// workTask returns the task of a request that arrived now.
func workTask(request *rattanv1.WorkRequest, now time.Time) rattanupstream.StatementRequest {
	task := rattanupstream.StatementRequest{
		AcquireRequest: rattanupstream.AcquireRequest{
			Account: request.GetAccount(), Priority: int(request.GetPriority()),
			Objective: now.Add(time.Duration(request.GetObjectiveMs()) * time.Millisecond),
			Deadline:  now.Add(time.Duration(request.GetDeadlineMs()) * time.Millisecond),
		},
		SessionVars: request.GetValues(), StatementID: request.GetStatementId(), Text: request.GetText(),
		Argument: request.GetArgument(), IsWrite: request.GetWrites(),
		MinPosition: rattanmodel.PositionFromWire(request.GetFloor()),
	}
	if request.GetShape() != "" {
		task.Prepared = rattanupstream.PreparedStatement{Access: rattanstatement.ReadAccess, Text: request.GetShape()}
		if task.IsWrite {
			task.Prepared.Access = rattanstatement.WriteAccess
		}
	}
	return task
}

// workFailures are the errors of statements on the wire between daemons.
var workFailures = []struct {
	failure rattanv1.WorkFailure
	err     error
}{
	{rattanv1.WorkFailure_WORK_FAILURE_OVERLOADED, rattanupstream.ErrOverloaded},
	{rattanv1.WorkFailure_WORK_FAILURE_UNREACHABLE, rattanupstream.ErrUnreachable},
	{rattanv1.WorkFailure_WORK_FAILURE_UNREACHABLE, rattanupstream.ErrWrongEndpoint},
	{rattanv1.WorkFailure_WORK_FAILURE_NO_GRANT, rattanupstream.ErrNoGrant},
	{rattanv1.WorkFailure_WORK_FAILURE_SILENT, rattanupstream.ErrTimeout},
}

// encodeWork returns the answer to a request. An unknown error leaves open
// whether the statement ran.
func encodeWork(result rattanstatement.Result, err error) *rattanv1.WorkResponse {
	if err == nil {
		return &rattanv1.WorkResponse{
			Rows: result.Rows, Proof: result.Signature, Code: uint32(result.Code), Detail: result.Detail,
			Position: result.Position.Wire(),
		}
	}
	for _, known := range workFailures {
		if errors.Is(err, known.err) {
			return &rattanv1.WorkResponse{Failure: known.failure, Detail: err.Error()}
		}
	}
	return &rattanv1.WorkResponse{Failure: rattanv1.WorkFailure_WORK_FAILURE_SILENT, Detail: err.Error()}
}

func decodeWork(response *rattanv1.WorkResponse) (rattanstatement.Result, error) {
	if response.GetFailure() == rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN {
		return rattanstatement.Result{}, &keeperLostError{cause: errUnknownWork, isUnsent: true}
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

// errUnknownWork says that the owner does not know the endpoint or transaction.
var errUnknownWork = errors.New("the endpoint or transaction is not known there")
