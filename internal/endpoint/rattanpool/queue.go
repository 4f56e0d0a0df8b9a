package rattanpool

import (
	"math"
	"time"
)

// accountMemory is how long an account without waiting requests is remembered.
const accountMemory = 10 * time.Second

// queue serves accounts by deficit round robin. An account may start a request
// while its deficit is positive and pays the request's cost afterwards, so the
// deficit may become negative; the account then waits for as many rounds as the
// cost needs. The cost of a request is the time that it takes at the endpoint.
// All operations take constant time, except a round in which every account is in
// debt.
type queue struct {
	accounts map[string]*account
	// current is the account whose turn it is; the active ones form a ring.
	current *account
	active  int
	weights int
	waiting int
	// cost is the sum of the estimated costs of the waiting requests.
	cost time.Duration
	// idle lists accounts without waiting requests, the longest idle first.
	idle accountList
}

// quantum is what an account of weight 1 gets per round.
type quantum = time.Duration

func newQueue() queue {
	return queue{accounts: make(map[string]*account)}
}

// account returns the entry of job's account and forgets the ones idle for long.
func (q *queue) account(flow Flow, now time.Time) *account {
	for a := q.idle.first; a != nil && now.Sub(a.idleSince) > accountMemory; a = q.idle.first {
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
	q.cost += w.cost
	a.push(w)
	if a.waiting > 1 {
		return
	}
	q.idle.remove(a)
	a.repay(now)
	q.insert(a, quantum)
}

// remove takes a waiting request out.
func (q *queue) remove(w *waiter, now time.Time, quantum quantum) {
	a := w.account
	a.remove(w)
	q.waiting--
	q.cost -= w.cost
	if a.waiting > 0 {
		return
	}
	a.deficit = min(a.deficit, 0)
	q.withdraw(a, quantum)
	a.idleSince = now
	q.idle.append(a)
}

// next removes and returns the request whose turn it is, and charges its
// estimated cost. Accounts for which allowed returns false are passed over. It
// returns nil when there is none.
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

// skipRounds gives every account the rounds in which none could start, so that
// a cost of many quanta does not take as many visits.
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

// insert adds a as the last of the ring.
func (q *queue) insert(a *account, quantum quantum) {
	q.active++
	q.weights += a.weight
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

func (q *queue) withdraw(a *account, quantum quantum) {
	q.active--
	q.weights -= a.weight
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
