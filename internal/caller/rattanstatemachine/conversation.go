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
	// Answer needs nothing but Plan.Result.
	Answer Action = iota + 1
	// RunSingle runs Plan.Work outside a transaction.
	RunSingle
	// BeginTransaction starts a transaction.
	BeginTransaction
	// RunInTransaction runs Plan.Work in the open transaction.
	RunInTransaction
	// CommitTransaction commits the open transaction with Plan.Work.
	CommitTransaction
	// RollbackTransaction rolls the open transaction back.
	RollbackTransaction
	// EndFailed ends a transaction that has failed; Plan.Result is the answer.
	EndFailed
)

// Work is a statement for an endpoint.
type Work struct {
	Statement rattanstatement.Statement
	// Prepared is set for statements that execute a prepared one.
	Prepared *rattanupstream.PreparedStatement
	// IsWrite is true for statements that only the primary can run.
	IsWrite bool
}

// A Plan is the decision on one statement.
type Plan struct {
	Action Action
	Work   Work
	// IsReadOnly is set for BeginTransaction.
	IsReadOnly bool
	Result     rattanstatement.Result
}

// A Conversation is the state of one session. It is not safe for concurrent use.
type Conversation struct {
	state    rattanstatement.State
	values   map[string]string
	prepared map[string]rattanupstream.PreparedStatement
}

// New returns the state of a new session.
func New() *Conversation { return &Conversation{} }

// State returns the state that the caller is told.
func (c *Conversation) State() rattanstatement.State { return c.state }

// Values returns the session values. They are replaced, not changed, by later
// statements.
func (c *Conversation) Values() map[string]string { return c.values }

// Plan decides on the next statement.
func (c *Conversation) Plan(s rattanstatement.Statement) Plan {
	if c.state == rattanstatement.FailedTransaction {
		return c.planFailed(s)
	}
	switch s.Kind {
	case rattanstatement.Begin, rattanstatement.BeginRead:
		if c.state == rattanstatement.InTransaction {
			return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "a transaction is open"))
		}
		return Plan{Action: BeginTransaction, Work: Work{Statement: s}, IsReadOnly: s.Kind == rattanstatement.BeginRead}
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
func (c *Conversation) planFailed(s rattanstatement.Statement) Plan {
	switch s.Kind {
	case rattanstatement.Commit:
		c.state = rattanstatement.Idle
		refusal := rattanstatement.Refuse(rattanstatement.Aborted, "the transaction failed and is rolled back")
		return Plan{Action: EndFailed, Result: refusal}
	case rattanstatement.Rollback:
		c.state = rattanstatement.Idle
		return Plan{Action: EndFailed}
	default:
		return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "the transaction has failed; end it first"))
	}
}

func (c *Conversation) planEnd(s rattanstatement.Statement) Plan {
	if c.state != rattanstatement.InTransaction {
		return c.answer(rattanstatement.Refuse(rattanstatement.Malformed, "no transaction is open"))
	}
	action := RollbackTransaction
	if s.Kind == rattanstatement.Commit {
		action = CommitTransaction
	}
	return Plan{Action: action, Work: Work{Statement: s}}
}

func (c *Conversation) planWork(s rattanstatement.Statement) Plan {
	work := Work{Statement: s, IsWrite: s.Kind == rattanstatement.Write}
	if s.Kind == rattanstatement.Execute {
		prepared, ok := c.prepared[s.Name]
		if !ok {
			return c.fail(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under the name"))
		}
		work.Prepared = &prepared
		work.IsWrite = prepared.Access == rattanstatement.WriteAccess
	}
	if c.state == rattanstatement.InTransaction {
		return Plan{Action: RunInTransaction, Work: work}
	}
	return Plan{Action: RunSingle, Work: work}
}

func (c *Conversation) set(s rattanstatement.Statement) Plan {
	if len(c.values) >= maxNames {
		return c.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many session values"))
	}
	values := make(map[string]string, len(c.values)+1)
	maps.Copy(values, c.values)
	values[s.Name] = s.Argument
	c.values = values
	return c.answer(rattanstatement.Result{})
}

func (c *Conversation) prepare(s rattanstatement.Statement) Plan {
	if len(c.prepared) >= maxNames {
		return c.answer(rattanstatement.Refuse(rattanstatement.TooLarge, "too many prepared statements"))
	}
	if c.prepared == nil {
		c.prepared = make(map[string]rattanupstream.PreparedStatement)
	}
	c.prepared[s.Name] = rattanupstream.PreparedStatement{Access: s.Access, Text: s.Argument}
	return c.answer(rattanstatement.Result{})
}

func (c *Conversation) deallocate(s rattanstatement.Statement) Plan {
	if _, ok := c.prepared[s.Name]; !ok {
		return c.answer(rattanstatement.Refuse(rattanstatement.UnknownPrepared, "no statement is prepared under the name"))
	}
	delete(c.prepared, s.Name)
	return c.answer(rattanstatement.Result{})
}

// fail answers with an error that fails the open transaction, if any.
func (c *Conversation) fail(result rattanstatement.Result) Plan {
	if c.state == rattanstatement.InTransaction {
		c.state = rattanstatement.FailedTransaction
	}
	return c.answer(result)
}

func (c *Conversation) answer(result rattanstatement.Result) Plan {
	return Plan{Action: Answer, Result: result}
}

// Begun records that a transaction was accepted.
func (c *Conversation) Begun() { c.state = rattanstatement.InTransaction }

// Failed records that the open transaction has failed.
func (c *Conversation) Failed() { c.state = rattanstatement.FailedTransaction }

// Ended records that no transaction is open any more.
func (c *Conversation) Ended() { c.state = rattanstatement.Idle }
