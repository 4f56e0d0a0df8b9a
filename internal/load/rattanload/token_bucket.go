package rattanload

import "time"

// A tokenBucket decides which requests of a client account are within its rate and
// burst. It is full at the start of the run.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

func newTokenBucket(account Account) *tokenBucket {
	return &tokenBucket{rate: account.Rate, burst: account.Burst, tokens: account.Burst}
}

// take reports whether a request at a time is within the rate, and takes its token.
// Times must not decrease.
func (b *tokenBucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
