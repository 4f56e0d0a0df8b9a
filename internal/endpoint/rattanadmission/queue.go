// Package rattanadmission decides which request to an endpoint gets a connection
// next, which waits and which is refused. A connection belongs to one client
// account, and an endpoint accepts a limited number of them from all daemons and
// runs a few statements at once. The package holds no lock, does no input or
// output and takes the time as an argument.
package rattanadmission

import (
	"slices"
	"time"
)

// smoothing is the weight of a new measurement in the mean time of a request.
const smoothing = 0.1

// initialService is the assumed time of a request before any was measured.
const initialService = 15 * time.Millisecond

// maxMeasured bounds one measurement, so that a few requests without an answer
// do not make the queue refuse everything.
const maxMeasured = 300 * time.Millisecond

// A Waiter is a request for a connection.
type Waiter[C comparable] struct {
	// Account is the client account that the connection must belong to.
	Account string
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is until when an answer is in time; requests that can still be
	// in time go before those that cannot.
	Objective time.Time
	// Deadline is until when an answer is of any use.
	Deadline time.Time
	// Ready is closed when a waiting request gets its Assignment.
	Ready chan struct{}
	// Assignment is valid once the request is granted.
	Assignment Assignment[C]

	isWaiting bool
}

// An Assignment says which connection a request uses.
type Assignment[C comparable] struct {
	// Conn is an open connection of the account; the zero value means that a
	// new one is to be opened, for which a place is reserved.
	Conn C
	// Evict is a connection of another account that is to be closed first, or
	// the zero value.
	Evict C
}

// An Decision says what becomes of a request.
type Decision int

// The outcomes.
const (
	// Assigned requests have their assignment.
	Assigned Decision = iota + 1
	// Queued requests wait until Granted is closed.
	Queued
	// Refused requests could not be answered before their deadline.
	Refused
)

// Limits bound a queue.
type Limits struct {
	// Connections is the number of connections that the queue may hold.
	Connections int
	// InFlight is the number of requests that run at once.
	InFlight int
	// Idle is the number of connections that stay open without a request: 0 for
	// all of them, NoIdle for none.
	Idle int
}

// NoIdle closes each connection after its request.
const NoIdle = -1

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

type idleConn[C comparable] struct {
	conn    C
	account string
}

// A Queue shares the connections of this daemon to one endpoint.
type Queue[C comparable] struct {
	limits Limits
	// held counts connections that are open, being opened or being closed.
	held int
	// pinned counts connections that belong to open transactions.
	pinned int
	// idle is ordered by last use, the longest unused first.
	idle    []idleConn[C]
	waiting []*Waiter[C]
	service time.Duration
}

// New returns a Queue with the given limits.
func New[C comparable](limits Limits) *Queue[C] {
	return &Queue[C]{limits: limits.normalized(), service: initialService}
}

// SetLimits changes the limits. It returns the idle connections above a lower
// limit, which the caller closes at once: the endpoint counts them until then, and
// the daemon that may have them now could open none. Busy ones are closed as they
// become free.
func (l *Queue[C]) SetLimits(limits Limits, now time.Time) []C {
	l.limits = limits.normalized()
	var surplus []C
	for len(l.idle) > 0 && (l.held > l.limits.Connections || len(l.idle) > l.limits.Idle) {
		surplus = append(surplus, l.idle[0].conn)
		l.idle = slices.Delete(l.idle, 0, 1)
		l.held--
	}
	l.dispatch(now)
	return surplus
}

// Limits returns the limits.
func (l *Queue[C]) Limits() Limits { return l.limits }

// Connections returns the number of connections.
func (l *Queue[C]) Connections() int { return l.held }

// Busy returns the number of connections that serve single requests.
func (l *Queue[C]) Busy() int { return l.held - len(l.idle) - l.pinned }

// Pin gives a granted connection to a transaction. It then no longer counts as
// busy, since transactions rest between their statements. It returns false when
// too many connections belong to transactions.
func (l *Queue[C]) Pin(now time.Time) bool {
	if l.pinned >= max(l.limits.Connections-l.limits.InFlight, 1) {
		return false
	}
	l.pinned++
	l.dispatch(now)
	return true
}

// Unpin ends the pin of a connection, which is then released or closed.
func (l *Queue[C]) Unpin() { l.pinned-- }

// Pinned returns the number of connections that belong to transactions.
func (l *Queue[C]) Pinned() int { return l.pinned }

// Waiting returns the number of waiting requests.
func (l *Queue[C]) Waiting() int { return len(l.waiting) }

// ServiceTime returns the mean time that a request holds a connection.
func (l *Queue[C]) ServiceTime() time.Duration { return l.service }

// ExpectedWait returns the expected wait of a request that arrives now.
func (l *Queue[C]) ExpectedWait() time.Duration {
	if l.Busy() < l.limits.InFlight {
		return 0
	}
	return l.behind(len(l.waiting))
}

// behind returns the expected wait behind a number of waiting requests.
func (l *Queue[C]) behind(waiting int) time.Duration {
	return l.service * time.Duration(waiting+1) / time.Duration(l.limits.InFlight)
}

// Request asks for a connection. A request that would get its answer after its
// deadline is refused at once, so that its caller can go elsewhere.
func (l *Queue[C]) Request(w *Waiter[C], now time.Time) Decision {
	if l.assign(w) {
		return Assigned
	}
	if now.Add(l.behind(l.ahead(w, now))).After(w.Deadline) {
		return Refused
	}
	w.Ready = make(chan struct{})
	w.isWaiting = true
	l.waiting = append(l.waiting, w)
	return Queued
}

// ahead counts the waiting requests that go before w.
func (l *Queue[C]) ahead(w *Waiter[C], now time.Time) int {
	count := 0
	for _, other := range l.waiting {
		if !l.less(w, other, now) {
			count++
		}
	}
	return count
}

// less reports whether a goes before b: what can still be in time goes first,
// then the more urgent, then the one that arrived first.
func (l *Queue[C]) less(a, b *Waiter[C], now time.Time) bool {
	done := now.Add(l.service)
	aLate, bLate := done.After(a.Objective), done.After(b.Objective)
	if aLate != bLate {
		return bLate
	}
	return a.Priority < b.Priority
}

// assign gives w a connection if one is free: one of its account, else a new
// one, else the place of the longest unused one of another account.
func (l *Queue[C]) assign(w *Waiter[C]) bool {
	if l.Busy() >= l.limits.InFlight {
		return false
	}
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].account == w.Account {
			w.Assignment = Assignment[C]{Conn: l.idle[i].conn}
			l.idle = slices.Delete(l.idle, i, i+1)
			return true
		}
	}
	if l.held < l.limits.Connections {
		l.held++
		w.Assignment = Assignment[C]{}
		return true
	}
	if len(l.idle) > 0 {
		w.Assignment = Assignment[C]{Evict: l.idle[0].conn}
		l.idle = slices.Delete(l.idle, 0, 1)
		return true
	}
	return false
}

// Cancel takes a waiting request out. It returns false when the request has
// been granted meanwhile; its assignment must then be given back.
func (l *Queue[C]) Cancel(w *Waiter[C]) bool {
	if !w.isWaiting {
		return false
	}
	w.isWaiting = false
	at := slices.Index(l.waiting, w)
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return true
}

// Release takes a connection back after a request that held it for a time. It
// returns a connection that is to be closed, if any, because the queue holds too
// many or too many idle ones; the caller then calls Closed.
func (l *Queue[C]) Release(conn C, account string, held time.Duration, now time.Time) (surplus C, ok bool) {
	l.measure(held)
	if l.held > l.limits.Connections {
		return conn, true
	}
	l.idle = append(l.idle, idleConn[C]{conn: conn, account: account})
	l.dispatch(now)
	if len(l.idle) <= l.limits.Idle {
		return surplus, false
	}
	surplus = l.idle[0].conn
	l.idle = slices.Delete(l.idle, 0, 1)
	return surplus, true
}

// Closed says that a connection is gone, or that one could not be opened.
func (l *Queue[C]) Closed(now time.Time) {
	l.held--
	l.dispatch(now)
}

// TakeIdle empties the list of idle connections; the caller closes them.
func (l *Queue[C]) TakeIdle() []C {
	conns := make([]C, 0, len(l.idle))
	for _, idle := range l.idle {
		conns = append(conns, idle.conn)
	}
	l.held -= len(conns)
	l.idle = nil
	return conns
}

func (l *Queue[C]) measure(held time.Duration) {
	l.service += time.Duration(smoothing * float64(min(held, maxMeasured)-l.service))
}

func (l *Queue[C]) dispatch(now time.Time) {
	for len(l.waiting) > 0 {
		best := 0
		for i := range l.waiting {
			if l.less(l.waiting[i], l.waiting[best], now) {
				best = i
			}
		}
		w := l.waiting[best]
		if !l.assign(w) {
			return
		}
		l.waiting = slices.Delete(l.waiting, best, best+1)
		w.isWaiting = false
		close(w.Ready)
	}
}
