package rattanpool

import "time"

const (
	// costWeight is the weight of the newest measurement in an account's mean cost.
	costWeight = 0.2
	// maxDebt bounds how long one very long statement can delay the account's other
	// requests: while other accounts wait, a debt is repaid only at the account's
	// share of the slots.
	maxDebt = time.Second
)

// account is the queue of one client account and its state in the round robin.
type account struct {
	name   string
	weight int
	// deficit is the service time that the account may still use in this round;
	// negative while the account is in debt.
	deficit time.Duration
	// meanCost is the mean cost of its requests; 0 before the first one has ended.
	meanCost time.Duration

	first, last *waiter
	waiting     int
	// waitingCost is the sum of the estimated costs of its waiting requests.
	waitingCost time.Duration

	// next and previous link the ring of active accounts or the list of idle ones.
	next, previous *account
	idleSince      time.Time
}

func (a *account) setWeight(q *queue, weight int) {
	if a.waiting > 0 {
		q.totalWeight += weight - a.weight
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
	a.waitingCost += w.cost
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
	a.waitingCost -= w.cost
}

// credit adds the account's quantum for a new round to its deficit. A positive
// deficit, which the account kept when it was passed over, stays as it is, so that
// the account does not accumulate the credit of many rounds.
func (a *account) credit(quantum quantum) {
	if a.deficit <= 0 {
		a.deficit += quantum * time.Duration(a.weight)
	}
}

// charge subtracts cost, which may be negative, from the deficit.
func (a *account) charge(cost time.Duration) {
	a.deficit = max(a.deficit-cost, -maxDebt)
}

func (a *account) debt() time.Duration {
	return max(0, -a.deficit)
}

// repay reduces the debt of an account that was idle until now by the time for
// which it was idle, as if it had repaid with one slot's service. Without it a long
// statement would delay the account's next request however much later it came.
func (a *account) repay(now time.Time) {
	if a.deficit < 0 {
		a.deficit = min(0, a.deficit+max(0, now.Sub(a.idleSince)))
	}
}

func (a *account) recordCost(cost time.Duration) {
	a.meanCost = ewma(a.meanCost, cost, costWeight)
}

// ewma returns the exponentially weighted moving average after one more
// measurement. While mean is 0, the measurement becomes the mean.
func ewma(mean, measured time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return measured
	}
	return mean + time.Duration(weight*float64(measured-mean))
}
