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
	// IdleTimeout is the time without a call after which a transaction is rolled
	// back.
	IdleTimeout time.Duration
}

// A Registry holds the open transactions that one daemon owns. It is safe for
// concurrent use.
type Registry struct {
	clock       rattanclock.Clock
	vm          string
	incarnation uint64
	limits      Limits

	mutex sync.Mutex
	// open has the open transactions by the text of their ID.
	open map[string]*Transaction
	// pending is the number of transactions that Begin is opening. They count
	// against Limits.MaxOpen.
	pending int
	// closed is true once Drain was called.
	closed bool
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

// Owns reports whether this daemon, in its current incarnation, created id.
func (r *Registry) Owns(id ID) bool {
	return id.vm == r.vm && id.incarnation == r.incarnation
}

// Begin opens a transaction on the connection that open returns. ctx is the
// lifetime of the transaction, not of the call: when ctx ends, for example because
// the key is withdrawn, the transaction is rolled back. The error is a
// *rattanerr.Refusal or the error of open.
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
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_SHUTTING_DOWN, time.Millisecond, "daemon of VM %s is shutting down", r.vm)
	}
	if len(r.open)+r.pending >= r.limits.MaxOpen {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, r.limits.IdleTimeout,
			"limit of %d open transactions is reached on VM %s", r.limits.MaxOpen, r.vm)
	}
	r.pending++
	return nil
}

func (r *Registry) unreserve() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending--
}

// watch ends t when ctx ends, its connection is lost or it is idle for longer than
// the limit.
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

// endIdle ends t and returns true, unless a call of t runs.
func (r *Registry) endIdle(t *Transaction) bool {
	select {
	case <-t.available:
		r.end(t)
		return true
	default:
		return false
	}
}

// end rolls t back, unless it has ended already.
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

// find returns the open transaction id when it belongs to owner's client account.
// The error is the same for a transaction of another client account as for an
// unknown one, so that it does not reveal which transactions are open.
func (r *Registry) find(id ID, owner Owner) (*Transaction, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t, ok := r.open[id.String()]
	if !ok || t.owner.ClientAccount != owner.ClientAccount {
		return nil, errLost(id)
	}
	return t, nil
}

// Execute runs the statement that the caller numbered sequence within the
// transaction. The errors are *rattanerr.Refusal.
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

// commitError returns err, or the refusal with unknown outcome when err says that
// the transaction is not open: an earlier call may have committed it.
func commitError(err error, id ID, requestID string) error {
	if refusal, ok := rattanerr.AsRefusal(err); ok && refusal.Reason == rattanv1.Reason_REASON_TRANSACTION_LOST {
		return errCommitUnknown(id, requestID)
	}
	return err
}

func errCommitUnknown(id ID, requestID string) error {
	return rattanerr.NewUnknown(rattanv1.Reason_REASON_TRANSACTION_LOST, requestID,
		"transaction is not open at VM %s: it was committed or rolled back", id.VM())
}

// Rollback ends the transaction and discards its effects. It returns an error when
// the transaction is not open, because it was rolled back or committed before.
func (r *Registry) Rollback(id ID, owner Owner) error {
	t, err := r.find(id, owner)
	if err != nil {
		return err
	}
	r.end(t)
	return nil
}

// Len returns the number of open transactions, with those that Begin is opening.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.open) + r.pending
}

// Drain refuses new transactions and waits until all open ones have ended. When
// ctx ends first, Drain rolls back those that are left and returns their number.
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
	// An endpoint that does not answer delays each rollback.
	var rollbacks sync.WaitGroup
	for _, t := range remaining {
		rollbacks.Go(func() { r.end(t) })
	}
	rollbacks.Wait()
	return len(remaining)
}
