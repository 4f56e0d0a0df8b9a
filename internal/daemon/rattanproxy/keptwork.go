package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// keptIdle is how long a transaction of another daemon may rest; that daemon
	// ends those of its callers earlier.
	keptIdle = 12 * time.Second
	// orphanIdle is how long a transaction may rest whose daemon is not listed.
	orphanIdle = 3 * time.Second
	// keptInterval separates two looks for transactions that rest too long.
	keptInterval = 1 * time.Second
)

// keptWork runs statements for other daemons on the connections that this one keeps.
type keptWork struct {
	proxy *Proxy

	mu           sync.Mutex
	transactions map[string]*keptTransaction
	// ended are transactions whose end came before their begin was done.
	ended map[string]time.Time
}

type keptTransaction struct {
	mu       sync.Mutex
	held     rattanupstream.Transaction
	lastUsed time.Time
}

func newKeptWork(p *Proxy) *keptWork {
	return &keptWork{proxy: p, transactions: make(map[string]*keptTransaction), ended: make(map[string]time.Time)}
}

// handle answers a request of another daemon.
func (k *keptWork) handle(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	response := k.run(frame.GetWorkRequest())
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkResponse{WorkResponse: response}}, nil
}

func unknownWork() *rattanv1.WorkResponse {
	return &rattanv1.WorkResponse{Failure: rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN}
}

func (k *keptWork) run(request *rattanv1.WorkRequest) *rattanv1.WorkResponse {
	task := workTask(request, k.proxy.clock.Now())
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE, rattanv1.WorkKind_WORK_KIND_BEGIN:
		upstream, ok := k.proxy.endpoints.Upstream(request.GetEndpoint())
		if !ok {
			return unknownWork()
		}
		response := k.start(upstream, request, task)
		k.proxy.attachObservation(response, upstream.Endpoint().Group)
		return response
	default:
		return k.continueTransaction(request, task)
	}
}

func (k *keptWork) start(upstream *rattanupstream.Upstream, request *rattanv1.WorkRequest, task rattanupstream.StatementRequest) *rattanv1.WorkResponse {
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ:
		return encodeWork(upstream.Read(task))
	case rattanv1.WorkKind_WORK_KIND_WRITE:
		return encodeWork(upstream.Write(task))
	default:
		held, result, err := upstream.Begin(rattanupstream.Begin{
			First: task, IsReadOnly: request.GetReadsOnly(), AtPrimary: request.GetAtPrimary(),
		})
		if held != nil && !k.keep(request.GetTransaction(), held, task.Deadline) {
			held.Abort()
			return encodeWork(result, rattanupstream.ErrTimeout)
		}
		return encodeWork(result, err)
	}
}

// keep holds a transaction for the daemon that began it. It returns false when
// that daemon no longer waits for the answer or has ended the transaction already:
// nobody would end it then, and its connection would be lost for keptIdle.
func (k *keptWork) keep(name string, held rattanupstream.Transaction, deadline time.Time) bool {
	now := k.proxy.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, isEnded := k.ended[name]; isEnded || !now.Before(deadline) {
		return false
	}
	k.transactions[name] = &keptTransaction{held: held, lastUsed: now}
	return true
}

// take returns a transaction and, if it ends with the request, forgets it.
func (k *keptWork) take(name string, isEnd bool) (*keptTransaction, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.transactions[name]
	if isEnd {
		delete(k.transactions, name)
	}
	if isEnd && !ok {
		k.ended[name] = k.proxy.clock.Now()
	}
	return kept, ok
}

func (k *keptWork) continueTransaction(request *rattanv1.WorkRequest, task rattanupstream.StatementRequest) *rattanv1.WorkResponse {
	isEnd := request.GetKind() != rattanv1.WorkKind_WORK_KIND_RUN
	kept, ok := k.take(request.GetTransaction(), isEnd)
	if !ok {
		return unknownWork()
	}
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if kept.held == nil {
		return unknownWork()
	}
	kept.lastUsed = k.proxy.clock.Now()
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_RUN:
		result, err := kept.held.Run(task, task.Deadline)
		if err != nil || !result.OK() {
			k.drop(request.GetTransaction(), kept)
		}
		return encodeWork(result, err)
	case rattanv1.WorkKind_WORK_KIND_COMMIT:
		return encodeWork(kept.held.Commit(task))
	case rattanv1.WorkKind_WORK_KIND_ROLLBACK:
		kept.held.Rollback()
	default:
		kept.held.Abort()
	}
	return encodeWork(rattanstatement.Result{}, nil)
}

// drop ends a transaction that has failed; its lock is held.
func (k *keptWork) drop(name string, kept *keptTransaction) {
	kept.held.Abort()
	kept.held = nil
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.transactions, name)
}

// sweep ends the transactions that rest too long and those of daemons that have died.
func (k *keptWork) sweep(ctx context.Context) error {
	for k.proxy.sleep(ctx, keptInterval) {
		k.forgetEnded()
		incarnations := k.incarnations()
		for name, kept := range k.list() {
			limit := keptIdle
			if !incarnations[transactionOrigin(name)] {
				limit = orphanIdle
			}
			kept.mu.Lock()
			if kept.held != nil && k.proxy.clock.Now().Sub(kept.lastUsed) > limit {
				k.proxy.logger.Info("kept_transaction_idle", "transaction", name)
				k.drop(name, kept)
			}
			kept.mu.Unlock()
		}
	}
	return nil
}

// incarnations returns the daemons that are listed now.
func (k *keptWork) incarnations() map[string]bool {
	listed := make(map[string]bool)
	for _, vm := range k.proxy.cache.Snapshot().VMs {
		listed[vm.Incarnation] = true
	}
	return listed
}

func (k *keptWork) forgetEnded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, at := range k.ended {
		if k.proxy.clock.Now().Sub(at) > keptIdle {
			delete(k.ended, name)
		}
	}
}

func (k *keptWork) list() map[string]*keptTransaction {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make(map[string]*keptTransaction, len(k.transactions))
	for name, kept := range k.transactions {
		list[name] = kept
	}
	return list
}

// count returns the number of open transactions of other daemons.
func (k *keptWork) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.transactions)
}
