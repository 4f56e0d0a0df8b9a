// Package rattaninventory keeps account of the connections of this daemon to one
// endpoint: which are open, which are idle and for which client account, and which
// one is closed to make room for another. An endpoint accepts a limited number of
// connections from all daemons, and a connection belongs to one client account. The
// package does no locking, input or output, and takes the current time as an argument.
package rattaninventory

import (
	"slices"
	"time"
)

// Limits are the limits of an Inventory.
type Limits struct {
	// Connections is the number of connections that may be held.
	Connections int
	// Idle is the number of connections that stay open without a request.
	Idle int
	// ByDemand is true when there are more accounts than idle connections. The
	// connection whose next use is expected last then makes room for another one,
	// instead of the least recently used.
	ByDemand bool
}

// An Assignment is the connection that a request may use.
type Assignment[C comparable] struct {
	// Conn is an open connection of the account. The zero value means that the
	// caller opens a new one, which the inventory counts already.
	Conn C
	// Evict is a connection of another account that the caller closes before it
	// opens the new one, or the zero value.
	Evict C
}

type idleConn[C comparable] struct {
	conn    C
	account string
}

// An Inventory counts the connections of this daemon to one endpoint.
type Inventory[C comparable] struct {
	limits Limits
	// held counts connections that are open, being opened or being closed.
	held int
	// pinned counts connections that are reserved for open transactions.
	pinned int
	// idle is ordered by last use, the least recently used first.
	idle   []idleConn[C]
	demand *demand
}

// New returns an empty Inventory with the given limits.
func New[C comparable](limits Limits) *Inventory[C] {
	return &Inventory[C]{limits: limits, demand: newDemand()}
}

// SetLimits changes the limits. It returns the idle connections above a lower limit,
// which the caller must close at once: the endpoint counts them until then, and the
// daemon that they are now meant for could not open any. Busy connections above the
// limit are returned by Put when they become free.
func (i *Inventory[C]) SetLimits(limits Limits) []C {
	i.limits = limits
	var surplus []C
	for len(i.idle) > 0 && (i.held > i.limits.Connections || len(i.idle) > i.limits.Idle) {
		surplus = append(surplus, i.takeLast())
		i.held--
	}
	return surplus
}

// Held returns the number of connections that are open, being opened or being closed.
func (i *Inventory[C]) Held() int { return i.held }

// Idle returns the number of idle connections.
func (i *Inventory[C]) Idle() int { return len(i.idle) }

// Busy returns the number of connections that serve requests outside transactions.
func (i *Inventory[C]) Busy() int { return i.held - len(i.idle) - i.pinned }

// Pinned returns the number of connections that are reserved for transactions.
func (i *Inventory[C]) Pinned() int { return i.pinned }

// Pin reserves an assigned connection for a transaction. The connection then no longer
// counts as busy, since transactions are idle between their statements.
func (i *Inventory[C]) Pin() { i.pinned++ }

// Unpin ends the reservation of a pinned connection, which the caller then returns or
// closes.
func (i *Inventory[C]) Unpin() { i.pinned-- }

// Take assigns a connection to a request of an account: an idle one of the account, else
// a new one, else a new one that replaces an idle one of another account. It returns
// false when all connections are in use.
func (i *Inventory[C]) Take(account string, now time.Time) (Assignment[C], bool) {
	assignment, ok := i.take(account)
	if ok {
		i.demand.record(account, now)
	}
	return assignment, ok
}

func (i *Inventory[C]) take(account string) (Assignment[C], bool) {
	for at := len(i.idle) - 1; at >= 0; at-- {
		if i.idle[at].account == account {
			conn := i.idle[at].conn
			i.idle = slices.Delete(i.idle, at, at+1)
			return Assignment[C]{Conn: conn}, true
		}
	}
	if i.held < i.limits.Connections {
		i.held++
		return Assignment[C]{}, true
	}
	if len(i.idle) > 0 {
		return Assignment[C]{Evict: i.takeLast()}, true
	}
	return Assignment[C]{}, false
}

// TakeAhead assigns a new connection for an account that has none and whose next request
// is expected within the given time, the most active account first. A connection that it
// replaces is one whose next use is expected later. It returns false when there is no such
// account or no place. The caller opens the connection and returns it with Put, or reports
// the failure with Lost.
func (i *Inventory[C]) TakeAhead(within time.Duration, now time.Time) (Assignment[C], string, bool) {
	if !i.limits.ByDemand || i.limits.Idle <= 0 {
		return Assignment[C]{}, "", false
	}
	isIdle := make(map[string]bool, len(i.idle))
	for _, idle := range i.idle {
		isIdle[idle.account] = true
	}
	account, rate, ok := i.demand.mostWanted(isIdle)
	if !ok || i.demand.interval(rate, now) > within {
		return Assignment[C]{}, "", false
	}
	var assignment Assignment[C]
	if i.held >= i.limits.Connections || len(i.idle) >= i.limits.Idle {
		at, lowest := i.expectedLast()
		if at < 0 || lowest*evictionFactor >= rate {
			return Assignment[C]{}, "", false
		}
		assignment.Evict = i.takeIdle(at)
	} else {
		i.held++
	}
	i.demand.use(account)
	return assignment, account, true
}

// Put returns a connection after use. It returns false when the inventory holds more
// connections than its limit: the caller then closes the connection and reports that
// with Closed.
func (i *Inventory[C]) Put(conn C, account string) bool {
	i.demand.release(account)
	if i.held > i.limits.Connections {
		return false
	}
	i.idle = append(i.idle, idleConn[C]{conn: conn, account: account})
	return true
}

// Surplus returns an idle connection above the limit of idle ones, if there is any. The
// caller closes it and reports that with Closed.
func (i *Inventory[C]) Surplus() (conn C, ok bool) {
	if len(i.idle) <= i.limits.Idle {
		return conn, false
	}
	return i.takeLast(), true
}

// Closed records that a connection was closed that Put or Surplus has given up.
func (i *Inventory[C]) Closed() { i.held-- }

// Lost records that a connection of an account was closed while it was in use, or that
// it could not be opened.
func (i *Inventory[C]) Lost(account string) {
	i.demand.release(account)
	i.held--
}

// TakeIdle removes all idle connections; the caller closes them.
func (i *Inventory[C]) TakeIdle() []C { return i.TakeSome(len(i.idle)) }

// TakeSome removes the given number of idle connections whose next use is expected last;
// the caller closes them.
func (i *Inventory[C]) TakeSome(count int) []C {
	conns := make([]C, 0, count)
	for range min(count, len(i.idle)) {
		conns = append(conns, i.takeLast())
	}
	i.held -= len(conns)
	return conns
}

// takeLast removes the idle connection whose next use is expected last, or the least
// recently used one while there are enough connections for all accounts.
func (i *Inventory[C]) takeLast() C {
	at := 0
	if i.limits.ByDemand {
		at, _ = i.expectedLast()
	}
	return i.takeIdle(at)
}

func (i *Inventory[C]) takeIdle(at int) C {
	conn := i.idle[at].conn
	i.idle = slices.Delete(i.idle, at, at+1)
	return conn
}

// expectedLast returns the index of the idle connection whose next use is expected last,
// and the weight of its uses. Among the connections of one account that is the least
// recently used one, since Take assigns the others before it. Of several equal ones it
// returns the least recently used. It returns -1 when none is idle.
func (i *Inventory[C]) expectedLast() (int, float64) {
	count := make(map[string]int, len(i.idle))
	for _, idle := range i.idle {
		count[idle.account]++
	}
	last, lowest := -1, 0.0
	for at, idle := range i.idle {
		if count[idle.account] == 0 {
			continue
		}
		weight := i.demand.weight(idle.account, count[idle.account])
		count[idle.account] = 0
		if last < 0 || weight < lowest {
			last, lowest = at, weight
		}
	}
	return last, lowest
}

const (
	// AheadInterval separates two connections that are opened ahead of demand: a new
	// connection takes a slot for 12 ms at the users' endpoints.
	AheadInterval = 50 * time.Millisecond
	// AheadWithin is the time within which an account's next request must be expected
	// for a connection to be opened ahead of it.
	AheadWithin = 2 * time.Second
)
