package client

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// errNotWhole is the error of a call whose answer lacks a part, or belongs to another
// request. The call may have run.
var errNotWhole = errors.New("answer is not whole or belongs to another request")

// whole returns method with errNotWhole for answers that isWhole rejects.
func whole[Q, A any](method callerMethod[Q, A], isWhole func(*A) bool) callerMethod[Q, A] {
	return func(client rattanv1connect.CallerServiceClient, ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		response, err := method(client, ctx, request)
		if err == nil && !isWhole(response.Msg) {
			return nil, errNotWhole
		}
		return response, err
	}
}

// isFor reports whether an answer with the request identifier got belongs to the request
// with the identifier sent. The daemon chooses one for a write that has none.
func isFor(sent, got string) bool { return sent == "" || sent == got }

func isWholeExecute(id string) func(*rattanv1.ExecuteResponse) bool {
	return func(response *rattanv1.ExecuteResponse) bool {
		return response.GetResult() != nil && isFor(id, response.GetRequestId())
	}
}

func isWholeBatch(id string, statements int) func(*rattanv1.ExecuteBatchResponse) bool {
	return func(response *rattanv1.ExecuteBatchResponse) bool {
		return len(response.GetResults()) == statements && isFor(id, response.GetRequestId())
	}
}

func isWholeBegin(response *rattanv1.BeginResponse) bool { return response.GetTransaction() != "" }

func isWholeStatement(response *rattanv1.ExecuteInTransactionResponse) bool {
	return response.GetResult() != nil
}

func isWholeCommit(id string) func(*rattanv1.CommitResponse) bool {
	return func(response *rattanv1.CommitResponse) bool { return isFor(id, response.GetRequestId()) }
}
