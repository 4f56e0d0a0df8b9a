// Package rattanstatemachine decides what a statement of a caller means in its
// session: what is answered from the session's state, what runs by itself and
// what belongs to the open transaction. It does no input or output.
package rattanstatemachine

import (
	"maps"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// maxNames limits the values and the prepared statements of one session, so that
// a caller cannot take all memory.
const maxNames = 1000

// An Action says what a statement needs.
type Action int

// The actions.
const (
	// AnswerLocally needs nothing but Plan.Result.
	AnswerLocally Action = iota + 1
	// RunAutocommit runs Plan.Work outside a transaction.
	RunAutocommit
	// BeginTransaction starts a transaction.
	BeginTransaction
	// RunInTransaction runs Plan.Work in the open transaction.
	RunInTransaction
	// CommitTransaction commits the open transaction with Plan.Work.
	CommitTransaction
	// RollbackTransaction rolls the open transaction back.
	RollbackTransaction
	// EndFailedTransaction ends a transaction that has failed; Plan.Result is the answer.
	EndFailedTransaction
)

// Operation is a statement for an endpoint.
type Operation struct {
	Statement rattanstatement.Statement
	// Prepared is set for statements that execute a prepared one.
	Prepared *rattanupstream.PreparedStatement
	// IsWrite is true for statements that only the primary can run.
	IsWrite bool
}

// A Decision is the decision on one statement.
type Decision struct {
	Action    Action
	Operation Operation
	// IsReadOnly is set for BeginTransaction.
	IsReadOnly bool
	Result     rattanstatement.Result
}

// A Session is the state of one session. It is not safe for concurrent use.
type Session struct {
	state    rattanstatement.TransactionStatus
	values   map[string]string
	prepared map[string]rattanupstream.PreparedStatement
}

// New returns the state of a new session.
func New() *Session { return &Session{} }

// TransactionStatus returns the state that the caller is told.
func (c *Session) TransactionStatus() rattanstatement.TransactionStatus { return c.state }

// Values returns the session values. They are replaced, not changed, by later
// statements.
func (c *Session) Values() map[string]string { return c.values }

// Decide decides on the next statement.
func (c *Session) Decide(s rattanstatement.Statement) Decision {
	if c.state == rattanstatement.FailedTransaction {
		return c.planFailed(s)
	}
	switch s.Kind {
	case rattanstatement.Begin, rattanstatement.BeginRead:
		if c.state == rattanstatement.InTransaction {
			return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "a transaction is open"))
		}
		return Decision{Action: BeginTransaction, Operation: Operation{Statement: s}, IsReadOnly: s.Kind == rattanstatement.BeginRead}
	case rattanstatement.Commit, rattanstatement.Rollback:
		return c.planEnd(s)
	case rattanstatement.Set:
		return c.set(s)
	case rattanstatement.Prepare:
		return c.prepare(s)
	case rattanstatement.Deallocate:
		return c.deallocate(s)
	default:
		return c.planWork(s)
	}
}

// planFailed answers in a failed transaction: only its end is accepted.
func (c *Session) planFailed(s rattanstatement.Statement) Decision {
	switch s.Kind {
	case rattanstatement.Commit:
		c.state = rattanstatement.Idle
		refusal := rattanstatement.Refuse(rattanstatement.Aborted, "the transaction failed and is rolled back")
		return Decision{Action: EndFailedTransaction, Result: refusal}
	case rattanstatement.Rollback:
		c.state = rattanstatement.Idle
		return Decision{Action: EndFailedTransaction}
	default:
		return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "the transaction has failed; end it first"))
	}
}

func (c *Session) planEnd(s rattanstatement.Statement) Decision {
	if c.state != rattanstatement.InTransaction {
		return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "no transaction is open"))
	}
	action := RollbackTransaction
	if s.Kind == rattanstatement.Commit {
		action = CommitTransaction
	}
	return Decision{Action: action, Operation: Operation{Statement: s}}
}

func (c *Session) planWork(s rattanstatement.Statement) Decision {
	work := Operation{Statement: s, IsWrite: s.Kind == rattanstatement.Write}
	if s.Kind == rattanstatement.Execute {
		prepared, ok := c.prepared[s.Name]
		if !ok {
			return c.fail(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under the name"))
		}
		work.Prepared = &prepared
		work.IsWrite = prepared.Access == rattanstatement.WriteAccess
	}
	if c.state == rattanstatement.InTransaction {
		return Decision{Action: RunInTransaction, Operation: work}
	}
	return Decision{Action: RunAutocommit, Operation: work}
}

func (c *Session) set(s rattanstatement.Statement) Decision {
	if len(c.values) >= maxNames {
		return c.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many session values"))
	}
	values := make(map[string]string, len(c.values)+1)
	maps.Copy(values, c.values)
	values[s.Name] = s.Argument
	c.values = values
	return c.answer(rattanstatement.Result{})
}

func (c *Session) prepare(s rattanstatement.Statement) Decision {
	if len(c.prepared) >= maxNames {
		return c.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many prepared statements"))
	}
	if c.prepared == nil {
		c.prepared = make(map[string]rattanupstream.PreparedStatement)
	}
	c.prepared[s.Name] = rattanupstream.PreparedStatement{Access: s.Access, Text: s.Argument}
	return c.answer(rattanstatement.Result{})
}

func (c *Session) deallocate(s rattanstatement.Statement) Decision {
	if _, ok := c.prepared[s.Name]; !ok {
		return c.answer(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under the name"))
	}
	delete(c.prepared, s.Name)
	return c.answer(rattanstatement.Result{})
}

// fail answers with an error that fails the open transaction, if any.
func (c *Session) fail(result rattanstatement.Result) Decision {
	if c.state == rattanstatement.InTransaction {
		c.state = rattanstatement.FailedTransaction
	}
	return c.answer(result)
}

func (c *Session) answer(result rattanstatement.Result) Decision {
	return Decision{Action: AnswerLocally, Result: result}
}

// TransactionBegun records that a transaction was accepted.
func (c *Session) TransactionBegun() { c.state = rattanstatement.InTransaction }

// TransactionFailed records that the open transaction has failed.
func (c *Session) TransactionFailed() { c.state = rattanstatement.FailedTransaction }

// TransactionEnded records that no transaction is open any more.
func (c *Session) TransactionEnded() { c.state = rattanstatement.Idle }
