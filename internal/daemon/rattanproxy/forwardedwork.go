package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanstop"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// forwardedIdleTimeout is how long a transaction of another daemon may stay
	// idle. That daemon ends its callers' idle transactions earlier.
	forwardedIdleTimeout = 12 * time.Second
	// orphanIdleTimeout is how long a transaction may stay idle whose daemon is
	// unregistered.
	orphanIdleTimeout = 3 * time.Second
	// commitAnswerTime is how long an endpoint may take for a commit, and is well above the
	// usual time.
	commitAnswerTime = 300 * time.Millisecond
	// idleCheckInterval separates two checks for idle transactions.
	idleCheckInterval = 1 * time.Second
)

// forwardedWork runs statements for other daemons on the connections that this
// daemon owns.
type forwardedWork struct {
	proxy *Proxy

	mu           sync.Mutex
	transactions map[string]*forwardedTransaction
	// ended holds the transactions whose end arrived before their begin had
	// finished, with the time of the end.
	ended map[string]time.Time
	// startedAt is when the last statement or transaction at an endpoint arrived, by id
	// of the endpoint.
	startedAt map[string]time.Time
	// running counts the requests in progress.
	running int
	// isClosing is true once no request is run any more; idle is closed when none is in
	// progress then.
	isClosing bool
	idle      chan struct{}
}

// A forwardedTransaction is an open transaction of another daemon. Its field
// transaction is nil once it has ended.
type forwardedTransaction struct {
	mu          sync.Mutex
	transaction rattanupstream.Transaction
	lastUsed    time.Time
}

func newForwardedWork(p *Proxy) *forwardedWork {
	return &forwardedWork{
		proxy: p, transactions: make(map[string]*forwardedTransaction), ended: make(map[string]time.Time),
		startedAt: make(map[string]time.Time), idle: make(chan struct{}),
	}
}

// handle runs a request that another daemon has forwarded.
func (f *forwardedWork) handle(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	begun := f.proxy.boot.Now()
	response := unknownWorkResponse()
	if f.begin(frame.GetWorkRequest()) {
		defer f.finish()
		response = f.run(frame.GetWorkRequest())
	}
	trimLoad(response, f.proxy.registration.incarnation)
	response.TookUs = uint32(f.proxy.boot.Now().Sub(begun).Microseconds())
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkResponse{WorkResponse: response}}, nil
}

// begin reports whether a request is to be run. Then finish must be called.
func (f *forwardedWork) begin(request *rattanv1.WorkRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosing {
		return false
	}
	f.running++
	f.startedAt[request.GetEndpoint()] = f.proxy.clock.Now()
	return true
}

func (f *forwardedWork) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	if f.isClosing && f.running == 0 {
		close(f.idle)
	}
}

// beginClosing makes all further requests be answered as not run.
func (f *forwardedWork) beginClosing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosing {
		return
	}
	f.isClosing = true
	if f.running == 0 {
		close(f.idle)
	}
}

// wait waits until the requests in progress when closing began have ended, and rolls back
// the transactions that are open then. It returns ctx's error when ctx ends earlier.
func (f *forwardedWork) wait(ctx context.Context) error {
	select {
	case <-f.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	for name, forwarded := range f.list() {
		f.end(name, forwarded)
	}
	return nil
}

// end drops a transaction unless that has been done.
func (f *forwardedWork) end(name string, forwarded *forwardedTransaction) {
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if forwarded.transaction != nil {
		f.drop(name, forwarded)
	}
}

// idleTime returns how long ago the last request for an endpoint arrived.
func (f *forwardedWork) idleTime(endpoint string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proxy.clock.Now().Sub(f.startedAt[endpoint])
}

// isIdle reports whether no request of another daemon is in progress and no transaction
// of one is open.
func (f *forwardedWork) isIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running == 0 && len(f.transactions) == 0
}

// runningCount returns the number of requests in progress.
func (f *forwardedWork) runningCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

func unknownWorkResponse() *rattanv1.WorkResponse {
	return &rattanv1.WorkResponse{Failure: rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN}
}

func (f *forwardedWork) run(request *rattanv1.WorkRequest) *rattanv1.WorkResponse {
	if !isWholeRequest(request) {
		f.proxy.observeUntrustedRequest(request)
		return unknownWorkResponse()
	}
	now, schedule := f.proxy.clock.Now(), f.proxy.stopSchedule.Load()
	statement := decodeWorkRequest(request, now)
	statement.Deadline = schedule.LimitDeadline(statement.Deadline)
	if !takes(schedule, request.GetKind(), now) {
		return f.refuse(request)
	}
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE, rattanv1.WorkKind_WORK_KIND_BEGIN:
		upstream, ok := f.proxy.endpoints.Upstream(request.GetEndpoint())
		if !ok {
			return unknownWorkResponse()
		}
		response := f.start(upstream, request, statement)
		f.observePosition(upstream, response)
		f.proxy.attachObservation(response, upstream.Endpoint())
		f.proxy.loads.attach(response, upstream)
		return response
	default:
		response := f.continueTransaction(request, statement)
		if upstream, ok := f.proxy.endpoints.Upstream(request.GetEndpoint()); ok {
			f.proxy.loads.attach(response, upstream)
		}
		return response
	}
}

// takes reports whether a request of a kind is still run during a stop. A statement that
// needs nothing of this daemon's is not: the other daemon sends it elsewhere, while here the
// end may come before the answer. A commit is taken while there is time for its answer.
func takes(schedule *rattanstop.Schedule, kind rattanv1.WorkKind, now time.Time) bool {
	switch kind {
	case rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE, rattanv1.WorkKind_WORK_KIND_BEGIN, rattanv1.WorkKind_WORK_KIND_RUN:
		return schedule.TakesStatements(now)
	case rattanv1.WorkKind_WORK_KIND_COMMIT:
		return schedule.TakesCommits(now.Add(commitAnswerTime))
	default:
		return true
	}
}

// refuse answers a request as not run, and rolls back the transaction that it belongs to.
func (f *forwardedWork) refuse(request *rattanv1.WorkRequest) *rattanv1.WorkResponse {
	if request.GetTransaction() == "" {
		return unknownWorkResponse()
	}
	if forwarded, ok := f.take(request.GetTransaction(), true); ok {
		f.end(request.GetTransaction(), forwarded)
	}
	return unknownWorkResponse()
}

// observePosition records the position in the answer of an endpoint, if there was one.
func (f *forwardedWork) observePosition(upstream *rattanupstream.Upstream, response *rattanv1.WorkResponse) {
	endpoint := upstream.Endpoint()
	f.proxy.endpoints.Replicas().Observe(endpoint.ID, endpoint.StartedUnixMS,
		rattanmodel.PositionFromWire(response.GetPosition()), f.proxy.boot.Now())
}

func (f *forwardedWork) start(upstream *rattanupstream.Upstream, request *rattanv1.WorkRequest, statement rattanupstream.StatementRequest) *rattanv1.WorkResponse {
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ:
		return encodeWorkResponse(upstream.Read(statement))
	case rattanv1.WorkKind_WORK_KIND_WRITE:
		return encodeWorkResponse(upstream.Write(statement))
	default:
		transaction, result, err := upstream.Begin(rattanupstream.Begin{
			First: statement, IsReadOnly: request.GetReadsOnly(), AtPrimary: request.GetAtPrimary(),
		})
		if transaction != nil && !f.keep(request.GetTransaction(), transaction, statement.Deadline) {
			transaction.Abort()
			return encodeWorkResponse(result, rattanupstream.ErrTimeout)
		}
		return encodeWorkResponse(result, err)
	}
}

// keep stores a transaction for the daemon that began it. It returns false when
// that daemon no longer waits for the response or has already ended the
// transaction: otherwise nobody would end it, and its connection would be lost
// for forwardedIdleTimeout.
func (f *forwardedWork) keep(name string, transaction rattanupstream.Transaction, deadline time.Time) bool {
	now := f.proxy.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, isEnded := f.ended[name]; isEnded || !now.Before(deadline) {
		return false
	}
	f.transactions[name] = &forwardedTransaction{transaction: transaction, lastUsed: now}
	return true
}

// take returns a transaction and removes it if the request ends it.
func (f *forwardedWork) take(name string, isEnd bool) (*forwardedTransaction, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	forwarded, ok := f.transactions[name]
	if isEnd {
		delete(f.transactions, name)
	}
	if isEnd && !ok {
		f.ended[name] = f.proxy.clock.Now()
	}
	return forwarded, ok
}

func (f *forwardedWork) continueTransaction(request *rattanv1.WorkRequest, statement rattanupstream.StatementRequest) *rattanv1.WorkResponse {
	isEnd := request.GetKind() != rattanv1.WorkKind_WORK_KIND_RUN
	forwarded, ok := f.take(request.GetTransaction(), isEnd)
	if !ok {
		return unknownWorkResponse()
	}
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if forwarded.transaction == nil {
		return unknownWorkResponse()
	}
	forwarded.lastUsed = f.proxy.clock.Now()
	if isEnd {
		// Once it has ended, its connection may serve another transaction.
		transaction := forwarded.transaction
		forwarded.transaction = nil
		return endTransaction(transaction, request.GetKind(), statement)
	}
	result, err := forwarded.transaction.Run(statement, statement.Deadline)
	forwarded.lastUsed = f.proxy.clock.Now()
	if err != nil || !result.OK() {
		f.drop(request.GetTransaction(), forwarded)
	}
	return encodeWorkResponse(result, err)
}

// endTransaction ends a transaction as a request asks for.
func endTransaction(transaction rattanupstream.Transaction, kind rattanv1.WorkKind, statement rattanupstream.StatementRequest) *rattanv1.WorkResponse {
	switch kind {
	case rattanv1.WorkKind_WORK_KIND_COMMIT:
		return encodeWorkResponse(transaction.Commit(statement))
	case rattanv1.WorkKind_WORK_KIND_ROLLBACK:
		transaction.Rollback()
	default:
		transaction.Abort()
	}
	return encodeWorkResponse(rattanstatement.Result{}, nil)
}

// drop aborts and removes a failed or idle transaction; the caller holds
// forwarded.mu.
func (f *forwardedWork) drop(name string, forwarded *forwardedTransaction) {
	forwarded.transaction.Abort()
	forwarded.transaction = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.transactions, name)
}

// endIdle ends the transactions that are idle for too long, sooner those of
// daemons that have ended.
func (f *forwardedWork) endIdle(ctx context.Context) error {
	for f.proxy.sleep(ctx, idleCheckInterval) {
		f.forgetEnded()
		incarnations := f.incarnations()
		for name, forwarded := range f.list() {
			limit := forwardedIdleTimeout
			if !incarnations[transactionOrigin(name)] {
				limit = orphanIdleTimeout
			}
			f.endIfIdle(name, forwarded, limit)
		}
	}
	return nil
}

// endIfIdle ends a transaction that is idle for longer than limit.
func (f *forwardedWork) endIfIdle(name string, forwarded *forwardedTransaction, limit time.Duration) {
	forwarded.mu.Lock()
	defer forwarded.mu.Unlock()
	if forwarded.transaction != nil && f.proxy.clock.Now().Sub(forwarded.lastUsed) > limit {
		f.proxy.logger.Info("kept_transaction_idle", "transaction", name)
		f.drop(name, forwarded)
	}
}

// incarnations returns the registered daemons.
func (f *forwardedWork) incarnations() map[string]bool {
	registered := make(map[string]bool)
	for _, vm := range f.proxy.cache.Snapshot().VMs {
		registered[vm.Incarnation] = true
	}
	return registered
}

func (f *forwardedWork) forgetEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, at := range f.ended {
		if f.proxy.clock.Now().Sub(at) > forwardedIdleTimeout {
			delete(f.ended, name)
		}
	}
	for endpoint, at := range f.startedAt {
		if f.proxy.clock.Now().Sub(at) > forwardedIdleTimeout {
			delete(f.startedAt, endpoint)
		}
	}
}

func (f *forwardedWork) list() map[string]*forwardedTransaction {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make(map[string]*forwardedTransaction, len(f.transactions))
	for name, forwarded := range f.transactions {
		list[name] = forwarded
	}
	return list
}

// count returns the number of open transactions of other daemons.
func (f *forwardedWork) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.transactions)
}
