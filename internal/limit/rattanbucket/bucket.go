// Package rattanbucket provides a token bucket that counts in whole thousandths
// of a token.
// It uses no floating point, so that tokens that move between buckets are
// conserved exactly.
package rattanbucket

import (
	"math"
	"math/bits"
	"time"
)

// Unit is the number of thousandths in one token.
const Unit = 1000

// A Bucket is a token bucket. The zero Bucket is empty, with rate and depth 0.
// It is not safe for concurrent use.
type Bucket struct {
	rate   int64
	depth  int64
	tokens int64
	// fraction is the refill that does not make up a whole thousandth yet, in
	// 1e-9 thousandths.
	fraction uint64
	refilled time.Time
}

// New returns an empty bucket that refills from now on at rate thousandths per
// second, up to depth thousandths.
func New(rate, depth int64, now time.Time) *Bucket {
	b := &Bucket{refilled: now}
	b.SetLimits(rate, depth)
	return b
}

// SetLimits changes the rate, in thousandths per second, and the depth, in
// thousandths. Negative values count as 0. Tokens above the new depth are lost.
// Call Refill first so that the time until now is refilled at the old rate.
func (b *Bucket) SetLimits(rate, depth int64) {
	b.rate = max(rate, 0)
	b.depth = max(depth, 0)
	b.clamp()
}

// Refill adds the tokens for the time since the last call. It uses the monotonic
// clock reading of now, if there is one, so that a wall clock that is set forward
// adds no tokens. A time before that of the last call adds nothing.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.refilled)
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	high, low := bits.Mul64(uint64(b.rate), uint64(elapsed))
	low, carry := bits.Add64(low, b.fraction, 0)
	high += carry
	if high >= uint64(time.Second) {
		// The division would overflow: the refill exceeds any depth.
		b.tokens = b.depth
		b.fraction = 0
		return
	}
	whole, fraction := bits.Div64(high, low, uint64(time.Second))
	b.fraction = fraction
	b.tokens += int64(min(whole, uint64(b.depth-b.tokens)))
	b.clamp()
}

// Take removes units thousandths and returns true, or returns false and removes
// nothing when the bucket has fewer.
func (b *Bucket) Take(units int64) bool {
	if units < 0 || units > b.tokens {
		return false
	}
	b.tokens -= units
	return true
}

// Add adds units thousandths that were taken from another bucket; what exceeds
// the depth is lost.
func (b *Bucket) Add(units int64) {
	b.tokens += min(max(units, 0), b.depth-b.tokens)
	b.clamp()
}

// Delay returns the time from the last Refill until units thousandths can be
// taken, when requests ahead in the queue take ahead thousandths first. The second
// result is false when they can never be taken.
func (b *Bucket) Delay(units, ahead int64) (time.Duration, bool) {
	missing := units + ahead - b.tokens
	if missing <= 0 {
		return 0, true
	}
	if units > b.depth || b.rate == 0 {
		return 0, false
	}
	high, low := bits.Mul64(uint64(missing), uint64(time.Second))
	low, borrow := bits.Sub64(low, b.fraction, 0)
	high -= borrow
	low, carry := bits.Add64(low, uint64(b.rate-1), 0)
	high += carry
	if high >= uint64(b.rate) {
		return math.MaxInt64, true
	}
	wait, _ := bits.Div64(high, low, uint64(b.rate))
	return time.Duration(min(wait, math.MaxInt64)), true
}

// Tokens returns the thousandths that can be taken, as of the last Refill.
func (b *Bucket) Tokens() int64 { return b.tokens }

// Rate returns the refill rate in thousandths per second.
func (b *Bucket) Rate() int64 { return b.rate }

// Depth returns the depth in thousandths.
func (b *Bucket) Depth() int64 { return b.depth }

func (b *Bucket) clamp() {
	if b.tokens >= b.depth {
		b.tokens = b.depth
		b.fraction = 0
	}
}
