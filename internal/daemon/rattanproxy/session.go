package rattanproxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandispatch"
)

const (
	// startTimeout limits the wait for a caller's first message.
	startTimeout = 10 * time.Second
	// callerWriteTimeout is how long a caller may take to read a response.
	callerWriteTimeout = 5 * time.Second
)

// A session holds the state of one caller connection.
type session struct {
	proxy        *Proxy
	conn         CallerConn
	acceptedAt   time.Time
	stateMachine *rattanstatemachine.Session
	database     string
	// route is the route of the newest operation, for the log.
	route       rattancatalog.Route
	key         string
	account     string
	transaction *rattandispatch.Transaction
	// position is the newest log position that the session has seen; its later
	// reads must see at least that.
	position rattanmodel.Position

	mu sync.Mutex
	// isReceiving is true from the first byte of a message to the last one, isLast once the
	// session is to close and its rest must arrive soon.
	isReceiving, isLast bool
	// isBusy is true from the receipt of a message until the response, and while a transaction
	// is open.
	isBusy bool
	// isAnswering is true from the receipt of a message until the response, answering is the
	// id of its statement.
	isAnswering bool
	answering   string
	// isClosing is true when the session is to close once it is not busy, isEnded when it
	// is to close once it is not answering.
	isClosing, isEnded bool
}

func (s *session) serve() {
	defer s.conn.Close()
	defer s.abortTransaction()
	if err := s.start(); err != nil {
		return
	}
	for {
		statement, err := s.readStatement()
		if err != nil {
			if !s.handleReadError(err) {
				return
			}
			continue
		}
		if err := s.handleStatement(statement); err != nil {
			return
		}
	}
}

// abortTransaction rolls the open transaction back, if there is one.
func (s *session) abortTransaction() {
	if s.transaction != nil {
		s.transaction.Abort()
		s.transaction = nil
	}
}

// start opens the session, or refuses it with the reason.
func (s *session) start() error {
	now := s.proxy.clock.Now()
	if err := s.conn.SetReadDeadline(now.Add(startTimeout)); err != nil {
		return err
	}
	database, key, err := s.conn.ReadStart()
	if err != nil {
		if protocolErr, ok := s.proxy.platform.ParseCallerError(err); ok {
			return errors.Wrap(s.refuse(protocolErr.Code, protocolErr.Problem), "refuse the session")
		}
		return err
	}
	s.database, s.key = database, key
	if _, code, detail := s.identify(); code != rattanstatement.None {
		fields := []any{"database", database, "code", code.String(), "detail", detail}
		s.proxy.logger.Info("session_refused", append(fields, s.proxy.configuration.state().fields()...)...)
		if err := s.refuse(code, detail); err != nil {
			return err
		}
		return errors.New(detail)
	}
	return s.conn.WriteGreeting()
}

func (s *session) refuse(code rattanstatement.Code, detail string) error {
	if err := s.conn.SetWriteDeadline(s.proxy.clock.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	return s.conn.WriteRefusal(code, detail)
}

// identify returns the route and sets the client account by the newest
// configuration.
func (s *session) identify() (rattancatalog.Route, rattanstatement.Code, string) {
	catalog := s.proxy.cache.Snapshot().Catalog
	if catalog == nil {
		return rattancatalog.Route{}, rattanstatement.Busy, "no configuration is known yet; come back in 500 ms"
	}
	route, ok := catalog.Route(s.database)
	if !ok {
		return route, rattanstatement.UnknownDatabase, "no route leads to the database"
	}
	account, ok := catalog.AccountOfKey(s.key)
	if !ok && !route.IsOpen {
		return route, rattanstatement.Unauthenticated, "the key is not known"
	}
	s.account, s.route = account, route
	return route, rattanstatement.None, ""
}

func (s *session) write(result rattanstatement.Result) error {
	if err := s.conn.SetWriteDeadline(s.proxy.clock.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	result.TransactionStatus = s.stateMachine.TransactionStatus()
	return s.conn.WriteResult(result)
}

// handleStatement runs a statement and writes its result.
func (s *session) handleStatement(statement rattanstatement.Statement) error {
	arrived := s.proxy.clock.Now()
	if statement.HasLineBreak {
		s.proxy.metrics.count(countLineBreaks)
		s.proxy.logger.Info("message_line_break", "id", statement.ID, "database", s.database, "account", s.account)
	}
	decision := s.stateMachine.Decide(statement)
	if s.stateMachine.TransactionStatus() == rattanstatement.FailedTransaction {
		s.abortTransaction()
	}
	outcome := s.run(decision, arrived)
	if outcome.OK() {
		s.position = s.position.Max(outcome.Position)
	}
	if decision.Action != rattanstatemachine.AnswerLocally || !outcome.OK() {
		s.proxy.logStatement(s, s.route, statement, outcome, arrived)
	}
	return s.write(outcome.Result)
}

func (s *session) run(decision rattanstatemachine.Decision, arrived time.Time) rattandispatch.Outcome {
	if refused, ok := s.refuseWhileStopping(decision.Action, arrived); ok {
		return refused
	}
	switch decision.Action {
	case rattanstatemachine.RunAutocommit:
		return s.runAutocommit(decision, arrived)
	case rattanstatemachine.BeginTransaction:
		return s.begin(decision)
	case rattanstatemachine.RunInTransaction:
		return s.runInTransaction(decision, arrived)
	case rattanstatemachine.CommitTransaction:
		return s.commit(decision, arrived)
	case rattanstatemachine.RollbackTransaction:
		s.transaction.Rollback()
		s.transaction = nil
		s.stateMachine.TransactionEnded()
		return rattandispatch.Outcome{}
	default:
		return rattandispatch.Outcome{Result: decision.Result}
	}
}

// admit checks the route, the key and the rate for a new operation.
func (s *session) admit() (rattancatalog.Route, *rattandispatch.Outcome) {
	route, code, detail := s.identify()
	if code != rattanstatement.None {
		return route, &rattandispatch.Outcome{Result: rattanstatement.Refuse(code, detail)}
	}
	if wait, ok := s.proxy.admit(s.account); !ok {
		detail := fmt.Sprintf("the client account is over its rate; come back in %d ms", max(wait.Milliseconds(), 1))
		return route, &rattandispatch.Outcome{Result: rattanstatement.Refuse(rattanstatement.Busy, detail), Cause: errOverRate}
	}
	return route, nil
}

// errOverRate is the cause of refusals because of the rate.
var errOverRate = errors.New("the client account is over its rate")

// admit counts one operation of a client account. When the account is over its
// rate, it returns false and the time after which to retry.
func (p *Proxy) admit(name string) (time.Duration, bool) {
	snapshot := p.cache.Snapshot()
	account, ok := snapshot.Catalog.Account(name)
	if !ok {
		return 0, true
	}
	return p.admission.Take(account, snapshot)
}

func (s *session) request(route rattancatalog.Route, arrived time.Time) rattandispatch.Request {
	return rattandispatch.Request{
		Route:           route,
		Account:         s.account,
		SessionVars:     s.stateMachine.Values(),
		SessionPosition: s.position,
		Arrived:         arrived,
		AnswerBy:        s.proxy.stopSchedule.Load().AnswerBy(),
	}
}

// refuseWhileStopping refuses a statement that arrived so late during a stop that it is not
// passed on any more. An open transaction is rolled back.
func (s *session) refuseWhileStopping(action rattanstatemachine.Action, arrived time.Time) (rattandispatch.Outcome, bool) {
	schedule := s.proxy.stopSchedule.Load()
	isTaken := schedule.TakesStatements(arrived)
	if action == rattanstatemachine.CommitTransaction {
		isTaken = schedule.TakesCommits(arrived)
	}
	if isTaken {
		return rattandispatch.Outcome{}, false
	}
	switch action {
	case rattanstatemachine.RunAutocommit, rattanstatemachine.BeginTransaction:
		return refusal(rattanstatement.Busy, "the daemon stops; open a new session"), true
	case rattanstatemachine.RunInTransaction:
		s.stateMachine.TransactionFailed()
	case rattanstatemachine.CommitTransaction:
		s.stateMachine.TransactionEnded()
	default:
		return rattandispatch.Outcome{}, false
	}
	s.abortTransaction()
	return refusal(rattanstatement.Aborted, "the daemon stops; the transaction is rolled back"), true
}

func refusal(code rattanstatement.Code, detail string) rattandispatch.Outcome {
	return rattandispatch.Outcome{Result: rattanstatement.Refuse(code, detail)}
}

func (s *session) runAutocommit(decision rattanstatemachine.Decision, arrived time.Time) rattandispatch.Outcome {
	route, refused := s.admit()
	if refused != nil {
		return *refused
	}
	outcome := s.proxy.dispatch.RunAutocommit(s.request(route, arrived), decision.Operation)
	s.returnToken(outcome)
	return outcome
}

// returnToken returns the token of an operation whose only statement so far has certainly
// not run.
func (s *session) returnToken(outcome rattandispatch.Outcome) {
	if !outcome.OK() && !outcome.MayHaveRun {
		s.proxy.admission.Return(s.account)
	}
}

func (s *session) begin(decision rattanstatemachine.Decision) rattandispatch.Outcome {
	route, refused := s.admit()
	if refused != nil {
		return *refused
	}
	s.transaction = s.proxy.dispatch.Begin(route, decision.IsReadOnly)
	s.stateMachine.TransactionBegun()
	return rattandispatch.Outcome{}
}

func (s *session) runInTransaction(decision rattanstatemachine.Decision, arrived time.Time) rattandispatch.Outcome {
	if refused, ok := s.abortIfWithdrawn(); ok {
		return refused
	}
	isFirst := !s.transaction.IsOpen()
	outcome := s.transaction.Run(s.request(s.transaction.Route(), arrived), decision.Operation)
	if isFirst {
		s.returnToken(outcome)
	}
	if !outcome.OK() {
		s.abortTransaction()
		s.stateMachine.TransactionFailed()
	}
	return outcome
}

// abortIfWithdrawn aborts the transaction and returns true when the caller's key
// has been withdrawn.
func (s *session) abortIfWithdrawn() (rattandispatch.Outcome, bool) {
	catalog := s.proxy.cache.Snapshot().Catalog
	account, ok := catalog.AccountOfKey(s.key)
	if s.transaction.Route().IsOpen || ok && account == s.account {
		return rattandispatch.Outcome{}, false
	}
	s.abortTransaction()
	s.stateMachine.TransactionFailed()
	return rattandispatch.Outcome{Result: rattanstatement.Refuse(rattanstatement.Unauthenticated, "the key has been withdrawn")}, true
}

func (s *session) commit(decision rattanstatemachine.Decision, arrived time.Time) rattandispatch.Outcome {
	if refused, ok := s.abortIfWithdrawn(); ok {
		s.stateMachine.TransactionEnded()
		return refused
	}
	outcome := s.transaction.Commit(s.request(s.transaction.Route(), arrived), decision.Operation)
	s.abortTransaction()
	s.stateMachine.TransactionEnded()
	return outcome
}
