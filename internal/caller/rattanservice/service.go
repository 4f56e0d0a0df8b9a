// Package rattanservice implements the Connect service that callers use. It
// authenticates, admits and runs requests, and maps refusals to Connect errors.
package rattanservice

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

var _ rattanv1connect.CallerServiceHandler = (*Service)(nil)

// Limits apply to each request.
type Limits struct {
	// StatementTime is the time limit of requests that have no deadline.
	StatementTime time.Duration
	// BatchStatements is the largest number of statements in a batch.
	BatchStatements int
}

// Dependencies are what New needs to create a Service.
type Dependencies struct {
	Keyring      Keyring
	Catalog      Catalog
	Admitter     Admitter
	Executor     Executor
	Sessions     Sessions
	Transactions *rattantransaction.Registry
	Forwarder    Forwarder
	Limits       Limits
}

// A Service serves callers. It is safe for concurrent use.
type Service struct {
	keyring      Keyring
	catalog      Catalog
	admitter     Admitter
	executor     Executor
	sessions     Sessions
	transactions *rattantransaction.Registry
	forwarder    Forwarder
	limits       Limits
	stopping     atomic.Bool
	// stoppingTransactions is true once calls of transactions are refused too.
	stoppingTransactions atomic.Bool
	running              atomic.Int64
	counters             Counters
	// lifetime ends with End. Its cause is the refusal of the requests that then run.
	lifetime    context.Context
	endLifetime context.CancelCauseFunc
}

// New returns a Service.
func New(d Dependencies) *Service {
	lifetime, endLifetime := context.WithCancelCause(context.Background())
	return &Service{
		lifetime:     lifetime,
		endLifetime:  endLifetime,
		keyring:      d.Keyring,
		catalog:      d.Catalog,
		admitter:     d.Admitter,
		executor:     d.Executor,
		sessions:     d.Sessions,
		transactions: d.Transactions,
		forwarder:    d.Forwarder,
		limits:       d.Limits,
	}
}

// Running returns the number of requests that run now.
func (s *Service) Running() int64 { return s.running.Load() }

// Counters returns the service's counters.
func (s *Service) Counters() *Counters { return &s.counters }

// StopAccepting makes the service refuse new requests. Requests that run now are
// completed, and calls of open transactions are still served.
func (s *Service) StopAccepting() { s.stopping.Store(true) }

// StopTransactions makes the service refuse all new requests, also calls of
// transactions. Requests that run now are completed.
func (s *Service) StopTransactions() {
	s.StopAccepting()
	s.stoppingTransactions.Store(true)
}

// End ends the requests that still run and refuses all new ones. The refusal of a
// request that was ended says whether it may have run.
func (s *Service) End() {
	s.StopTransactions()
	s.endLifetime(errShuttingDown())
}

// withLifetime returns a context that also ends with End, with the refusal as its
// cause.
func (s *Service) withLifetime(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.lifetime, func() { cancel(context.Cause(s.lifetime)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// serve authenticates and admits one request, runs it with run, and counts it as
// served or refused. The response carries the new session token.
func serve[Req, Res any](ctx context.Context, s *Service, req *connect.Request[Req], service, route string,
	run func(c *call) (*Res, error),
) (*connect.Response[Res], error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	c, err := s.authenticate(ctx, req.Header(), service, route)
	if err != nil {
		return nil, s.refused(err)
	}
	defer c.end()
	if err := s.admitter.Admit(c.ctx, c.identity.ClientAccount); err != nil {
		return nil, s.refused(c.refuse(err))
	}
	message, err := run(c)
	if err != nil {
		return nil, s.refused(c.refuse(err))
	}
	s.counters.served.Add(1)
	response := connect.NewResponse(message)
	response.Header().Set(SessionHeader, c.session.Seal())
	return response, nil
}

// WriteRefusal writes refusal, in the protocol of the request, as the answer to a
// request that is refused before it reaches the service.
func (s *Service) WriteRefusal(w http.ResponseWriter, r *http.Request, refusal *rattanerr.Refusal) {
	err := s.refused(refusal)
	writer := connect.NewErrorWriter()
	if !writer.IsSupported(r) {
		http.Error(w, refusal.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_ = writer.Write(w, r, err) // a failed write means that the caller has disconnected
}

// refused counts the refusal err and returns the error for the caller.
func (s *Service) refused(err error) error {
	s.counters.countRefusal(err)
	return connectError(err)
}

// Execute implements CallerService.
func (s *Service) Execute(ctx context.Context, req *connect.Request[rattanv1.ExecuteRequest]) (*connect.Response[rattanv1.ExecuteResponse], error) {
	message := req.Msg
	return serve(ctx, s, req, message.GetService(), message.GetRoute(), func(c *call) (*rattanv1.ExecuteResponse, error) {
		if err := checkStatement(message.GetStatement()); err != nil {
			return nil, err
		}
		if message.GetReadOnly() {
			return s.read(c, message.GetStatement())
		}
		return s.write(c, message)
	})
}

func (s *Service) read(c *call, statement *rattanv1.Statement) (*rattanv1.ExecuteResponse, error) {
	read := ReadRequest{
		Group:         c.route.Group,
		ClientAccount: c.identity.ClientAccount,
		Weight:        s.catalog.Weight(c.identity.ClientAccount),
		Statement:     statement,
		MinPosition:   c.session.Position(c.route.Group),
		MaxAge:        c.route.MaxAge,
	}
	answer, err := s.executor.Read(c.ctx, read)
	if err != nil {
		return nil, err
	}
	if answer.FromReplica {
		s.counters.replicaReads.Add(1)
	} else {
		s.counters.primaryReads.Add(1)
	}
	// A read with MaxAge may return data older than the session has seen. Its
	// position does not become a minimum position for later reads.
	if c.route.MaxAge == 0 {
		c.session.Advance(c.route.Group, answer.Position)
	}
	return executeResponse(answer, ""), nil
}

func (s *Service) write(c *call, message *rattanv1.ExecuteRequest) (*rattanv1.ExecuteResponse, error) {
	id, err := requestID(message.GetRequestId())
	if err != nil {
		return nil, err
	}
	answer, err := s.executor.Write(c.ctx, s.newWrite(c, id, []*rattanv1.Statement{message.GetStatement()}))
	if err != nil {
		return nil, withRequestID(err, id)
	}
	c.session.Advance(c.route.Group, answer.Position)
	return executeResponse(answer, id), nil
}

func (s *Service) newWrite(c *call, requestID string, statements []*rattanv1.Statement) WriteRequest {
	return WriteRequest{
		Group:               c.route.Group,
		ClientAccount:       c.identity.ClientAccount,
		Weight:              s.catalog.Weight(c.identity.ClientAccount),
		RequestID:           requestID,
		Statements:          statements,
		AcknowledgeMajority: c.route.AcknowledgeMajority,
	}
}

func executeResponse(answer Answer, requestID string) *rattanv1.ExecuteResponse {
	response := &rattanv1.ExecuteResponse{
		RequestId:   requestID,
		Endpoint:    answer.Endpoint,
		FromReplica: answer.FromReplica,
		AgeMs:       uint32(answer.Age.Milliseconds()),
		Repeated:    answer.Repeated,
	}
	if len(answer.Results) > 0 {
		response.Result = answer.Results[0]
	}
	return response
}

// ExecuteBatch implements CallerService.
func (s *Service) ExecuteBatch(ctx context.Context, req *connect.Request[rattanv1.ExecuteBatchRequest]) (*connect.Response[rattanv1.ExecuteBatchResponse], error) {
	message := req.Msg
	return serve(ctx, s, req, message.GetService(), message.GetRoute(), func(c *call) (*rattanv1.ExecuteBatchResponse, error) {
		if err := s.checkBatch(message.GetStatements()); err != nil {
			return nil, err
		}
		id, err := requestID(message.GetRequestId())
		if err != nil {
			return nil, err
		}
		answer, err := s.executor.Write(c.ctx, s.newWrite(c, id, message.GetStatements()))
		if err != nil {
			return nil, withRequestID(err, id)
		}
		c.session.Advance(c.route.Group, answer.Position)
		return &rattanv1.ExecuteBatchResponse{Results: answer.Results, RequestId: id, Repeated: answer.Repeated}, nil
	})
}

func (s *Service) checkBatch(statements []*rattanv1.Statement) error {
	if len(statements) == 0 || len(statements) > s.limits.BatchStatements {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
			"batch has %d statements, want 1 to %d", len(statements), s.limits.BatchStatements)
	}
	for _, statement := range statements {
		if err := checkStatement(statement); err != nil {
			return err
		}
	}
	return nil
}

// GetOutcome implements CallerService.
func (s *Service) GetOutcome(ctx context.Context, req *connect.Request[rattanv1.GetOutcomeRequest]) (*connect.Response[rattanv1.GetOutcomeResponse], error) {
	message := req.Msg
	return serve(ctx, s, req, message.GetService(), "", func(c *call) (*rattanv1.GetOutcomeResponse, error) {
		if message.GetRequestId() == "" || len(message.GetRequestId()) > maxRequestIDLength {
			return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
				"request identifier must have 1 to %d bytes", maxRequestIDLength)
		}
		outcome, err := s.executor.FindOutcome(c.ctx, c.route.Group, c.identity.ClientAccount, message.GetRequestId())
		if err != nil {
			return nil, withRequestID(err, message.GetRequestId())
		}
		c.session.Advance(c.route.Group, outcome.Position)
		return &rattanv1.GetOutcomeResponse{RunState: outcome.State, Results: outcome.Results}, nil
	})
}

// withRequestID adds id to a refusal that has no request identifier, so that the
// caller can look up the outcome.
func withRequestID(err error, id string) error {
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok || refusal.RequestID != "" {
		return err
	}
	completed := *refusal
	completed.RequestID = id
	return &completed
}
