package rattanpool

import "time"

// Rules of the circuit breaker.
const (
	consecutiveFailures = 5
	outcomeWindow       = 20
	windowFailures      = outcomeWindow / 2
	openTime            = 500 * time.Millisecond
	// probeTimeout is the same as that of a monitor's probe.
	probeTimeout = 300 * time.Millisecond
)

// A BreakerState is the state of an endpoint's circuit breaker.
type BreakerState int

// The breaker states. While it is open or half-open, requests are refused; in
// the half-open state the pool's own probe is in progress.
const (
	BreakerClosed BreakerState = iota
	BreakerOpen
	BreakerHalfOpen
)

// String returns the snake case name of s.
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

// breaker counts the outcomes of calls.
type breaker struct {
	state       BreakerState
	openUntil   time.Time
	consecutive int
	// failed is a ring of the last outcomes.
	failed   [outcomeWindow]bool
	outcomes int
	failures int
}

// record adds an outcome and reports whether the breaker must open.
func (b *breaker) record(failed bool) bool {
	place := b.outcomes % outcomeWindow
	if b.failed[place] {
		b.failures--
	}
	b.failed[place] = failed
	b.outcomes++
	if !failed {
		b.consecutive = 0
		return false
	}
	b.failures++
	b.consecutive++
	full := b.outcomes >= outcomeWindow
	return b.consecutive >= consecutiveFailures || full && b.failures >= windowFailures
}

func (b *breaker) open(now time.Time) {
	b.state = BreakerOpen
	b.openUntil = now.Add(openTime)
}

// close forgets all outcomes.
func (b *breaker) close() {
	*b = breaker{}
}

// remaining returns the time after which a request may be served again.
func (b *breaker) remaining(now time.Time) time.Duration {
	return max(b.openUntil.Sub(now), minRetryAfter)
}
