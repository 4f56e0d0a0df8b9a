package rattanload

import "time"

// An allowance tells which requests of a client account are within its rate and
// burst, as one token bucket would that is full at the start of the run.
type allowance struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

func newAllowance(account Account) *allowance {
	return &allowance{rate: account.Rate, burst: account.Burst, tokens: account.Burst}
}

// take reports whether a request at a time is within the rate. Times do not go back.
func (a *allowance) take(at time.Duration) bool {
	a.tokens = min(a.burst, a.tokens+a.rate*(at-a.last).Seconds())
	a.last = at
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
