// Package rattanadmission decides which request to an endpoint gets a connection
// next, which waits and which is refused. A connection belongs to one client
// account. An endpoint accepts a limited number of connections from all daemons and
// runs only a few statements at once. The package answers the load in which more is
// asked of an endpoint than it can do: the most urgent priority goes first, inside it the
// account that has had the least service, and what cannot be served in time is refused
// as soon as that is known. It does no locking, input or output, and takes the current
// time as an argument.
package rattanadmission

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattancost"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattaninventory"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// sweepInterval is the least time between two sweeps for requests that can no longer be
// served in time.
const sweepInterval = 20 * time.Millisecond

// A Queue assigns the connections of this daemon to one endpoint.
type Queue[C comparable] struct {
	limits    Limits
	inventory *rattaninventory.Inventory[C]
	costs     *rattancost.Costs
	waiting   []*Waiter[C]
	// transactionStatements counts the statements that run in transactions, on pinned
	// connections.
	transactionStatements int
	// classes are by priority.
	classes map[int]*class
	returns *returns
	// pinReturns gives times to callers whose transactions found no connection, unpins
	// counts the ends of transactions.
	pinReturns *returns
	unpins     demand
	// startsWithoutLowest counts the starts since the least urgent priority that waits
	// had one.
	startsWithoutLowest int
	number              uint64
	sweptAt             time.Time
	counts              Counts
}

// Counts count what a queue has decided since its start.
type Counts struct {
	// RefusedNoRoom counts requests refused on arrival, RefusedDisplaced those that
	// had waited until they could no longer be served in time.
	RefusedNoRoom, RefusedDisplaced int
	// RefusedTransaction counts transactions for which no connection could be reserved.
	RefusedTransaction int
	// StartedLowest counts starts because of the bound of starvation.
	StartedLowest int
}

// Since returns the counts since an earlier time.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{
		RefusedNoRoom: c.RefusedNoRoom - earlier.RefusedNoRoom, RefusedDisplaced: c.RefusedDisplaced - earlier.RefusedDisplaced,
		RefusedTransaction: c.RefusedTransaction - earlier.RefusedTransaction, StartedLowest: c.StartedLowest - earlier.StartedLowest,
	}
}

// Refused returns how many requests were refused.
func (c Counts) Refused() int { return c.RefusedNoRoom + c.RefusedDisplaced + c.RefusedTransaction }

// New returns a Queue with the given limits.
func New[C comparable](limits Limits) *Queue[C] {
	limits = limits.normalized()
	return &Queue[C]{
		limits: limits, inventory: rattaninventory.New[C](limits.inventoryLimits()), costs: rattancost.New(),
		classes: make(map[int]*class), returns: newReturns(), pinReturns: newReturns(),
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

// FreeSlots returns how many more requests may run now.
func (q *Queue[C]) FreeSlots() int {
	return max(q.limits.InFlight-q.Busy()-q.transactionStatements, 0)
}

// FreeConnections returns how many connections are not in use, open or not. An account
// without one can get one of them.
func (q *Queue[C]) FreeConnections() int {
	return max(q.limits.Connections-q.Busy()-q.Pinned(), 0)
}

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

// RefusePin returns the refusal of a request for which Pin has returned false. There is
// room for it when another transaction ends.
func (q *Queue[C]) RefusePin(w *Waiter[C], now time.Time) *rattanwork.Refusal {
	interval := demandMemory
	if rate := q.unpins.rate(now); rate > 1 {
		interval = time.Duration(float64(demandMemory) / rate)
	}
	q.counts.RefusedTransaction++
	request := returning{account: w.Account, cost: interval}
	return &rattanwork.Refusal{Reason: "no room for a transaction", RetryAfter: q.pinReturns.book(request, interval, 1, now)}
}

// Unpin ends the reservation of a pinned connection, which the caller then releases or
// closes.
func (q *Queue[C]) Unpin(now time.Time) {
	q.unpins.add(demandMemory, now)
	q.inventory.Unpin()
}

// Pinned returns the number of connections that are reserved for transactions.
func (q *Queue[C]) Pinned() int { return q.inventory.Pinned() }

// BeginStatement records that a statement of a transaction takes a slot of the endpoint.
// It does not wait, since its transaction holds a connection and locks.
func (q *Queue[C]) BeginStatement() { q.transactionStatements++ }

// EndStatement records the end of a statement of a transaction.
func (q *Queue[C]) EndStatement(now time.Time) {
	q.transactionStatements--
	q.dispatch(now)
}

// Waiting returns the number of waiting requests.
func (q *Queue[C]) Waiting() int { return len(q.waiting) }

// WaitingByPriority returns the number of waiting requests of each priority, and how many
// accounts they are of.
func (q *Queue[C]) WaitingByPriority() (byPriority map[int]int, accounts int) {
	byPriority = make(map[int]int)
	names := make(map[string]bool)
	for _, w := range q.waiting {
		byPriority[w.Priority]++
		names[w.Account] = true
	}
	return byPriority, len(names)
}

// Counts returns the totals since the start.
func (q *Queue[C]) Counts() Counts { return q.counts }

// ServiceTime returns the mean time that a request holds a slot.
func (q *Queue[C]) ServiceTime() time.Duration { return q.costs.All().Mean }

// Cost returns the cost of a kind of request.
func (q *Queue[C]) Cost(kind rattanwork.Kind) rattanwork.Cost { return q.costs.Of(kind) }

// Charge adds the time of a slot, beyond the expected one, to the service that an account
// has had. It is negative when the request took less.
func (q *Queue[C]) Charge(account string, priority int, service time.Duration) {
	q.class(priority).charge(account, service)
}

// Observe records the time that a request held a slot.
func (q *Queue[C]) Observe(kind rattanwork.Kind, held time.Duration) { q.costs.Observe(kind, held) }

// Wait returns the expected wait of a request of a priority that arrives now.
func (q *Queue[C]) Wait(priority int, now time.Time) time.Duration {
	slots := q.slotTimes()
	for _, w := range q.waiting {
		if w.Priority <= priority {
			slots.occupy(q.costs.Of(w.Kind).Mean)
		}
	}
	return stretched(slots[0], q.shareFor(priority, now))
}

// Request requests a connection. A request that cannot be served in time is refused at
// once, so that its caller can try another endpoint. Waiting requests that can no longer
// be served in time because of it are refused too.
func (q *Queue[C]) Request(w *Waiter[C], now time.Time) Decision {
	q.number++
	w.number, w.arrival = q.number, now.Add(-w.Waited)
	class, cost := q.class(w.Priority), q.costs.Of(w.Kind).Mean
	w.floor = class.floorAt(w.arrival)
	class.ask(w.Account, cost, now)
	if q.assign(w, now) {
		class.admit(cost, now)
		return Assigned
	}
	w.Ready = make(chan struct{})
	w.isWaiting, w.isArriving = true, true
	q.waiting = append(q.waiting, w)
	q.refuseHopeless(q.newPlan(now), w, now)
	w.isArriving = false
	if w.Refusal != nil {
		return Refused
	}
	class.admit(cost, now)
	return Queued
}

// Sweep refuses the waiting requests that can no longer be served in time. It does
// nothing when that was decided a moment ago.
func (q *Queue[C]) Sweep(now time.Time) {
	if now.Sub(q.sweptAt) >= sweepInterval {
		q.refuseHopeless(q.newPlan(now), nil, now)
	}
}

// refuseHopeless refuses the requests without hope. The arriving one gets its refusal
// from Request, the others through Ready.
func (q *Queue[C]) refuseHopeless(p *plan[C], arriving *Waiter[C], now time.Time) {
	q.sweptAt = now
	for _, w := range p.hopeless {
		q.remove(w)
		w.Refusal = &rattanwork.Refusal{Reason: "displaced", RetryAfter: q.retryAfter(w, p, now)}
		if w == arriving {
			w.Refusal.Reason = "no room"
			q.counts.RefusedNoRoom++
			continue
		}
		q.counts.RefusedDisplaced++
		q.class(w.Priority).displace(q.costs.Of(w.Kind).Mean, now)
		close(w.Ready)
	}
}

// retryAfter returns when there is expected to be room for a refused request.
func (q *Queue[C]) retryAfter(w *Waiter[C], p *plan[C], now time.Time) time.Duration {
	share := q.shareFor(w.Priority, now)
	earliest := min(stretched(p.slots[0], share), maxReturn)
	request := returning{account: w.Account, cost: q.costs.Of(w.Kind).Mean}
	return q.returns.book(request, earliest, share*float64(q.limits.InFlight), now)
}

// assign gives w a connection if one is available and the endpoint may run one more
// request.
func (q *Queue[C]) assign(w *Waiter[C], now time.Time) bool {
	if q.FreeSlots() == 0 {
		return false
	}
	assignment, ok := q.inventory.Take(w.Account, now)
	if ok {
		w.Assignment = assignment
		q.class(w.Priority).start(w.Account, w.floor, q.costs.Of(w.Kind).Mean, now)
		q.countStart(w)
	}
	return ok
}

// Cancel removes a waiting request. It returns false when the request has got an
// assignment or a refusal meanwhile. The caller must give back an assignment.
func (q *Queue[C]) Cancel(w *Waiter[C]) bool {
	if !w.isWaiting {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue[C]) remove(w *Waiter[C]) {
	w.isWaiting = false
	at := slices.Index(q.waiting, w)
	q.waiting = slices.Delete(q.waiting, at, at+1)
}

// Release returns a connection to the queue after a request. If the queue now has too
// many connections or too many idle ones, Release returns one that the caller closes and
// reports with Closed.
func (q *Queue[C]) Release(conn C, account string, now time.Time) (surplus C, ok bool) {
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

// dispatch assigns connections to waiting requests, the first in order first, while
// any are available.
func (q *Queue[C]) dispatch(now time.Time) {
	for len(q.waiting) > 0 && q.FreeSlots() > 0 {
		p := q.newPlan(now)
		q.refuseHopeless(p, nil, now)
		planned := p.order()
		if len(planned) == 0 {
			return
		}
		w := q.next(planned)
		if !q.assign(w, now) {
			return
		}
		if w != planned[0] {
			q.counts.StartedLowest++
		}
		q.remove(w)
		close(w.Ready)
	}
}
