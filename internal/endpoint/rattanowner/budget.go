package rattanowner

import "time"

// A ConnectionBudget divides the connections that an endpoint accepts.
type ConnectionBudget struct {
	// MaxConnections is the number of connections that the endpoint accepts.
	MaxConnections int
	// Slots is the number of statements that the endpoint runs at once.
	Slots int
	// Accounts is the number of client accounts. A connection belongs to one of them.
	Accounts int
}

const (
	// reservePercent is the part of the connections that stays free for control
	// requests and for connections that are being closed.
	reservePercent = 12
	// fallbackPercent is the part of the connections for daemons that cannot reach
	// the owner.
	fallbackPercent = 15
	// scarceReservePercent is reservePercent where connections are scarce: room for a
	// probe, the requests of a failover leader and three connections that are being
	// closed while others open.
	scarceReservePercent = 8
	// takeoverTransactionsPercent is the part of the connections for the open
	// transactions of a new owner, besides the statements in flight, and
	// minTakeoverTransactions the least number of them.
	takeoverTransactionsPercent = 6
	minTakeoverTransactions     = 2
	// fallbackConnections is how many connections a daemon may have while it cannot
	// reach the owner.
	fallbackConnections = 2
	// minOwnerConnections is the minimum number of connections of the owner.
	minOwnerConnections = 4
	// queuedAtEndpoint is how many statements may wait at the endpoint, so that
	// its slots stay busy between a response and the next statement.
	queuedAtEndpoint = 1
)

// DarkConnectionTime is how long an endpoint counts the connections of a daemon that no
// longer answers, as for instance after the VM lost power.
const DarkConnectionTime = 3 * time.Second

// IsScarce reports whether there are more accounts than connections that an owner could
// keep idle without knowing when its predecessor's are closed.
func (b ConnectionBudget) IsScarce() bool { return b.Accounts > b.cautiousIdle() }

// OwnerConnections returns how many connections the owner may have. Where they are scarce
// these are all but the reserve and those for a new owner.
func (b ConnectionBudget) OwnerConnections() int {
	if b.IsScarce() {
		reserve := (b.MaxConnections*scarceReservePercent + 99) / 100
		return max(b.MaxConnections-reserve-b.TakeoverConnections(), minOwnerConnections)
	}
	const percent = reservePercent + fallbackPercent
	return max(b.MaxConnections-(b.MaxConnections*percent+99)/100, minOwnerConnections)
}

// TakeoverConnections returns how many connections a new owner may have until the
// endpoint no longer counts those of the owner before it. They are enough for all slots.
func (b ConnectionBudget) TakeoverConnections() int {
	transactions := max(b.MaxConnections*takeoverTransactionsPercent/100, minTakeoverTransactions)
	return max(b.InFlight()+transactions, minOwnerConnections)
}

// Idle returns how many idle connections the owner keeps open: where connections are
// scarce all that it may have, since a new owner has its own part until the endpoint has
// dropped them.
func (b ConnectionBudget) Idle() int {
	if b.IsScarce() {
		return b.OwnerConnections()
	}
	return b.cautiousIdle()
}

// cautiousIdle returns how many idle connections the owner may keep when a new owner may
// open as many at once. An endpoint still counts the connections of daemons that lost
// power for three seconds, so most of its connections have to stay free for the daemons
// that replace them.
func (b ConnectionBudget) cautiousIdle() int {
	const idlePercent = 35
	return max(b.MaxConnections*idlePercent/100, b.InFlight())
}

// FallbackConnections returns how many connections a daemon other than the owner may
// have.
func (b ConnectionBudget) FallbackConnections() int { return fallbackConnections }

// InFlight returns how many statements of the owner may be in flight at once.
func (b ConnectionBudget) InFlight() int { return b.Slots + queuedAtEndpoint }
