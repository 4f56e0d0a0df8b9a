// Package rattaninventory keeps account of the connections of this daemon to one
// endpoint: which are open, which are idle and for which client account, and which
// one is closed to make room for another. An endpoint accepts a limited number of
// connections from all daemons, and a connection belongs to one client account. The
// package does no locking, input or output.
package rattaninventory

import "slices"

// Limits are the limits of an Inventory.
type Limits struct {
	// Connections is the number of connections that may be held.
	Connections int
	// Idle is the number of connections that stay open without a request.
	Idle int
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
	idle []idleConn[C]
}

// New returns an empty Inventory with the given limits.
func New[C comparable](limits Limits) *Inventory[C] {
	return &Inventory[C]{limits: limits}
}

// SetLimits changes the limits. It returns the idle connections above a lower limit,
// which the caller must close at once: the endpoint counts them until then, and the
// daemon that they are now meant for could not open any. Busy connections above the
// limit are returned by Put when they become free.
func (i *Inventory[C]) SetLimits(limits Limits) []C {
	i.limits = limits
	var surplus []C
	for len(i.idle) > 0 && (i.held > i.limits.Connections || len(i.idle) > i.limits.Idle) {
		surplus = append(surplus, i.takeOldest())
		i.held--
	}
	return surplus
}

// Held returns the number of connections that are open, being opened or being closed.
func (i *Inventory[C]) Held() int { return i.held }

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
// a new one, else a new one that replaces the least recently used one of another account.
// It returns false when all connections are in use.
func (i *Inventory[C]) Take(account string) (Assignment[C], bool) {
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
		return Assignment[C]{Evict: i.takeOldest()}, true
	}
	return Assignment[C]{}, false
}

// Put returns a connection after use. It returns false when the inventory holds more
// connections than its limit: the caller then closes the connection and reports that
// with Closed.
func (i *Inventory[C]) Put(conn C, account string) bool {
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
	return i.takeOldest(), true
}

// Closed records that a connection was closed, or that one could not be opened.
func (i *Inventory[C]) Closed() { i.held-- }

// TakeIdle removes all idle connections; the caller closes them.
func (i *Inventory[C]) TakeIdle() []C {
	conns := make([]C, 0, len(i.idle))
	for _, idle := range i.idle {
		conns = append(conns, idle.conn)
	}
	i.held -= len(conns)
	i.idle = nil
	return conns
}

func (i *Inventory[C]) takeOldest() C {
	oldest := i.idle[0].conn
	i.idle = slices.Delete(i.idle, 0, 1)
	return oldest
}
