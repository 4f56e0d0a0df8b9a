package rattantransaction

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Limits bound the transactions of one daemon.
type Limits struct {
	// MaxOpen is the largest number of open transactions.
	MaxOpen int
	// IdleTimeout is the time without a call after which a transaction is rolled back.
	IdleTimeout time.Duration
}

// A Registry holds the open transactions that one daemon owns.
type Registry struct {
	clock       rattanclock.Clock
	vm          string
	incarnation uint64
	limits      Limits

	mutex   sync.Mutex
	open    map[string]*Transaction
	pending int
	closed  bool
}

// New returns an empty Registry of the daemon with the given VM name and incarnation.
func New(clock rattanclock.Clock, vm string, incarnation uint64, limits Limits) *Registry {
	return &Registry{
		clock:       clock,
		vm:          vm,
		incarnation: incarnation,
		limits:      limits,
		open:        make(map[string]*Transaction),
	}
}

// Owns reports whether this daemon, in this incarnation, made id.
func (r *Registry) Owns(id ID) bool {
	return id.vm == r.vm && id.incarnation == r.incarnation
}

// Begin opens a transaction on the connection that open returns. ctx is the
// lifetime of the transaction: when it ends, as on the withdrawal of the key,
// the transaction is rolled back. The error is a *rattanerr.Refusal or open's own.
func (r *Registry) Begin(ctx context.Context, owner Owner, group string, open func() (Connection, error)) (ID, error) {
	if err := r.reserve(); err != nil {
		return ID{}, err
	}
	connection, err := open()
	if err != nil {
		r.unreserve()
		return ID{}, err
	}
	t := newTransaction(NewID(r.vm, r.incarnation), owner, group, connection, r.clock.Now())
	r.mutex.Lock()
	r.pending--
	r.open[t.id.String()] = t
	r.mutex.Unlock()
	go r.watch(ctx, t)
	return t.id, nil
}

func (r *Registry) reserve() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_SHUTTING_DOWN, time.Millisecond, "VM %s is shutting down", r.vm)
	}
	if len(r.open)+r.pending >= r.limits.MaxOpen {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, r.limits.IdleTimeout,
			"%d transactions are open, the limit of VM %s", r.limits.MaxOpen, r.vm)
	}
	r.pending++
	return nil
}

func (r *Registry) unreserve() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending--
}

// watch ends t when its lifetime ends, its connection is lost or it is idle too long.
func (r *Registry) watch(ctx context.Context, t *Transaction) {
	for {
		wait := r.limits.IdleTimeout - t.idle(r.clock.Now())
		if wait <= 0 {
			if r.endIdle(t) {
				return
			}
			wait = r.limits.IdleTimeout
		}
		select {
		case <-t.end:
			return
		case <-ctx.Done():
			r.end(t)
			return
		case <-t.connection.Done():
			r.end(t)
			return
		case <-r.clock.After(wait):
		}
	}
}

// endIdle ends t unless a call runs on it.
func (r *Registry) endIdle(t *Transaction) bool {
	select {
	case <-t.turn:
		r.end(t)
		return true
	default:
		return false
	}
}

// end rolls t back, unless it has ended.
func (r *Registry) end(t *Transaction) {
	if !t.finish() {
		return
	}
	r.remove(t)
	t.connection.Rollback()
}

func (r *Registry) remove(t *Transaction) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, t.id.String())
}

// find returns the open transaction of that ID when owner may use it. A wrong
// owner gets the same answer as for an unknown ID.
func (r *Registry) find(id ID, owner Owner) (*Transaction, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t, ok := r.open[id.String()]
	if !ok || t.owner.ClientAccount != owner.ClientAccount {
		return nil, errLost(id)
	}
	return t, nil
}

// Execute runs statement number sequence of the transaction. The errors are
// *rattanerr.Refusal.
func (r *Registry) Execute(ctx context.Context, id ID, owner Owner, sequence uint32, statement *rattanv1.Statement) (*rattanv1.Result, error) {
	t, err := r.find(id, owner)
	if err != nil {
		return nil, err
	}
	if err := t.acquire(ctx); err != nil {
		return nil, err
	}
	defer func() { t.release(r.clock.Now()) }()
	return t.execute(ctx, sequence, statement)
}

// Commit ends the transaction and returns its group and the position of the
// commit. The errors are *rattanerr.Refusal. A transaction that is not open may
// have been committed by an earlier call whose answer was lost, so that refusal
// has the run state unknown.
func (r *Registry) Commit(ctx context.Context, id ID, owner Owner, requestID string) (string, rattanmodel.Position, error) {
	t, err := r.find(id, owner)
	if err != nil {
		return "", rattanmodel.Position{}, errCommitUnknown(id, requestID)
	}
	if err := t.acquire(ctx); err != nil {
		return "", rattanmodel.Position{}, commitError(err, id, requestID)
	}
	if !t.finish() {
		return "", rattanmodel.Position{}, errCommitUnknown(id, requestID)
	}
	r.remove(t)
	position, err := t.connection.Commit(ctx, requestID)
	if err != nil {
		return "", rattanmodel.Position{}, err
	}
	return t.group, position, nil
}

// commitError turns the refusal of a call that lost its transaction into that of a commit.
func commitError(err error, id ID, requestID string) error {
	if refusal, ok := rattanerr.AsRefusal(err); ok && refusal.Reason == rattanv1.Reason_REASON_TRANSACTION_LOST {
		return errCommitUnknown(id, requestID)
	}
	return err
}

func errCommitUnknown(id ID, requestID string) error {
	return rattanerr.NewUnknown(rattanv1.Reason_REASON_TRANSACTION_LOST, requestID,
		"transaction is not open at VM %s: it was rolled back or has ended", id.VM())
}

// Rollback ends the transaction and discards its effects. A transaction that
// is not open has been rolled back already, or was committed; the error says so.
func (r *Registry) Rollback(id ID, owner Owner) error {
	t, err := r.find(id, owner)
	if err != nil {
		return err
	}
	r.end(t)
	return nil
}

// Len returns the number of open transactions.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.open) + r.pending
}

// Drain accepts no new transactions and waits until all open ones have ended.
// When ctx ends first it rolls the others back and returns their number.
func (r *Registry) Drain(ctx context.Context) int {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	const poll = 10 * time.Millisecond
	for r.Len() > 0 {
		select {
		case <-ctx.Done():
			return r.endAll()
		case <-r.clock.After(poll):
		}
	}
	return 0
}

func (r *Registry) endAll() int {
	r.mutex.Lock()
	remaining := make([]*Transaction, 0, len(r.open))
	for _, t := range r.open {
		remaining = append(remaining, t)
	}
	r.mutex.Unlock()
	for _, t := range remaining {
		r.end(t)
	}
	return len(remaining)
}
