package rattanpool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// defaultMaxWait replaces the deadline of a request that has none.
	defaultMaxWait = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry-after of a refusal. The lower
	// bound keeps a refused caller from loading the daemon more than a served one.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// connectionRetryAfter is the retry-after when the daemon has no connection. A
	// loan of connections from another daemon takes less time than this.
	connectionRetryAfter = 100 * time.Millisecond
)

// admit waits until the request may start and returns it with a connection, or
// returns the refusal.
func (p *Pool) admit(ctx context.Context, flow Flow, queue *admissionQueue) (*waiter, error) {
	if err := ctx.Err(); err != nil {
		return nil, p.refuseEnded(ctx)
	}
	if p.settings.fifo {
		flow = Flow{Weight: 1}
	}
	w := &waiter{flow: flow}
	p.mu.Lock()
	if refusal := p.enqueue(ctx, w, queue); refusal != nil {
		p.mu.Unlock()
		return nil, refusal
	}
	p.dispatch()
	if !w.decided() {
		w.ready = make(chan struct{})
	}
	p.mu.Unlock()
	if w.ready != nil {
		p.await(ctx, w, queue)
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w, nil
}

// enqueue adds w to the queue, or returns the refusal.
func (p *Pool) enqueue(ctx context.Context, w *waiter, queue *admissionQueue) *rattanerr.Refusal {
	if refusal := p.unavailable(); refusal != nil {
		return refusal
	}
	now := p.clock.Now()
	w.deadline = now.Add(defaultMaxWait)
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline
	}
	a := queue.account(w.flow, now)
	w.cost = queue.estimate(a)
	if refusal := p.overloaded(w, a, queue, now); refusal != nil {
		return refusal
	}
	queue.push(a, w, now, queue.quantum())
	return nil
}

// unavailable returns a refusal while the pool accepts no requests at all, else nil.
func (p *Pool) unavailable() *rattanerr.Refusal {
	switch {
	case p.closed:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_SHUTTING_DOWN, minRetryAfter, "daemon is shutting down")
	case p.drained:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DRAINED, 0, "endpoint is drained")
	case p.breaker.state != BreakerClosed:
		retryAfter := p.breaker.remaining(p.clock.Now())
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, retryAfter, "circuit breaker of the endpoint is open")
	case p.limits.Connections == 0:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, connectionRetryAfter, "daemon has no connection to the endpoint")
	case p.connections.backingOff && p.connections.usable() == 0:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, minBackoff, "no connection to the endpoint could be opened")
	default:
		return nil
	}
}

// overloaded returns a refusal when w is not expected to finish before its
// deadline. A request that can start at once is not refused for that reason: only
// requests that run can correct an estimate that is too high.
func (p *Pool) overloaded(w *waiter, a *account, queue *admissionQueue, now time.Time) *rattanerr.Refusal {
	if queue == &p.requests && p.pinnedCount() >= p.limits.Connections {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, connectionRetryAfter, "transactions hold all connections to the endpoint")
	}
	capacity, free := p.capacity(queue, now)
	if free && queue.waiting == 0 && (queue == &p.requests || p.mayPin(a)) {
		return nil
	}
	wait := queue.wait(a, capacity, !free)
	if queue == &p.pinRequests && !p.mayPin(a) {
		wait = max(wait, queue.holdTime*time.Duration(a.waiting+1)/time.Duration(p.limits.maxPinnedPerAccount()))
	}
	if a.waiting >= p.settings.maxQueued {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryAfter(wait), "%d requests of the client account are waiting", a.waiting)
	}
	if finish := now.Add(wait + a.meanCost); finish.Before(w.deadline) {
		return nil
	}
	if a.meanCost > queue.serviceTime {
		// An account whose requests are all refused would never be measured again, so
		// each refusal moves its estimate towards the mean of the queue.
		a.meanCost -= (a.meanCost - queue.serviceTime) / 2
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryAfter(wait),
		"request would have to wait %s and miss its deadline", wait.Round(time.Millisecond))
}

// capacity returns how many requests of the queue may run at once, and whether one
// can start now.
func (p *Pool) capacity(queue *admissionQueue, now time.Time) (capacity int, free bool) {
	if queue == &p.pinRequests {
		capacity = p.limits.maxPinned()
		return capacity, p.pinnedCount() < capacity
	}
	capacity = min(p.inFlightLimit(now), max(1, p.limits.Connections-p.pinnedCount()))
	return capacity, p.inFlight < capacity
}

// await waits until w is assigned a connection or refused. If ctx ends first, it
// removes w from the queue.
func (p *Pool) await(ctx context.Context, w *waiter, queue *admissionQueue) {
	select {
	case <-w.ready:
		return
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.decided() {
		queue.remove(w, p.clock.Now(), queue.quantum())
		w.refusal = p.refuseEnded(ctx)
	}
}

// refuseEnded returns the refusal of a request that was cancelled by its caller or
// passed its deadline before it could run.
func (p *Pool) refuseEnded(ctx context.Context) *rattanerr.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, minRetryAfter, "deadline passed before the request could run")
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "request was cancelled before it could run")
}

// refuseWaiting refuses all waiting requests, so that callers can use another
// endpoint.
func (p *Pool) refuseWaiting(reason rattanv1.Reason, retryAfter time.Duration) {
	refusal := rattanerr.NewNotRun(reason, retryAfter, "endpoint accepts no new requests")
	now := p.clock.Now()
	for _, queue := range []*admissionQueue{&p.requests, &p.pinRequests} {
		for queue.current != nil {
			w := queue.current.first
			queue.remove(w, now, queue.quantum())
			w.refuse(refusal)
		}
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
