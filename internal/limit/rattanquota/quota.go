// Package rattanquota divides a client account's rate and burst among the
// daemons. One part is split into even shares, so that a daemon that reaches no
// other one still admits some operations. The rest is divided into pools of equal
// size, whose owners, daemons in different failure domains, hand out tokens on
// request. A network partition therefore leaves some pools on each side. The parts
// add up to the account's rate and burst.
package rattanquota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

const (
	// evenSharePercent is the percentage of the rate and burst that is split evenly
	// among the daemons.
	evenSharePercent = 40
	// maxPools is the largest number of pools of an account. There are fewer when
	// the fleet has fewer failure domains.
	maxPools = 3
	// minEvenShareRate is the smallest even share of a daemon, in operations per
	// second. Smaller ones mostly go unused, so the whole rate is pooled instead.
	minEvenShareRate = 1.5
	// prefetchTime is the length of time for which a daemon requests tokens in
	// advance, at its present demand.
	prefetchTime = 400 * time.Millisecond
	// prefetchExpiry is the time after which prefetched tokens that are still unused
	// become void.
	prefetchExpiry = 800 * time.Millisecond
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 500 * time.Millisecond
	// minRetryAfter is the shortest time after which a daemon that got no tokens
	// requests them again.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is the longest such time. It is bounded so that the daemon
	// notices when the demand of other daemons falls.
	maxRetryAfter = 200 * time.Millisecond
	// initialFillPercent is how full a new bucket is. A full one could admit a burst
	// twice, because another pool owner may have handed one out just before.
	initialFillPercent = 25
)

// PoolOwners returns the VMs that own the pools of an account: in each failure
// domain the VM with the highest hash of its name and the account's, and of these
// the maxPools highest. domains maps the name of each live VM to its failure domain.
func PoolOwners(account string, domains map[string]string) []string {
	type candidate struct {
		vm   string
		hash uint64
	}
	best := make(map[string]candidate)
	for vm, domain := range domains {
		scored := candidate{vm: vm, hash: xxhash.Sum64String(vm + "\x00" + account)}
		if highest, ok := best[domain]; !ok || scored.hash > highest.hash {
			best[domain] = scored
		}
	}
	candidates := slices.SortedFunc(maps.Values(best), func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	var owners []string
	for _, owner := range candidates[:min(len(candidates), maxPools)] {
		owners = append(owners, owner.vm)
	}
	return owners
}

// evenFraction returns the fraction of an account's rate and burst that is split
// evenly among the daemons, zero when the even shares would be too small.
func evenFraction(account rattancatalog.Account, daemons int) float64 {
	const fraction = evenSharePercent / 100.0
	if account.Rate*fraction/float64(max(daemons, 1)) < minEvenShareRate {
		return 0
	}
	return fraction
}

// newBucket returns a bucket for a fraction of an account's rate and burst.
func newBucket(account rattancatalog.Account, fraction float64, now time.Time) *rattanbucket.Bucket {
	rate, depth := bucketLimits(account, fraction)
	bucket := rattanbucket.New(rate, depth, now)
	bucket.Add(depth * initialFillPercent / 100)
	return bucket
}

// bucketLimits returns a fraction of an account's rate and burst in thousandths.
// The depth is at least one operation, as otherwise none could ever be admitted.
func bucketLimits(account rattancatalog.Account, fraction float64) (rate, depth int64) {
	if fraction == 0 {
		return 0, 0
	}
	rate = int64(account.Rate * fraction * rattanbucket.Unit)
	depth = max(int64(account.Burst*fraction*rattanbucket.Unit), rattanbucket.Unit)
	return rate, depth
}

// updateLimits refills bucket and then sets its limits, in case the account's
// settings or the number of daemons or pools have changed.
func updateLimits(bucket *rattanbucket.Bucket, account rattancatalog.Account, fraction float64, now time.Time) {
	bucket.Refill(now)
	rate, depth := bucketLimits(account, fraction)
	if bucket.Rate() != rate || bucket.Depth() != depth {
		bucket.SetLimits(rate, depth)
	}
}

// A Pool is the part of one account's rate and burst that one pool owner hands out.
type Pool struct {
	bucket *rattanbucket.Bucket
}

// Grant hands out tokens for at most wanted operations. Unless only one is left, it
// hands out at most half of the available ones, so that other daemons get some too.
// When there is none it returns the time after which to ask again. daemons is the
// number of live daemons and pools the number of the account's pools.
func (p *Pool) Grant(account rattancatalog.Account, daemons, pools int, wanted int64, now time.Time) (int64, time.Duration) {
	fraction := (1 - evenFraction(account, daemons)) / float64(max(pools, 1))
	if p.bucket == nil {
		p.bucket = newBucket(account, fraction, now)
	}
	updateLimits(p.bucket, account, fraction, now)
	available := p.bucket.Tokens() / rattanbucket.Unit
	granted := min(wanted, max(available/2, min(available, 1)))
	if granted > 0 && p.bucket.Take(granted*rattanbucket.Unit) {
		return granted, 0
	}
	wait, ok := p.bucket.Delay(rattanbucket.Unit, 0)
	if !ok {
		wait = maxRetryAfter
	}
	return 0, min(max(wait, minRetryAfter), maxRetryAfter)
}

// An AccountLimiter decides which operations of one account one daemon admits.
type AccountLimiter struct {
	evenShare       *rattanbucket.Bucket
	prefetched      int64
	prefetchedUntil time.Time
	// deniedUntil is the time until which the pools are assumed to be empty.
	deniedUntil time.Time
	// demand is the average number of operations requested per second, as of
	// lastDemand.
	demand     float64
	lastDemand time.Time
}

// Take admits one operation if the daemon's even share or its prefetched tokens
// allow it. daemons is the number of live daemons.
func (a *AccountLimiter) Take(account rattancatalog.Account, daemons int, now time.Time) bool {
	fraction := evenFraction(account, daemons) / float64(max(daemons, 1))
	if a.evenShare == nil {
		a.evenShare = newBucket(account, fraction, now)
	}
	updateLimits(a.evenShare, account, fraction, now)
	if a.evenShare.Take(rattanbucket.Unit) {
		return true
	}
	if a.prefetched > 0 && now.Before(a.prefetchedUntil) {
		a.prefetched--
		return true
	}
	return false
}

// RecordDemand counts one operation that a caller requests, admitted or not.
func (a *AccountLimiter) RecordDemand(now time.Time) {
	elapsed := now.Sub(a.lastDemand)
	a.lastDemand = now
	decay := max(0, 1-float64(elapsed)/float64(demandWindow))
	a.demand = a.demand*decay + 1/demandWindow.Seconds()
}

// TokensToRequest returns the number of tokens to request from the pool owners, 0
// while the pools are assumed to be empty.
func (a *AccountLimiter) TokensToRequest(now time.Time) int64 {
	if now.Before(a.deniedUntil) {
		return 0
	}
	return 1 + int64(a.demand*prefetchTime.Seconds())
}

// AddTokens records the response of a pool owner: the tokens that it granted, or
// the time after which to ask again. Prefetched tokens that have expired are dropped.
func (a *AccountLimiter) AddTokens(tokens int64, retryAfter time.Duration, now time.Time) {
	if tokens <= 0 {
		a.deniedUntil = now.Add(retryAfter)
		return
	}
	if !now.Before(a.prefetchedUntil) {
		a.prefetched = 0
	}
	a.prefetched += tokens
	a.prefetchedUntil = now.Add(prefetchExpiry)
}

// RetryAfter returns the time after which a refused operation may be admitted.
func (a *AccountLimiter) RetryAfter(now time.Time) time.Duration {
	wait, ok := a.evenShare.Delay(rattanbucket.Unit, 0)
	if !ok {
		wait = maxRetryAfter
	}
	if denied := a.deniedUntil.Sub(now); denied > 0 {
		wait = min(wait, denied)
	}
	return max(wait, minRetryAfter)
}
