package rattanquota

import "time"

const (
	// prefetchTime is the length of time for which a daemon requests tokens in
	// advance, at its present demand.
	prefetchTime = 200 * time.Millisecond
	// prefetchExpiry is the time after which prefetched tokens that are still unused
	// become void.
	prefetchExpiry = 500 * time.Millisecond
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 500 * time.Millisecond
)

// An AccountLimiter decides which operations of one account one daemon admits, with
// tokens from the account's pools.
type AccountLimiter struct {
	tokens      int64
	tokensUntil time.Time
	// deniedUntil is the time until which the pools are assumed to be empty.
	deniedUntil time.Time
	// demand is the average number of operations requested per second, as of
	// lastDemand.
	demand     float64
	lastDemand time.Time
}

// Take admits one operation if the daemon has a token.
func (a *AccountLimiter) Take(now time.Time) bool {
	if a.tokens > 0 && now.Before(a.tokensUntil) {
		a.tokens--
		return true
	}
	return false
}

// Return takes back the token of an operation that was admitted and that no endpoint has
// run, so that another operation can use it. The limit counts operations that run. A
// token that is returned after its expiry is void.
func (a *AccountLimiter) Return(now time.Time) {
	if now.Before(a.tokensUntil) {
		a.tokens++
	}
}

// RecordDemand counts one operation that a caller requests, admitted or not.
func (a *AccountLimiter) RecordDemand(now time.Time) {
	elapsed := now.Sub(a.lastDemand)
	a.lastDemand = now
	decay := max(0, 1-float64(elapsed)/float64(demandWindow))
	a.demand = a.demand*decay + 1/demandWindow.Seconds()
}

// TokensToRequest returns the number of tokens to request from the pool owners while
// waiting operations need one, 0 while the pools are assumed to be empty.
func (a *AccountLimiter) TokensToRequest(waiting int64, now time.Time) int64 {
	if now.Before(a.deniedUntil) {
		return 0
	}
	return waiting + int64(a.demand*prefetchTime.Seconds())
}

// AddTokens records the response of a pool owner: the tokens that it granted, or
// the time after which to ask again. Tokens that have expired are dropped.
func (a *AccountLimiter) AddTokens(tokens int64, retryAfter time.Duration, now time.Time) {
	if tokens <= 0 {
		a.deniedUntil = now.Add(retryAfter)
		return
	}
	if !now.Before(a.tokensUntil) {
		a.tokens = 0
	}
	a.tokens += tokens
	a.tokensUntil = now.Add(prefetchExpiry)
}

// RetryAfter returns the time after which a refused operation may be admitted.
func (a *AccountLimiter) RetryAfter(now time.Time) time.Duration {
	return max(a.deniedUntil.Sub(now), minRetryAfter)
}
