package rattanpool

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// dispatch starts all requests that can start now and opens connections for the
// rest. It is called with the mutex held, after every change.
func (p *Pool) dispatch() {
	now := p.clock.Now()
	for more := true; more && len(p.connections.idle) > 0; {
		more = p.dispatchPin(now) || p.dispatchWork(now)
	}
	p.openAhead()
}

func (p *Pool) dispatchWork(now time.Time) bool {
	if p.inFlight >= p.inFlightLimit(now) {
		return false
	}
	w := p.work.next(now, p.work.quantum(), nil)
	if w == nil {
		return false
	}
	if p.tooLate(w, &p.work, now) {
		return true
	}
	p.inFlight++
	p.connections.busy++
	w.grant(p.connections.take())
	return true
}

func (p *Pool) dispatchPin(now time.Time) bool {
	if p.pinnedCount() >= p.limits.pinnable() {
		return false
	}
	w := p.pins.next(now, p.pins.quantum(), p.mayPin)
	if w == nil {
		return false
	}
	if p.tooLate(w, &p.pins, now) {
		return true
	}
	p.connections.granted++
	p.pinsOf[w.flow.Account]++
	w.grant(p.connections.take())
	return true
}

// pinnedCount returns the number of pinned connections, those on their way to
// the caller of Pin included.
func (p *Pool) pinnedCount() int {
	return p.connections.pinned + p.connections.granted
}

// mayPin reports whether the account may pin one more connection.
func (p *Pool) mayPin(a *account) bool {
	return p.settings.fifo || p.pinsOf[a.name] < p.limits.pinnablePerAccount()
}

// tooLate refuses a request whose deadline has passed while it waited.
func (p *Pool) tooLate(w *waiter, queue *admissionQueue, now time.Time) bool {
	if now.Before(w.deadline) {
		return false
	}
	queue.settle(w, 0)
	w.refuse(rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, minRetryAfter, "the deadline passed before the request could run"))
	return true
}

// inFlightLimit returns how many requests may run at once, pinned connections
// aside.
func (p *Pool) inFlightLimit(now time.Time) int {
	if p.settings.unlimited {
		return p.limits.Connections
	}
	return p.window.current(now, p.limits.Slots)
}
