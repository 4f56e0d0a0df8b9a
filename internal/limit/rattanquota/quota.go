// Package rattanquota divides a client account's rate and burst among the
// daemons. A part of them is split evenly, so that a daemon that reaches no other
// one still admits something; the rest are pools of equal size that daemons in
// different failure domains, the keepers, hand out on demand, so that a cut leaves
// some on each side. The parts add up to the account's rate and burst.
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
	// evenPercent is the part of the rate and burst that is split evenly.
	evenPercent = 40
	// maxPools is the number of pools of an account in a fleet with as many
	// failure domains.
	maxPools = 3
	// minEvenRate is the least even part of a daemon, in operations a second:
	// smaller parts mostly go unused, so the whole rate is pooled then.
	minEvenRate = 1.5
	// stockTime is for how long a daemon asks for tokens ahead of its demand.
	stockTime = 400 * time.Millisecond
	// stockExpiry is after how long unused tokens of the pool are void.
	stockExpiry = 800 * time.Millisecond
	// demandMemory is the time over which the demand is averaged.
	demandMemory = 500 * time.Millisecond
	// minDenial is the least time after which a refused daemon asks again.
	minDenial = 20 * time.Millisecond
	// maxDenial is the most, so that a lower demand elsewhere is noticed.
	maxDenial = 200 * time.Millisecond
	// initialPercent is how full a bucket begins: another keeper may have
	// handed out a burst just before.
	initialPercent = 25
)

// PoolOwners returns the VMs that keep the pools of an account: the ones with the
// highest hash of both names, one per failure domain. Domains are those of the live
// VMs, by name.
func PoolOwners(account string, domains map[string]string) []string {
	type candidate struct {
		vm   string
		hash uint64
	}
	best := make(map[string]candidate)
	for vm, domain := range domains {
		one := candidate{vm: vm, hash: xxhash.Sum64String(vm + "\x00" + account)}
		if before, ok := best[domain]; !ok || one.hash > before.hash {
			best[domain] = one
		}
	}
	candidates := slices.SortedFunc(maps.Values(best), func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	var owners []string
	for _, one := range candidates[:min(len(candidates), maxPools)] {
		owners = append(owners, one.vm)
	}
	return owners
}

// evenPart returns the part of an account's rate that is split evenly.
func evenPart(account rattancatalog.Account, daemons int) float64 {
	const part = evenPercent / 100.0
	if account.Rate*part/float64(max(daemons, 1)) < minEvenRate {
		return 0
	}
	return part
}

// newBucket returns a bucket for a part of an account's rate and burst.
func newBucket(account rattancatalog.Account, part float64, now time.Time) *rattanbucket.Bucket {
	rate, depth := partOf(account, part)
	bucket := rattanbucket.New(rate, depth, now)
	bucket.Add(depth * initialPercent / 100)
	return bucket
}

func partOf(account rattancatalog.Account, part float64) (rate, depth int64) {
	if part == 0 {
		return 0, 0
	}
	rate = int64(account.Rate * part * rattanbucket.Unit)
	depth = max(int64(account.Burst*part*rattanbucket.Unit), rattanbucket.Unit)
	return rate, depth
}

func adjust(bucket *rattanbucket.Bucket, account rattancatalog.Account, part float64, now time.Time) {
	bucket.Refill(now)
	rate, depth := partOf(account, part)
	if bucket.Rate() != rate || bucket.Depth() != depth {
		bucket.SetLimits(rate, depth)
	}
}

// A Pool is what one keeper hands out of one account.
type Pool struct {
	bucket *rattanbucket.Bucket
}

// Grant hands out at most wanted operations: never more than half of what is
// there, so that the other daemons get some. When there is nothing it returns
// the time after which to ask again. Daemons is the number of live daemons, pools
// that of the account's pools.
func (p *Pool) Grant(account rattancatalog.Account, daemons, pools int, wanted int64, now time.Time) (int64, time.Duration) {
	part := (1 - evenPart(account, daemons)) / float64(max(pools, 1))
	if p.bucket == nil {
		p.bucket = newBucket(account, part, now)
	}
	adjust(p.bucket, account, part, now)
	available := p.bucket.Tokens() / rattanbucket.Unit
	granted := min(wanted, max(available/2, min(available, 1)))
	if granted > 0 && p.bucket.Take(granted*rattanbucket.Unit) {
		return granted, 0
	}
	wait, ok := p.bucket.Delay(rattanbucket.Unit, 0)
	if !ok {
		wait = maxDenial
	}
	return 0, min(max(wait, minDenial), maxDenial)
}

// An AccountLimiter is the admission of one account at one daemon.
type AccountLimiter struct {
	even       *rattanbucket.Bucket
	stock      int64
	stockUntil time.Time
	// deniedUntil is until when the pools are known to be empty.
	deniedUntil time.Time
	// demand is the number of operations a second.
	demand   float64
	demanded time.Time
}

// Take admits one operation from what the daemon has at hand. Daemons is the
// number of live daemons.
func (a *AccountLimiter) Take(account rattancatalog.Account, daemons int, now time.Time) bool {
	part := evenPart(account, daemons) / float64(max(daemons, 1))
	if a.even == nil {
		a.even = newBucket(account, part, now)
	}
	adjust(a.even, account, part, now)
	if a.even.Take(rattanbucket.Unit) {
		return true
	}
	if a.stock > 0 && now.Before(a.stockUntil) {
		a.stock--
		return true
	}
	return false
}

// RecordDemand counts one operation that a caller asks for.
func (a *AccountLimiter) RecordDemand(now time.Time) {
	elapsed := now.Sub(a.demanded)
	a.demanded = now
	fade := max(0, 1-float64(elapsed)/float64(demandMemory))
	a.demand = a.demand*fade + 1/demandMemory.Seconds()
}

// TokensToRequest returns how many operations to ask the keepers for, 0 while the pools are
// known to be empty.
func (a *AccountLimiter) TokensToRequest(now time.Time) int64 {
	if now.Before(a.deniedUntil) {
		return 0
	}
	return 1 + int64(a.demand*stockTime.Seconds())
}

// AddTokens takes the keeper's answer in.
func (a *AccountLimiter) AddTokens(tokens int64, retryAfter time.Duration, now time.Time) {
	if tokens <= 0 {
		a.deniedUntil = now.Add(retryAfter)
		return
	}
	if !now.Before(a.stockUntil) {
		a.stock = 0
	}
	a.stock += tokens
	a.stockUntil = now.Add(stockExpiry)
}

// RetryAfter returns when a refused operation may be admitted.
func (a *AccountLimiter) RetryAfter(now time.Time) time.Duration {
	wait, ok := a.even.Delay(rattanbucket.Unit, 0)
	if !ok {
		wait = maxDenial
	}
	if denied := a.deniedUntil.Sub(now); denied > 0 {
		wait = min(wait, denied)
	}
	return max(wait, minDenial)
}
