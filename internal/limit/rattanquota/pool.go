package rattanquota

import (
	"math"
	"time"

	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

const (
	// unconfirmedPercent is the percentage of its limit that a new pool grants at
	// once, so that the first callers after a restart are served, and
	// unconfirmedTokens the smallest number of operations. Both are well within the
	// contract's tolerance.
	unconfirmedPercent = 4
	unconfirmedTokens  = 2
	// takeoverWindows is the number of windows over which pools grow to replace one
	// that is gone.
	takeoverWindows = 3
	// lowPercent is the free percentage of a pool's window below which it grants
	// only what waiting operations need, so that no daemon holds tokens that
	// another one lacks.
	lowPercent = 50
	// minRetryAfter is the shortest time after which a daemon that got no tokens
	// requests them again.
	minRetryAfter = 5 * time.Millisecond
	// maxRetryAfter is the longest such time. It is bounded so that the daemon
	// notices when the demand of other daemons falls.
	maxRetryAfter = 200 * time.Millisecond
)

// A Part is one of the equal parts of an account's limit.
type Part struct {
	// Rate is the account's limit in operations per second and Burst the number of
	// operations that it may have in addition in a window.
	Rate, Burst float64
	// Window is the length of the time over which the limit counts.
	Window time.Duration
	// Pools is the number of parts and Index the number of this one, from 0.
	Pools, Index int
}

// limit returns the number of operations that the part admits in a window. The parts
// of an account add up to its rate times the window plus its burst.
func (p Part) limit() float64 {
	whole := int(p.Rate*p.Window.Seconds() + p.Burst)
	limit := whole / max(p.Pools, 1)
	if p.Index < whole%max(p.Pools, 1) {
		limit++
	}
	return float64(limit)
}

// bucketLimits returns the refill rate and depth of the part's token bucket, in
// thousandths, when a fraction of the part is ready.
func (p Part) bucketLimits(ready float64) (rate, depth int64) {
	rate = int64(p.limit() / p.Window.Seconds() * rattanbucket.Unit)
	depth = int64((p.Burst/float64(max(p.Pools, 1))*ready + p.unconfirmed()) * rattanbucket.Unit)
	return rate, depth
}

// unconfirmed returns the number of operations that the part admits in a window while
// its history is not known.
func (p Part) unconfirmed() float64 {
	limit := p.limit()
	return min(limit, max(limit*unconfirmedPercent/100, unconfirmedTokens))
}

// A Pool is the part of one account's limit that one pool owner hands out. It admits
// at most the part's limit in any window, and keeps an account whose demand rises
// suddenly from using up a whole window at once. The zero Pool is ready to use.
//
// A pool whose history is not known, because its owner has just started or has taken
// over from another daemon, grows over one window: the operations that others admitted
// before leave the window at the same pace. It grows from the time at which the owner
// became the owner, which may be long before the first operation. A pool that its owner may have lost to
// another daemon shrinks as fast as that one's grows.
type Pool struct {
	part   Part
	window slidingWindow
	bucket *rattanbucket.Bucket
	// ready is the fraction of the limit that may be used, as of updated. It grows to
	// 1 within growTime.
	ready    float64
	updated  time.Time
	growTime time.Duration
	// lost is the time for which another daemon may have owned the pool, as of updated.
	lost time.Duration
	// known is how long the owner had certainly been the owner when the pool was made,
	// without an operation.
	known time.Duration
	// otherSince is since when another daemon has owned the pool, the zero time while
	// none does, and otherTotal the length of the earlier such times.
	otherSince time.Time
	otherTotal time.Duration
}

// NewPool returns a Pool whose owner has been the owner for the known time, so that nobody
// has admitted operations from it meanwhile.
func NewPool(known time.Duration) *Pool { return &Pool{known: max(known, 0)} }

// SetOwned records whether this daemon owns the pool according to the registered VMs.
func (p *Pool) SetOwned(isOwned bool, now time.Time) {
	switch {
	case !isOwned && p.otherSince.IsZero():
		p.otherSince = now
	case isOwned && !p.otherSince.IsZero():
		p.otherTotal += now.Sub(p.otherSince)
		p.otherSince = time.Time{}
	}
}

// Grant hands out tokens: for the operations that wait and, if enough is left, for
// wanted ones. When there is none it returns the time after which to ask again.
// unregistered is the total time for which the owner was not registered, so that
// other daemons may have taken over the pool.
func (p *Pool) Grant(part Part, unregistered time.Duration, waiting, wanted int64, now time.Time) (int64, time.Duration) {
	p.update(part, unregistered, now)
	limit := max(part.limit()*p.ready, part.unconfirmed())
	free := math.Floor(limit - p.window.sum + countTolerance)
	granted := min(int64(max(free, 0)), p.bucket.Tokens()/rattanbucket.Unit)
	if free*100 < limit*lowPercent {
		granted = min(granted, waiting)
	}
	granted = min(granted, max(wanted, waiting))
	if granted > 0 && p.bucket.Take(granted*rattanbucket.Unit) {
		p.window.add(float64(granted), now)
		return granted, 0
	}
	return 0, p.retryAfter(limit, now)
}

// countTolerance absorbs rounding errors in sums of scaled counts, in operations.
const countTolerance = 1e-6

func (p *Pool) retryAfter(limit float64, now time.Time) time.Duration {
	wait, ok := p.bucket.Delay(rattanbucket.Unit, 0)
	if !ok {
		wait = maxRetryAfter
	}
	wait = max(wait, p.window.timeUntil(limit-1+countTolerance, now))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// update advances the pool to the time now and applies changes of the account's
// settings and of the number of pools.
func (p *Pool) update(part Part, unregistered time.Duration, now time.Time) {
	p.SetOwned(true, now)
	lost := unregistered + p.otherTotal
	if p.bucket == nil {
		p.part, p.updated, p.lost = part, now, lost
		p.window.length, p.growTime = part.Window, part.Window
		p.ready = min(1, p.known.Seconds()/part.Window.Seconds())
		rate, depth := part.bucketLimits(p.ready)
		p.bucket = rattanbucket.New(rate, depth, now)
		p.bucket.Add(depth)
	}
	shrink := max(0, lost-p.lost)
	grow := max(0, now.Sub(p.updated)-shrink)
	p.ready = min(1, p.ready+grow.Seconds()/p.growTime.Seconds())
	p.ready = max(0, p.ready-shrink.Seconds()/part.Window.Seconds())
	p.updated, p.lost = now, lost
	p.window.expire(now)
	p.changePart(part)
	p.bucket.Refill(now)
	p.bucket.SetLimits(part.bucketLimits(p.ready))
}

// changePart applies a changed part. When there are fewer pools, each grows slowly: a
// daemon that is cut off may still use up what its pool had. Under a lower limit, the
// operations that the higher one admitted count less, so that the account is not
// refused altogether until they leave the window.
func (p *Pool) changePart(part Part) {
	if part == p.part {
		return
	}
	before, after := p.part.limit(), part.limit()
	switch {
	case part.Pools != p.part.Pools && after > 0:
		p.ready = min(1, p.ready*before/after)
		if part.Pools < p.part.Pools {
			p.growTime = takeoverWindows * part.Window
		}
	case after < before:
		p.window.scale(after / before)
	}
	p.part = part
}
