package rattanpool

import "time"

const (
	// costWeight is the weight of the newest measurement in an account's mean cost.
	costWeight = 0.2
	// maxDebt bounds how long one very long statement can hold back the account's
	// other requests: while others wait, a debt is paid at the account's part of
	// the slots only.
	maxDebt = time.Second
)

// account is the queue of one client account.
type account struct {
	name   string
	weight int
	// deficit is the service that the account may still get in this round;
	// negative while it is in debt.
	deficit time.Duration
	// mean is the mean cost of its requests; 0 until one was measured.
	mean time.Duration

	first, last *waiter
	waiting     int
	// cost is the sum of the estimated costs of its waiting requests.
	cost time.Duration

	// next and previous link the ring of active or the list of idle accounts.
	next, previous *account
	idleSince      time.Time
}

func (a *account) setWeight(q *queue, weight int) {
	if a.waiting > 0 {
		q.weights += weight - a.weight
	}
	a.weight = weight
}

func (a *account) push(w *waiter) {
	w.previous = a.last
	if a.last == nil {
		a.first = w
	} else {
		a.last.next = w
	}
	a.last = w
	a.waiting++
	a.cost += w.cost
}

func (a *account) remove(w *waiter) {
	if w.previous == nil {
		a.first = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		a.last = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.next, w.previous = nil, nil
	a.waiting--
	a.cost -= w.cost
}

// credit gives the account its part of a round. An account that was passed over
// keeps what it has, so that it does not collect the credit of many rounds.
func (a *account) credit(quantum quantum) {
	if a.deficit <= 0 {
		a.deficit += quantum * time.Duration(a.weight)
	}
}

// charge takes cost, which may be negative, from the deficit.
func (a *account) charge(cost time.Duration) {
	a.deficit = max(a.deficit-cost, -maxDebt)
}

func (a *account) debt() time.Duration {
	return max(0, -a.deficit)
}

// repay reduces the debt of an account that was idle until now, by one slot's
// service for the time. Without it a long statement would delay the account's
// next request however much later it came.
func (a *account) repay(now time.Time) {
	if a.deficit < 0 {
		a.deficit = min(0, a.deficit+max(0, now.Sub(a.idleSince)))
	}
}

func (a *account) measure(cost time.Duration) {
	a.mean = ewma(a.mean, cost, costWeight)
}

// ewma returns the exponentially weighted mean with one more measurement. The
// first measurement is the mean.
func ewma(mean, measured time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return measured
	}
	return mean + time.Duration(weight*float64(measured-mean))
}
