// Package rattanstatemachine decides how each statement of a session is handled:
// answered from the session's state, run as an autocommit statement, or run in
// the open transaction. It does no input or output.
package rattanstatemachine

import (
	"maps"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// maxNames limits the session variables, and separately the prepared statements,
// of one session, so that a caller cannot exhaust the daemon's memory.
const maxNames = 1000

// An Action is what has to be done for a statement.
type Action int

// The actions.
const (
	// AnswerLocally answers with Decision.Result; no endpoint is called.
	AnswerLocally Action = iota + 1
	// RunAutocommit runs Decision.Operation outside a transaction.
	RunAutocommit
	// BeginTransaction starts a transaction with Decision.Operation.
	BeginTransaction
	// RunInTransaction runs Decision.Operation in the open transaction.
	RunInTransaction
	// CommitTransaction commits the open transaction with Decision.Operation.
	CommitTransaction
	// RollbackTransaction rolls back the open transaction.
	RollbackTransaction
	// EndFailedTransaction ends a transaction that has failed and answers with
	// Decision.Result.
	EndFailedTransaction
)

// An Operation is a statement to run on an endpoint.
type Operation struct {
	Statement rattanstatement.Statement
	// Prepared is the prepared statement that an Execute statement runs, and nil
	// for all other statements.
	Prepared *rattanupstream.PreparedStatement
	// IsWrite is true for statements that only the primary can run.
	IsWrite bool
}

// A Decision says how one statement is handled.
type Decision struct {
	Action    Action
	Operation Operation
	// IsReadOnly is true when Action is BeginTransaction and the transaction
	// only reads.
	IsReadOnly bool
	// Result is the answer when Action is AnswerLocally or EndFailedTransaction.
	Result rattanstatement.Result
}

// A Session is the state of one session. It is not safe for concurrent use.
type Session struct {
	state     rattanstatement.TransactionStatus
	variables map[string]string
	prepared  map[string]rattanupstream.PreparedStatement
}

// New returns the state of a new session.
func New() *Session { return &Session{} }

// TransactionStatus returns the transaction status that is reported to the caller.
func (s *Session) TransactionStatus() rattanstatement.TransactionStatus { return s.state }

// Values returns the session variables by name. Later statements replace the map
// and do not modify it, so a statement in flight can keep using it.
func (s *Session) Values() map[string]string { return s.variables }

// Decide decides how the next statement is handled. The caller of Decide runs the
// action and reports its effect with TransactionBegun, TransactionFailed or
// TransactionEnded.
func (s *Session) Decide(statement rattanstatement.Statement) Decision {
	if s.state == rattanstatement.FailedTransaction {
		return s.decideInFailedTransaction(statement)
	}
	switch statement.Kind {
	case rattanstatement.Begin, rattanstatement.BeginRead:
		if s.state == rattanstatement.InTransaction {
			return s.answer(rattanstatement.Refuse(rattanstatement.Malformed, "a transaction is already open"))
		}
		return Decision{Action: BeginTransaction, Operation: Operation{Statement: statement}, IsReadOnly: statement.Kind == rattanstatement.BeginRead}
	case rattanstatement.Commit, rattanstatement.Rollback:
		return s.decideEnd(statement)
	case rattanstatement.Set:
		return s.set(statement)
	case rattanstatement.Prepare:
		return s.prepare(statement)
	case rattanstatement.Deallocate:
		return s.deallocate(statement)
	default:
		return s.decideOperation(statement)
	}
}

// decideInFailedTransaction handles a statement in a failed transaction, which
// accepts only Commit and Rollback.
func (s *Session) decideInFailedTransaction(statement rattanstatement.Statement) Decision {
	switch statement.Kind {
	case rattanstatement.Commit:
		s.state = rattanstatement.Idle
		refusal := rattanstatement.Refuse(rattanstatement.Aborted, "the transaction failed and is rolled back")
		return Decision{Action: EndFailedTransaction, Result: refusal}
	case rattanstatement.Rollback:
		s.state = rattanstatement.Idle
		return Decision{Action: EndFailedTransaction}
	default:
		return s.answer(rattanstatement.Refuse(rattanstatement.Malformed, "the transaction has failed: commit or roll back to end it"))
	}
}

func (s *Session) decideEnd(statement rattanstatement.Statement) Decision {
	if s.state != rattanstatement.InTransaction {
		return s.answer(rattanstatement.Refuse(rattanstatement.Malformed, "no transaction is open"))
	}
	action := RollbackTransaction
	if statement.Kind == rattanstatement.Commit {
		action = CommitTransaction
	}
	return Decision{Action: action, Operation: Operation{Statement: statement}}
}

func (s *Session) decideOperation(statement rattanstatement.Statement) Decision {
	operation := Operation{Statement: statement, IsWrite: statement.Kind == rattanstatement.Write}
	if statement.Kind == rattanstatement.Execute {
		prepared, ok := s.prepared[statement.Name]
		if !ok {
			return s.fail(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under this name"))
		}
		operation.Prepared = &prepared
		operation.IsWrite = prepared.Access == rattanstatement.WriteAccess
	}
	if s.state == rattanstatement.InTransaction {
		return Decision{Action: RunInTransaction, Operation: operation}
	}
	return Decision{Action: RunAutocommit, Operation: operation}
}

func (s *Session) set(statement rattanstatement.Statement) Decision {
	if len(s.variables) >= maxNames {
		return s.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many session variables"))
	}
	variables := make(map[string]string, len(s.variables)+1)
	maps.Copy(variables, s.variables)
	variables[statement.Name] = statement.Argument
	s.variables = variables
	return s.answer(rattanstatement.Result{})
}

func (s *Session) prepare(statement rattanstatement.Statement) Decision {
	if len(s.prepared) >= maxNames {
		return s.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many prepared statements"))
	}
	if s.prepared == nil {
		s.prepared = make(map[string]rattanupstream.PreparedStatement)
	}
	s.prepared[statement.Name] = rattanupstream.PreparedStatement{Access: statement.Access, Text: statement.Argument}
	return s.answer(rattanstatement.Result{})
}

func (s *Session) deallocate(statement rattanstatement.Statement) Decision {
	if _, ok := s.prepared[statement.Name]; !ok {
		return s.answer(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under this name"))
	}
	delete(s.prepared, statement.Name)
	return s.answer(rattanstatement.Result{})
}

// fail answers with an error and marks the open transaction, if any, as failed.
func (s *Session) fail(result rattanstatement.Result) Decision {
	if s.state == rattanstatement.InTransaction {
		s.state = rattanstatement.FailedTransaction
	}
	return s.answer(result)
}

func (s *Session) answer(result rattanstatement.Result) Decision {
	return Decision{Action: AnswerLocally, Result: result}
}

// TransactionBegun records that a transaction was accepted.
func (s *Session) TransactionBegun() { s.state = rattanstatement.InTransaction }

// TransactionFailed records that the open transaction has failed.
func (s *Session) TransactionFailed() { s.state = rattanstatement.FailedTransaction }

// TransactionEnded records that the transaction has ended.
func (s *Session) TransactionEnded() { s.state = rattanstatement.Idle }
