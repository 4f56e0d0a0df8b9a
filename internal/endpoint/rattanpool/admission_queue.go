package rattanpool

import "time"

const (
	// initialServiceTime and initialPinnedTime are the assumed costs of a request
	// and of a transaction before the first one has ended.
	initialServiceTime = 5 * time.Millisecond
	initialPinnedTime  = 50 * time.Millisecond
	// meanWeight is the weight of the newest measurement in the means of a queue.
	meanWeight = 0.1
	minQuantum = 10 * time.Microsecond
)

// admissionQueue is a queue with the measurements that admission needs to estimate
// how long a request will wait.
type admissionQueue struct {
	queue
	// serviceTime is the mean cost of a request. holdTime is the mean time for which
	// it occupies its place among the running requests: the service time plus the
	// network delay and the wait in the endpoint's own queue.
	serviceTime, holdTime time.Duration
	measured              bool
}

func newAdmissionQueue(initial time.Duration) admissionQueue {
	return admissionQueue{queue: newQueue(), serviceTime: initial, holdTime: initial}
}

// quantum returns the mean cost, so that an account of weight 1 starts about one
// request per round.
func (q *admissionQueue) quantum() quantum {
	return max(q.serviceTime, minQuantum)
}

// estimate returns the expected cost of the account's next request.
func (q *admissionQueue) estimate(a *account) time.Duration {
	if a.meanCost > 0 {
		return a.meanCost
	}
	return q.serviceTime
}

// wait estimates how long the next request of the account will wait when capacity
// requests run at once; busy says that none can start now. The estimate is the
// smaller of two: the account's own waiting requests and debt, served at its fair
// share, and the waiting requests of all accounts.
func (q *admissionQueue) wait(a *account, capacity int, busy bool) time.Duration {
	ownCost := float64(q.estimate(a))
	totalWeight := q.totalWeight
	if a.waiting == 0 {
		totalWeight += a.weight
	}
	fairCost := (float64(a.waitingCost+a.debt()) + ownCost) * float64(totalWeight) / float64(a.weight)
	ahead := min(fairCost, float64(q.waitingCost)+ownCost) - ownCost
	if busy {
		ahead += float64(q.serviceTime)
	}
	holdPerCost := float64(q.holdTime) / float64(q.quantum())
	return time.Duration(ahead * holdPerCost / float64(max(capacity, 1)))
}

// reconcile replaces the estimate that was charged for a request by the measured
// cost.
func (q *admissionQueue) reconcile(w *waiter, cost time.Duration) {
	w.account.charge(cost - w.charged)
	w.charged = cost
}

// charge charges the account for a cost that it caused outside this queue.
func (q *admissionQueue) charge(flow Flow, cost time.Duration, now time.Time) {
	q.account(flow, now).charge(cost)
}

// recordTimes updates the means with the measured times of one request.
func (q *admissionQueue) recordTimes(flow Flow, serviceTime, holdTime time.Duration) {
	if a, ok := q.accounts[flow.Account]; ok {
		a.recordCost(serviceTime)
	}
	if !q.measured {
		q.serviceTime, q.holdTime, q.measured = serviceTime, holdTime, true
		return
	}
	q.serviceTime = ewma(q.serviceTime, serviceTime, meanWeight)
	q.holdTime = ewma(q.holdTime, holdTime, meanWeight)
}
