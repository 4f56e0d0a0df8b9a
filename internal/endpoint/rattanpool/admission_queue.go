package rattanpool

import "time"

const (
	// initialService and initialPinned are the assumed costs of a request and of
	// a transaction until some were measured.
	initialService = 5 * time.Millisecond
	initialPinned  = 50 * time.Millisecond
	// meanWeight is the weight of the newest measurement in the mean of a queue.
	meanWeight = 0.1
	minQuantum = 10 * time.Microsecond
)

// admissionQueue is a queue with the measurements that its decisions need.
type admissionQueue struct {
	queue
	// service is the mean cost of a request, held the mean time that it occupies
	// its place: service plus the way to the endpoint and its queue.
	service, held time.Duration
	measured      bool
}

func newAdmissionQueue(initial time.Duration) admissionQueue {
	return admissionQueue{queue: newQueue(), service: initial, held: initial}
}

// quantum is the mean cost, so that an account of weight 1 starts about one
// request per round.
func (l *admissionQueue) quantum() quantum {
	return max(l.service, minQuantum)
}

// estimate returns the expected cost of the account's next request.
func (l *admissionQueue) estimate(a *account) time.Duration {
	if a.mean > 0 {
		return a.mean
	}
	return l.service
}

// wait returns how long the next request of a will wait with that many places.
// It is bounded by the account's own queue and debt at its fair part of the
// service, and by all that waits.
func (l *admissionQueue) wait(a *account, places int, occupied bool) time.Duration {
	own := float64(l.estimate(a))
	weights := l.weights
	if a.waiting == 0 {
		weights += a.weight
	}
	fair := (float64(a.cost+a.debt()) + own) * float64(weights) / float64(a.weight)
	ahead := min(fair, float64(l.cost)+own) - own
	if occupied {
		ahead += float64(l.service)
	}
	perCost := float64(l.held) / float64(l.quantum())
	return time.Duration(ahead * perCost / float64(max(places, 1)))
}

// settle replaces the charged estimate by the measured cost.
func (l *admissionQueue) settle(w *waiter, cost time.Duration) {
	w.account.charge(cost - w.charged)
	w.charged = cost
}

// charge adds a cost that the account caused outside this queue.
func (l *admissionQueue) charge(flow Flow, cost time.Duration, now time.Time) {
	l.account(flow, now).charge(cost)
}

func (l *admissionQueue) measure(flow Flow, service, held time.Duration) {
	if a, ok := l.accounts[flow.Account]; ok {
		a.measure(service)
	}
	if !l.measured {
		l.service, l.held, l.measured = service, held, true
		return
	}
	l.service = ewma(l.service, service, meanWeight)
	l.held = ewma(l.held, held, meanWeight)
}
