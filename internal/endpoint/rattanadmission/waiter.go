package rattanadmission

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattaninventory"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A Waiter is a request for a connection.
type Waiter[C comparable] struct {
	// Account is the client account that the connection must belong to.
	Account string
	// Kind is by what the request's cost is learnt.
	Kind rattanwork.Kind
	// Priority is 0 for the most urgent requests and rises with less urgent ones.
	Priority int
	// Objective is the time by which the response should arrive. Requests that can
	// still meet their objective go before those that cannot.
	Objective time.Time
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// Waited is how long the caller has waited before this request. It counts as an
	// earlier arrival.
	Waited time.Duration
	// Ready is closed when a waiting request gets its Assignment or its Refusal.
	Ready chan struct{}
	// Assignment is valid once Request has returned Assigned, or Ready is closed and
	// there is no Refusal.
	Assignment rattaninventory.Assignment[C]
	// Refusal is set once Request has returned Refused, or when a waiting request is
	// refused. The request has got no connection then.
	Refusal *rattanwork.Refusal

	isWaiting bool
	// isArriving is true during Request.
	isArriving bool
	// arrival is when the caller began to wait, and number the order of requests with
	// the same arrival.
	arrival time.Time
	number  uint64
	// floor is the least start tag that the request can get, tag the one in the
	// current order.
	floor, tag time.Duration
}

// A Decision is the result of a request for a connection.
type Decision int

// Decisions of Request.
const (
	// Assigned requests may use their Assignment now.
	Assigned Decision = iota + 1
	// Queued requests wait until Ready is closed.
	Queued
	// Refused requests have not run and are not expected to be served in time.
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
	// IsShared is true when requests of several priorities or accounts compete. The
	// order is then by priority, account and objective, with room kept for the more
	// urgent; otherwise by arrival.
	IsShared bool
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
