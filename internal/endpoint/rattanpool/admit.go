package rattanpool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// defaultMaxWait stands for the deadline of a request without one.
	defaultMaxWait = 30 * time.Second
	// Bounds of the retry-after of a refusal. The lower one keeps a refused
	// caller from using more of the daemon than a served one.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// connectionRetryAfter is given when the daemon has no connection; a loan of
	// connections takes less.
	connectionRetryAfter = 100 * time.Millisecond
)

// admit waits until it is the request's turn in the queue and returns it with a connection.
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
	if !w.settled() {
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

// enqueue adds w to the queue, or returns why it is refused.
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

// unavailable returns why the pool takes no request at all now.
func (p *Pool) unavailable() *rattanerr.Refusal {
	switch {
	case p.closed:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_SHUTTING_DOWN, minRetryAfter, "the daemon is shutting down")
	case p.drained:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DRAINED, 0, "the endpoint is drained")
	case p.breaker.state != BreakerClosed:
		retryAfter := p.breaker.remaining(p.clock.Now())
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, retryAfter, "the endpoint's circuit breaker is open")
	case p.limits.Connections == 0:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, connectionRetryAfter, "the daemon has no connection to the endpoint")
	case p.connections.waiting && p.connections.usable() == 0:
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, minBackoff, "no connection to the endpoint could be opened")
	default:
		return nil
	}
}

// overloaded returns a refusal when w cannot finish before its deadline. A
// request that starts at once is never refused: it is also what corrects an
// estimate that is too high.
func (p *Pool) overloaded(w *waiter, a *account, queue *admissionQueue, now time.Time) *rattanerr.Refusal {
	if queue == &p.work && p.pinnedCount() >= p.limits.Connections {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, connectionRetryAfter, "transactions hold all connections to the endpoint")
	}
	places, free := p.places(queue, now)
	if free && queue.waiting == 0 && (queue == &p.work || p.mayPin(a)) {
		return nil
	}
	wait := queue.wait(a, places, !free)
	if queue == &p.pins && !p.mayPin(a) {
		wait = max(wait, queue.held*time.Duration(a.waiting+1)/time.Duration(p.limits.pinnablePerAccount()))
	}
	if a.waiting >= p.settings.maxQueued {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryAfter(wait), "%d requests of the client account wait", a.waiting)
	}
	if finish := now.Add(wait + a.mean); finish.Before(w.deadline) {
		return nil
	}
	if a.mean > queue.service {
		// An account whose requests are all refused would never be measured again.
		a.mean -= (a.mean - queue.service) / 2
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, retryAfter(wait),
		"the request would wait %s, past its deadline", wait.Round(time.Millisecond))
}

// places returns how many requests of the queue run at once and whether one can start now.
func (p *Pool) places(queue *admissionQueue, now time.Time) (places int, free bool) {
	if queue == &p.pins {
		places = p.limits.pinnable()
		return places, p.pinnedCount() < places
	}
	places = min(p.inFlightLimit(now), max(1, p.limits.Connections-p.pinnedCount()))
	return places, p.inFlight < places
}

func (p *Pool) await(ctx context.Context, w *waiter, queue *admissionQueue) {
	select {
	case <-w.ready:
		return
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.settled() {
		queue.remove(w, p.clock.Now(), queue.quantum())
		w.refusal = p.refuseEnded(ctx)
	}
}

// refuseEnded returns the refusal of a request that was given up by its caller
// or has passed its deadline before it could run.
func (p *Pool) refuseEnded(ctx context.Context) *rattanerr.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, minRetryAfter, "the deadline passed before the request could run")
	}
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "the request was cancelled before it could run")
}

// refuseWaiting refuses all that waits, so that callers can go elsewhere.
func (p *Pool) refuseWaiting(reason rattanv1.Reason, retryAfter time.Duration) {
	refusal := rattanerr.NewNotRun(reason, retryAfter, "the endpoint takes no new work")
	now := p.clock.Now()
	for _, queue := range []*admissionQueue{&p.work, &p.pins} {
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
