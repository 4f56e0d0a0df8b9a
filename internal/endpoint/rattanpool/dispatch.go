package rattanpool

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// dispatch starts all requests that can start now and opens connections for the
// rest. It must be called with the mutex held after every change that may let a
// request start.
func (p *Pool) dispatch() {
	now := p.clock.Now()
	for more := true; more && len(p.connections.idle) > 0; {
		more = p.dispatchPin(now) || p.dispatchRequest(now)
	}
	p.openAhead()
}

func (p *Pool) dispatchRequest(now time.Time) bool {
	if p.inFlight >= p.inFlightLimit(now) {
		return false
	}
	w := p.requests.next(now, p.requests.quantum(), nil)
	if w == nil {
		return false
	}
	if p.refuseExpired(w, &p.requests, now) {
		return true
	}
	p.inFlight++
	p.connections.busy++
	w.assign(p.connections.takeIdle())
	return true
}

func (p *Pool) dispatchPin(now time.Time) bool {
	if p.pinnedCount() >= p.limits.maxPinned() {
		return false
	}
	w := p.pinRequests.next(now, p.pinRequests.quantum(), p.mayPin)
	if w == nil {
		return false
	}
	if p.refuseExpired(w, &p.pinRequests, now) {
		return true
	}
	p.connections.assigned++
	p.pinnedByAccount[w.flow.Account]++
	w.assign(p.connections.takeIdle())
	return true
}

// pinnedCount returns the number of pinned connections, including those that the
// caller of Pin has not received yet.
func (p *Pool) pinnedCount() int {
	return p.connections.pinned + p.connections.assigned
}

// mayPin reports whether the account may pin one more connection.
func (p *Pool) mayPin(a *account) bool {
	return p.settings.fifo || p.pinnedByAccount[a.name] < p.limits.maxPinnedPerAccount()
}

// refuseExpired refuses w if its deadline passed while it waited, and reports
// whether it did.
func (p *Pool) refuseExpired(w *waiter, queue *admissionQueue, now time.Time) bool {
	if now.Before(w.deadline) {
		return false
	}
	queue.reconcile(w, 0)
	w.refuse(rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, minRetryAfter, "deadline passed before the request could run"))
	return true
}

// inFlightLimit returns how many requests may run at once, not counting those on
// pinned connections.
func (p *Pool) inFlightLimit(now time.Time) int {
	if p.settings.unlimited {
		return p.limits.Connections
	}
	return p.window.current(now, p.limits.Slots)
}
