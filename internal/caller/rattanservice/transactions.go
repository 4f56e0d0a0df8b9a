package rattanservice

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// The values of ForwardRequest.call, which name the call of a transaction.
const (
	forwardExecute  = "execute"
	forwardCommit   = "commit"
	forwardRollback = "rollback"
)

// Begin implements CallerService.
func (s *Service) Begin(ctx context.Context, req *connect.Request[rattanv1.BeginRequest]) (*connect.Response[rattanv1.BeginResponse], error) {
	return serve(ctx, s, req, req.Msg.GetService(), req.Msg.GetRoute(), func(c *call) (*rattanv1.BeginResponse, error) {
		id, err := s.begin(c)
		if err != nil {
			return nil, err
		}
		return &rattanv1.BeginResponse{Transaction: id.String()}, nil
	})
}

// begin opens a transaction. It continues after the call returns and is rolled back
// when the key is withdrawn.
func (s *Service) begin(c *call) (rattantransaction.ID, error) {
	if c.identity.KeyID == "" {
		return rattantransaction.ID{}, rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAUTHENTICATED, 0,
			"transactions need a key, even on open routes")
	}
	lifetime, cancel := s.keyring.Track(context.Background(), c.identity.KeyID)
	owner := rattantransaction.Owner{ClientAccount: c.identity.ClientAccount, KeyID: c.identity.KeyID}
	id, err := s.transactions.Begin(lifetime, owner, c.route.Group, func() (rattantransaction.Connection, error) {
		connection, err := s.executor.OpenTransaction(c.ctx, s.newWrite(c, "", nil), c.session.Position(c.route.Group))
		if err != nil {
			return nil, err
		}
		return &trackedConnection{Connection: connection, untrack: cancel}, nil
	})
	if err != nil {
		cancel()
	}
	return id, err
}

// A trackedConnection stops tracking the key of its transaction when the
// transaction ends.
type trackedConnection struct {
	rattantransaction.Connection
	untrack context.CancelFunc
}

func (c *trackedConnection) Commit(ctx context.Context, requestID string) (rattanmodel.Position, error) {
	defer c.untrack()
	return c.Connection.Commit(ctx, requestID)
}

func (c *trackedConnection) Rollback() {
	c.untrack()
	c.Connection.Rollback()
}

// ExecuteInTransaction implements CallerService.
func (s *Service) ExecuteInTransaction(ctx context.Context, req *connect.Request[rattanv1.ExecuteInTransactionRequest]) (*connect.Response[rattanv1.ExecuteInTransactionResponse], error) {
	if err := checkStatement(req.Msg.GetStatement()); err != nil {
		return nil, s.refused(err)
	}
	forward := &rattanv1.ForwardRequest{
		Call:        forwardExecute,
		Transaction: req.Msg.GetTransaction(),
		Sequence:    req.Msg.GetSequence(),
		Statement:   req.Msg.GetStatement(),
	}
	answer, token, err := s.callTransaction(ctx, req.Header(), forward)
	if err != nil {
		return nil, err
	}
	response := connect.NewResponse(&rattanv1.ExecuteInTransactionResponse{Result: answer.GetResult()})
	response.Header().Set(SessionHeader, token)
	return response, nil
}

// Commit implements CallerService.
func (s *Service) Commit(ctx context.Context, req *connect.Request[rattanv1.CommitRequest]) (*connect.Response[rattanv1.CommitResponse], error) {
	forward := &rattanv1.ForwardRequest{
		Call:        forwardCommit,
		Transaction: req.Msg.GetTransaction(),
		RequestId:   req.Msg.GetRequestId(),
	}
	answer, token, err := s.callTransaction(ctx, req.Header(), forward)
	if err != nil {
		return nil, err
	}
	response := connect.NewResponse(&rattanv1.CommitResponse{RequestId: answer.GetRequestId()})
	response.Header().Set(SessionHeader, token)
	return response, nil
}

// Rollback implements CallerService.
func (s *Service) Rollback(ctx context.Context, req *connect.Request[rattanv1.RollbackRequest]) (*connect.Response[rattanv1.RollbackResponse], error) {
	forward := &rattanv1.ForwardRequest{Call: forwardRollback, Transaction: req.Msg.GetTransaction()}
	_, token, err := s.callTransaction(ctx, req.Header(), forward)
	if err != nil {
		return nil, err
	}
	response := connect.NewResponse(&rattanv1.RollbackResponse{})
	response.Header().Set(SessionHeader, token)
	return response, nil
}

// callTransaction authenticates a call of a transaction and runs it on the daemon
// that owns the transaction, which may be this one. It also returns the new session
// token. Statements count against the client account's rate. Commit and rollback do
// not, so that a client account over its rate can still release its connection.
func (s *Service) callTransaction(ctx context.Context, header http.Header, forward *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, string, error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	id, err := rattantransaction.ParseID(forward.GetTransaction())
	if err != nil {
		return nil, "", s.refused(rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "%s", err))
	}
	c, err := s.transactionCall(ctx, header)
	if err != nil {
		return nil, "", s.refused(err)
	}
	defer c.end()
	forward.ClientAccount = c.identity.ClientAccount
	forward.KeyId = c.identity.KeyID
	answer, err := s.runTransactionCall(c, id, forward)
	if err != nil {
		return nil, "", s.refused(c.refuse(err))
	}
	if answer.GetGroup() != "" {
		c.session.Advance(answer.GetGroup(), rattanmodel.PositionFromWire(answer.GetPosition()))
	}
	s.counters.served.Add(1)
	return answer, c.session.Seal(), nil
}

// transactionCall authenticates a call that names a transaction and no route. It
// requires a key, so that other callers cannot use the transaction.
func (s *Service) transactionCall(ctx context.Context, header http.Header) (*call, error) {
	if s.stoppingTransactions.Load() {
		return nil, errShuttingDown()
	}
	identity, err := s.keyring.Authenticate(bearer(header))
	if err != nil {
		return nil, err
	}
	return s.newCall(ctx, header, identity, Route{})
}

func (s *Service) runTransactionCall(c *call, id rattantransaction.ID, forward *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, error) {
	if forward.GetCall() == forwardExecute {
		if err := s.admitter.Admit(c.ctx, c.identity.ClientAccount); err != nil {
			return nil, err
		}
	}
	if forward.GetCall() == forwardCommit {
		requestID, err := commitRequestID(id, forward.GetRequestId())
		if err != nil {
			return nil, err
		}
		forward.RequestId = requestID
	}
	if s.transactions.Owns(id) {
		return s.runOwned(c.ctx, id, forward)
	}
	if deadline, ok := c.ctx.Deadline(); ok {
		forward.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return s.forwarder.Forward(c.ctx, id.VM(), forward)
}

// commitRequestID returns given as the request identifier of a commit, or the one
// derived from the transaction when the caller gave none.
func commitRequestID(id rattantransaction.ID, given string) (string, error) {
	if given == "" {
		return id.RequestID(), nil
	}
	return requestID(given)
}

// runOwned runs a call of a transaction that this daemon owns.
func (s *Service) runOwned(ctx context.Context, id rattantransaction.ID, forward *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, error) {
	owner := rattantransaction.Owner{ClientAccount: forward.GetClientAccount(), KeyID: forward.GetKeyId()}
	switch forward.GetCall() {
	case forwardExecute:
		result, err := s.transactions.Execute(ctx, id, owner, forward.GetSequence(), forward.GetStatement())
		if err != nil {
			return nil, err
		}
		return &rattanv1.ForwardResponse{Result: result}, nil
	case forwardCommit:
		group, position, err := s.transactions.Commit(ctx, id, owner, forward.GetRequestId())
		if err != nil {
			return nil, withRequestID(err, forward.GetRequestId())
		}
		return &rattanv1.ForwardResponse{RequestId: forward.GetRequestId(), Group: group, Position: position.Wire()}, nil
	case forwardRollback:
		if err := s.transactions.Rollback(id, owner); err != nil {
			return nil, err
		}
		return &rattanv1.ForwardResponse{}, nil
	default:
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "unknown transaction call %q", forward.GetCall())
	}
}

// HandleForward runs a call that another daemon has authenticated and forwarded.
// This daemon tracks the key, so that a withdrawal of the key ends the call here too.
func (s *Service) HandleForward(ctx context.Context, forward *rattanv1.ForwardRequest) *rattanv1.ForwardResponse {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.stoppingTransactions.Load() {
		return refusedForward(errShuttingDown())
	}
	ctx, cancelLifetime := s.withLifetime(ctx)
	defer cancelLifetime()
	ctx, cancelTimeout := context.WithTimeout(ctx, time.Duration(forward.GetTimeoutMs())*time.Millisecond)
	defer cancelTimeout()
	ctx, cancel := s.keyring.Track(ctx, forward.GetKeyId())
	defer cancel()
	id, err := rattantransaction.ParseID(forward.GetTransaction())
	if err != nil {
		return refusedForward(rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "%s", err))
	}
	response, err := s.runOwned(ctx, id, forward)
	if err != nil {
		return refusedForward(err)
	}
	return response
}

// refusedForward returns the response that carries err as a refusal.
func refusedForward(err error) *rattanv1.ForwardResponse {
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok {
		refusal = rattanerr.NewUnknown(rattanv1.Reason_REASON_UNAVAILABLE, "", "internal error")
	}
	return &rattanv1.ForwardResponse{Refusal: refusal.Wire()}
}
