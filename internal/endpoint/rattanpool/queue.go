package rattanpool

import (
	"math"
	"time"
)

// accountRetention is how long an account without waiting requests is kept, with its
// debt and its mean cost.
const accountRetention = 10 * time.Second

// queue serves accounts by deficit round robin. An account may start a request
// while its deficit is positive. The cost of the request, which is the time that it
// takes at the endpoint, is charged even if it exceeds the deficit; the account is
// then in debt and waits for as many rounds as the debt needs. All operations take
// constant time, except a round in which no account can start a request.
type queue struct {
	accounts map[string]*account
	// current is the account that is served next. The accounts with waiting
	// requests, called active, form a ring.
	current     *account
	active      int
	totalWeight int
	waiting     int
	// waitingCost is the sum of the estimated costs of the waiting requests.
	waitingCost time.Duration
	// idle lists the accounts without waiting requests, longest idle first.
	idle accountList
}

// quantum is the service time that an account of weight 1 is credited per round.
type quantum = time.Duration

func newQueue() queue {
	return queue{accounts: make(map[string]*account)}
}

// account returns the account of flow, which it adds if necessary. It removes
// accounts that were idle for longer than accountRetention.
func (q *queue) account(flow Flow, now time.Time) *account {
	for a := q.idle.first; a != nil && now.Sub(a.idleSince) > accountRetention; a = q.idle.first {
		q.idle.remove(a)
		delete(q.accounts, a.name)
	}
	a, ok := q.accounts[flow.Account]
	if !ok {
		a = &account{name: flow.Account, idleSince: now}
		q.accounts[flow.Account] = a
		q.idle.append(a)
	}
	a.setWeight(q, max(flow.Weight, 1))
	return a
}

func (q *queue) push(a *account, w *waiter, now time.Time, quantum quantum) {
	w.account = a
	q.waiting++
	q.waitingCost += w.cost
	a.push(w)
	if a.waiting > 1 {
		return
	}
	q.idle.remove(a)
	a.repay(now)
	q.activate(a, quantum)
}

// remove removes a waiting request.
func (q *queue) remove(w *waiter, now time.Time, quantum quantum) {
	a := w.account
	a.remove(w)
	q.waiting--
	q.waitingCost -= w.cost
	if a.waiting > 0 {
		return
	}
	a.deficit = min(a.deficit, 0)
	q.deactivate(a, quantum)
	a.idleSince = now
	q.idle.append(a)
}

// next removes and returns the next request to serve, and charges its estimated
// cost. Accounts for which allowed returns false are passed over; a nil allowed
// passes none over. It returns nil when no request can be served.
func (q *queue) next(now time.Time, quantum quantum, allowed func(*account) bool) *waiter {
	for passed, visits := 0, 0; passed < q.active; visits++ {
		a := q.current
		switch {
		case allowed != nil && !allowed(a):
			passed++
		case a.deficit > 0:
			w := a.first
			a.charge(w.cost)
			w.charged = w.cost
			q.remove(w, now, quantum)
			return w
		default:
			passed = 0
		}
		if visits == q.active {
			q.skipRounds(quantum)
		}
		q.advance(quantum)
	}
	return nil
}

// skipRounds credits every account with all the rounds in which no account could
// start a request, so that a debt of many quanta does not take as many visits.
func (q *queue) skipRounds(quantum quantum) {
	rounds := time.Duration(math.MaxInt64)
	a := q.current
	for range q.active {
		rounds = min(rounds, max(0, -a.deficit)/(quantum*time.Duration(a.weight)))
		a = a.next
	}
	for range q.active {
		a.deficit += rounds * quantum * time.Duration(a.weight)
		a = a.next
	}
}

func (q *queue) advance(quantum quantum) {
	q.current = q.current.next
	q.current.credit(quantum)
}

// activate adds an account as the last of the ring.
func (q *queue) activate(a *account, quantum quantum) {
	q.active++
	q.totalWeight += a.weight
	if q.current == nil {
		a.next, a.previous = a, a
		q.current = a
		a.credit(quantum)
		return
	}
	last := q.current.previous
	last.next, a.previous = a, last
	a.next, q.current.previous = q.current, a
}

// deactivate removes an account from the ring.
func (q *queue) deactivate(a *account, quantum quantum) {
	q.active--
	q.totalWeight -= a.weight
	if q.active == 0 {
		q.current = nil
		a.next, a.previous = nil, nil
		return
	}
	if q.current == a {
		q.advance(quantum)
	}
	a.previous.next, a.next.previous = a.next, a.previous
	a.next, a.previous = nil, nil
}
