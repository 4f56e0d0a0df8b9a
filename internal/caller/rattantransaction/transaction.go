package rattantransaction

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Owner is the client account and key that opened a transaction. Calls of
// another client account cannot reach the transaction.
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

	// available holds one value while no call runs. A call takes the value and
	// puts it back when it returns.
	available chan struct{}

	mutex    sync.Mutex
	lastUsed time.Time
	ended    bool
	// end is closed when the transaction ends.
	end chan struct{}

	// Only the call that holds the value of available may access the fields
	// below: the number, digest, result and refusal of the last statement.
	sequence uint32
	digest   [sha256.Size]byte
	result   *rattanv1.Result
	refusal  error
}

func newTransaction(id ID, owner Owner, group string, connection Connection, now time.Time) *Transaction {
	t := &Transaction{
		id:         id,
		owner:      owner,
		group:      group,
		connection: connection,
		available:  make(chan struct{}, 1),
		lastUsed:   now,
		end:        make(chan struct{}),
	}
	t.available <- struct{}{}
	return t
}

// Group returns the name of the group that the transaction runs on.
func (t *Transaction) Group() string { return t.group }

// acquire waits until no other call of the transaction runs. It fails when the
// transaction has ended or ctx ends first.
func (t *Transaction) acquire(ctx context.Context) error {
	select {
	case <-t.end:
		return errLost(t.id)
	default:
	}
	select {
	case <-t.available:
		return nil
	case <-t.end:
		return errLost(t.id)
	case <-ctx.Done():
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "deadline passed while waiting for an earlier call of the transaction")
	}
}

func (t *Transaction) release(now time.Time) {
	t.mutex.Lock()
	t.lastUsed = now
	t.mutex.Unlock()
	t.available <- struct{}{}
}

// execute runs the statement with number sequence. A repetition of the last statement
// under its number does not run again and gets the recorded answer, so that callers can
// retry a statement whose answer was lost. Another statement may use the number only if
// the last one was refused, since no refused statement has an effect.
func (t *Transaction) execute(ctx context.Context, sequence uint32, statement *rattanv1.Statement) (*rattanv1.Result, error) {
	digest := digestOf(statement)
	isLast := sequence != 0 && sequence == t.sequence
	switch {
	case isLast && digest == t.digest:
		return t.result, t.refusal
	case isLast && t.refusal == nil:
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
			"statement number %d was used for another statement", sequence)
	case !isLast && sequence != t.sequence+1:
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
			"statement number %d is out of order, want %d", sequence, t.sequence+1)
	}
	t.sequence, t.digest = sequence, digest
	t.result, t.refusal = t.connection.Execute(ctx, statement)
	return t.result, t.refusal
}

// digestOf returns the SHA-256 over the text and the arguments of a statement.
func digestOf(statement *rattanv1.Statement) [sha256.Size]byte {
	// The error is always nil: protobuf fails only on text that is not UTF-8, which no
	// decoded message holds.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(statement)
	return sha256.Sum256(data)
}

// finish marks the transaction as ended. It returns false when the transaction had
// ended before.
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

// idle returns the time since the last call of the transaction returned, or since
// the transaction began when no call has returned yet.
func (t *Transaction) idle(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Sub(t.lastUsed)
}

func errLost(id ID) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_TRANSACTION_LOST, 0,
		"transaction is not open at VM %s: it was committed or rolled back", id.VM())
}
