package rattanpool

import "time"

// The circuit breaker opens after maxConsecutiveFailures failed calls in a row, or
// when maxWindowFailures of the last outcomeWindow calls failed. It stays open for
// openDuration before each probe.
const (
	maxConsecutiveFailures = 5
	outcomeWindow          = 20
	maxWindowFailures      = outcomeWindow / 2
	openDuration           = 500 * time.Millisecond
	// probeTimeout is the same as rattanfailover.CallTimeout, which bounds a
	// monitor's probe.
	probeTimeout = 300 * time.Millisecond
)

// A BreakerState is the state of an endpoint's circuit breaker.
type BreakerState int

// The breaker states. While the breaker is open or half-open, requests are refused;
// in the half-open state a probe by the pool is in progress.
const (
	BreakerClosed BreakerState = iota
	BreakerOpen
	BreakerHalfOpen
)

// String returns the name of s in snake case.
func (s BreakerState) String() string {
	switch s {
	case BreakerOpen:
		return "open"
	case BreakerHalfOpen:
		return "half_open"
	default:
		return "closed"
	}
}

// breaker is the state of a circuit breaker and the outcomes of recent calls.
type breaker struct {
	state       BreakerState
	openUntil   time.Time
	consecutive int
	// failed is a ring buffer with the last outcomes.
	failed   [outcomeWindow]bool
	outcomes int
	failures int
}

// record counts an outcome and reports whether the breaker must open.
func (b *breaker) record(failed bool) bool {
	index := b.outcomes % outcomeWindow
	if b.failed[index] {
		b.failures--
	}
	b.failed[index] = failed
	b.outcomes++
	if !failed {
		b.consecutive = 0
		return false
	}
	b.failures++
	b.consecutive++
	full := b.outcomes >= outcomeWindow
	return b.consecutive >= maxConsecutiveFailures || full && b.failures >= maxWindowFailures
}

func (b *breaker) open(now time.Time) {
	b.state = BreakerOpen
	b.openUntil = now.Add(openDuration)
}

// close closes the breaker and clears all outcomes.
func (b *breaker) close() {
	*b = breaker{}
}

// remaining returns the retry-after of a request that the open breaker refuses.
func (b *breaker) remaining(now time.Time) time.Duration {
	return max(b.openUntil.Sub(now), minRetryAfter)
}
