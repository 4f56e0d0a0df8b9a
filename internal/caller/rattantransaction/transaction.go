package rattantransaction

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Owner is the client account and key that a transaction runs for. Calls of
// another client account do not reach the transaction.
type Owner struct {
	ClientAccount string
	KeyID         string
}

// A Transaction is one interactive transaction. Its calls run one at a time.
type Transaction struct {
	id         ID
	owner      Owner
	group      string
	connection Connection

	// turn holds one value while no call runs.
	turn chan struct{}

	mutex    sync.Mutex
	lastUsed time.Time
	ended    bool
	end      chan struct{}

	// The fields below belong to the holder of turn.
	sequence uint32
	result   *rattanv1.Result
	refusal  error
}

func newTransaction(id ID, owner Owner, group string, connection Connection, now time.Time) *Transaction {
	t := &Transaction{
		id:         id,
		owner:      owner,
		group:      group,
		connection: connection,
		turn:       make(chan struct{}, 1),
		lastUsed:   now,
		end:        make(chan struct{}),
	}
	t.turn <- struct{}{}
	return t
}

// Group returns the name of the group that the transaction runs on.
func (t *Transaction) Group() string { return t.group }

// acquire waits for the turn of the call.
func (t *Transaction) acquire(ctx context.Context) error {
	select {
	case <-t.end:
		return errLost(t.id)
	default:
	}
	select {
	case <-t.turn:
		return nil
	case <-t.end:
		return errLost(t.id)
	case <-ctx.Done():
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "deadline passed while an earlier statement of the transaction ran")
	}
}

func (t *Transaction) release(now time.Time) {
	t.mutex.Lock()
	t.lastUsed = now
	t.mutex.Unlock()
	t.turn <- struct{}{}
}

// execute runs statement number sequence. The last number may be repeated and
// gets the recorded answer.
func (t *Transaction) execute(ctx context.Context, sequence uint32, statement *rattanv1.Statement) (*rattanv1.Result, error) {
	if sequence != 0 && sequence == t.sequence {
		return t.result, t.refusal
	}
	if sequence != t.sequence+1 {
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
			"statement number %d is out of order: %d comes next", sequence, t.sequence+1)
	}
	t.sequence = sequence
	t.result, t.refusal = t.connection.Execute(ctx, statement)
	return t.result, t.refusal
}

// finish marks the transaction ended and reports whether this call did it.
func (t *Transaction) finish() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ended {
		return false
	}
	t.ended = true
	close(t.end)
	return true
}

// idle returns how long no call has ended on the transaction.
func (t *Transaction) idle(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.lastUsed)
}

func errLost(id ID) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_TRANSACTION_LOST, 0,
		"transaction is not open at VM %s: it was rolled back or has ended", id.VM())
}
