// Package rattanadmission decides which request to an endpoint gets a connection
// next, which waits and which is refused. A connection belongs to one client
// account. An endpoint accepts a limited number of connections from all daemons and
// runs only a few statements at once. The package does no locking, input or output,
// and takes the current time as an argument.
package rattanadmission

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattaninventory"
)

// smoothingFactor is the weight of a new sample in the moving average of the service
// time.
const smoothingFactor = 0.1

// initialServiceTime is the assumed service time before the first sample.
const initialServiceTime = 15 * time.Millisecond

// maxServiceSample limits one sample of the service time, so that a few requests
// without a response do not make the queue refuse all others.
const maxServiceSample = 300 * time.Millisecond

// A Waiter is a request for a connection.
type Waiter[C comparable] struct {
	// Account is the client account that the connection must belong to.
	Account string
	// Priority is 0 for the most urgent requests and rises with less urgent ones.
	Priority int
	// Objective is the time by which the response should arrive. Requests that can
	// still meet their objective go before those that cannot.
	Objective time.Time
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// Ready is closed when a waiting request gets its Assignment.
	Ready chan struct{}
	// Assignment is valid once Request has returned Assigned or Ready is closed.
	Assignment rattaninventory.Assignment[C]

	isWaiting bool
}

// A Decision is the result of a request for a connection.
type Decision int

// Decisions of Request.
const (
	// Assigned requests may use their Assignment now.
	Assigned Decision = iota + 1
	// Queued requests wait until Ready is closed.
	Queued
	// Refused requests are not expected to be answered before their deadline.
	Refused
)

// Limits are the limits of a queue.
type Limits struct {
	// Connections is the number of connections that the queue may hold.
	Connections int
	// InFlight is the number of requests that run at once.
	InFlight int
	// Idle is the number of connections that stay open without a request: 0 for
	// all of them, NoIdle for none.
	Idle int
	// ByDemand is true when there are more accounts than idle connections.
	ByDemand bool
}

// NoIdle closes each connection after its request.
const NoIdle = -1

// normalized returns usable limits: at least one connection and one request in flight,
// and Idle as a number of connections.
func (l Limits) normalized() Limits {
	l.Connections = max(l.Connections, 1)
	l.InFlight = min(max(l.InFlight, 1), l.Connections)
	switch l.Idle {
	case 0:
		l.Idle = l.Connections
	case NoIdle:
		l.Idle = 0
	}
	return l
}

// inventoryLimits returns the limits of the queue's inventory.
func (l Limits) inventoryLimits() rattaninventory.Limits {
	return rattaninventory.Limits{Connections: l.Connections, Idle: l.Idle, ByDemand: l.ByDemand}
}

// A Queue assigns the connections of this daemon to one endpoint.
type Queue[C comparable] struct {
	limits      Limits
	inventory   *rattaninventory.Inventory[C]
	waiting     []*Waiter[C]
	serviceTime time.Duration
}

// New returns a Queue with the given limits.
func New[C comparable](limits Limits) *Queue[C] {
	limits = limits.normalized()
	return &Queue[C]{
		limits: limits, inventory: rattaninventory.New[C](limits.inventoryLimits()), serviceTime: initialServiceTime,
	}
}

// SetLimits changes the limits. It returns the idle connections above a lower limit,
// which the caller must close at once.
func (q *Queue[C]) SetLimits(limits Limits, now time.Time) []C {
	q.limits = limits.normalized()
	surplus := q.inventory.SetLimits(q.limits.inventoryLimits())
	q.dispatch(now)
	return surplus
}

// Limits returns the limits.
func (q *Queue[C]) Limits() Limits { return q.limits }

// Connections returns the number of connections that are open, being opened or being
// closed.
func (q *Queue[C]) Connections() int { return q.inventory.Held() }

// Busy returns the number of connections that serve requests outside transactions.
func (q *Queue[C]) Busy() int { return q.inventory.Busy() }

// Pin reserves an assigned connection for a transaction. The connection then no longer
// counts as busy, since transactions are idle between their statements. Pin returns
// false when too many connections are pinned already.
func (q *Queue[C]) Pin(now time.Time) bool {
	if q.inventory.Pinned() >= max(q.limits.Connections-q.limits.InFlight, 1) {
		return false
	}
	q.inventory.Pin()
	q.dispatch(now)
	return true
}

// Unpin ends the reservation of a pinned connection, which the caller then releases or
// closes.
func (q *Queue[C]) Unpin() { q.inventory.Unpin() }

// Pinned returns the number of connections that are reserved for transactions.
func (q *Queue[C]) Pinned() int { return q.inventory.Pinned() }

// Waiting returns the number of waiting requests.
func (q *Queue[C]) Waiting() int { return len(q.waiting) }

// ServiceTime returns the average time that a request holds a connection.
func (q *Queue[C]) ServiceTime() time.Duration { return q.serviceTime }

// ExpectedWait returns the expected wait of a request that arrives now.
func (q *Queue[C]) ExpectedWait() time.Duration {
	if q.Busy() < q.limits.InFlight {
		return 0
	}
	return q.waitBehind(len(q.waiting))
}

// waitBehind returns the expected wait behind a number of waiting requests.
func (q *Queue[C]) waitBehind(waiting int) time.Duration {
	return q.serviceTime * time.Duration(waiting+1) / time.Duration(q.limits.InFlight)
}

// Request requests a connection. A request that is expected to wait until after its
// deadline is refused at once, so that its caller can try another endpoint.
func (q *Queue[C]) Request(w *Waiter[C], now time.Time) Decision {
	if q.assign(w, now) {
		return Assigned
	}
	if now.Add(q.waitBehind(q.countAhead(w, now))).After(w.Deadline) {
		return Refused
	}
	w.Ready = make(chan struct{})
	w.isWaiting = true
	q.waiting = append(q.waiting, w)
	return Queued
}

// countAhead returns the number of waiting requests that go before w.
func (q *Queue[C]) countAhead(w *Waiter[C], now time.Time) int {
	count := 0
	for _, other := range q.waiting {
		if !q.goesBefore(w, other, now) {
			count++
		}
	}
	return count
}

// goesBefore reports whether a goes before b: the one that can still meet its
// objective goes first, then the more urgent one. When both are equal, it returns
// false, and the one that arrived first goes first.
func (q *Queue[C]) goesBefore(a, b *Waiter[C], now time.Time) bool {
	done := now.Add(q.serviceTime)
	aLate, bLate := done.After(a.Objective), done.After(b.Objective)
	if aLate != bLate {
		return bLate
	}
	return a.Priority < b.Priority
}

// assign gives w a connection if one is available and the endpoint may run one more
// request.
func (q *Queue[C]) assign(w *Waiter[C], now time.Time) bool {
	if q.Busy() >= q.limits.InFlight {
		return false
	}
	assignment, ok := q.inventory.Take(w.Account, now)
	if ok {
		w.Assignment = assignment
	}
	return ok
}

// Cancel removes a waiting request. It returns false when the request has got an
// assignment meanwhile, which the caller must then give back.
func (q *Queue[C]) Cancel(w *Waiter[C]) bool {
	if !w.isWaiting {
		return false
	}
	w.isWaiting = false
	at := slices.Index(q.waiting, w)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Release returns a connection to the queue after a request that held it for the given
// time. If the queue now has too many connections or too many idle ones, Release returns
// one that the caller closes and reports with Closed.
func (q *Queue[C]) Release(conn C, account string, held time.Duration, now time.Time) (surplus C, ok bool) {
	q.recordServiceTime(held)
	if !q.inventory.Put(conn, account) {
		return conn, true
	}
	q.dispatch(now)
	return q.inventory.Surplus()
}

// Closed records that a connection was closed that Release has given up.
func (q *Queue[C]) Closed(now time.Time) {
	q.inventory.Closed()
	q.dispatch(now)
}

// Lost records that a connection of an account was closed while it was in use, or that
// one could not be opened.
func (q *Queue[C]) Lost(account string, now time.Time) {
	q.inventory.Lost(account)
	q.dispatch(now)
}

// Ahead assigns a connection to be opened before a request needs it, for an account whose
// next request is expected within the given time, while no request waits and a slot is
// free. The caller returns it with Opened, or reports the failure with Lost.
func (q *Queue[C]) Ahead(within time.Duration, now time.Time) (rattaninventory.Assignment[C], string, bool) {
	if len(q.waiting) > 0 || q.Busy() >= q.limits.InFlight-1 {
		return rattaninventory.Assignment[C]{}, "", false
	}
	return q.inventory.TakeAhead(within, now)
}

// Opened adds a connection that Ahead has assigned to the idle ones. If the queue now has
// too many connections, Opened returns one that the caller closes and reports with Closed.
func (q *Queue[C]) Opened(conn C, account string, now time.Time) (surplus C, ok bool) {
	if !q.inventory.Put(conn, account) {
		return conn, true
	}
	q.dispatch(now)
	return q.inventory.Surplus()
}

// TakeSome removes the given number of idle connections whose next use is expected last;
// the caller closes them.
func (q *Queue[C]) TakeSome(count int) []C { return q.inventory.TakeSome(count) }

// Idle returns the number of idle connections.
func (q *Queue[C]) Idle() int { return q.inventory.Idle() }

// TakeIdle removes all idle connections from the queue; the caller closes them.
func (q *Queue[C]) TakeIdle() []C { return q.inventory.TakeIdle() }

func (q *Queue[C]) recordServiceTime(held time.Duration) {
	q.serviceTime += time.Duration(smoothingFactor * float64(min(held, maxServiceSample)-q.serviceTime))
}

// dispatch assigns connections to waiting requests, the first in order first, while
// any are available.
func (q *Queue[C]) dispatch(now time.Time) {
	for len(q.waiting) > 0 {
		best := 0
		for i := range q.waiting {
			if q.goesBefore(q.waiting[i], q.waiting[best], now) {
				best = i
			}
		}
		w := q.waiting[best]
		if !q.assign(w, now) {
			return
		}
		q.waiting = slices.Delete(q.waiting, best, best+1)
		w.isWaiting = false
		close(w.Ready)
	}
}
