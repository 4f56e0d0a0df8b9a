package rattanquota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

func start() time.Time { return time.Unix(1000, 0) }

// TestPoolOwnersAreAgreed guards against two daemons that hand out the same pool,
// and against a partition of one failure domain that makes several pools
// unreachable. Daemons with the same list of VMs must choose the same pool owners,
// one per failure domain.
func TestPoolOwnersAreAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.MapOfN(rapid.StringMatching(`[a-z]{1,6}`), rapid.StringMatching(`[v-z]`), 1, 9).Draw(t, "domains")
		account := rapid.String().Draw(t, "account")
		owners := PoolOwners(account, domains)
		if again := PoolOwners(account, maps.Clone(domains)); !slices.Equal(owners, again) {
			t.Fatalf("two calls with the same VMs returned the pool owners %q and %q", owners, again)
		}
		seen := make(map[string]bool)
		for _, owner := range owners {
			if seen[domains[owner]] {
				t.Fatalf("two of the pool owners %q are in one failure domain", owners)
			}
			seen[domains[owner]] = true
		}
		all := make(map[string]bool)
		for _, domain := range domains {
			all[domain] = true
		}
		if want := min(len(all), maxPools); len(owners) != want {
			t.Fatalf("got %d pool owners, want %d", len(owners), want)
		}
	})
}

// TestRateHoldsOverDaemons guards against an account that gets more than its
// rate and burst when it sends requests to all daemons at once.
func TestRateHoldsOverDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rattancatalog.Account{
			Name:  "dealer",
			Rate:  float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst")),
		}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		pools := make([]Pool, rapid.IntRange(1, maxPools).Draw(t, "pools"))
		limiters := make([]AccountLimiter, daemons)
		admitted, now := 0, start()
		const steps = 2000
		for range steps {
			now = now.Add(5 * time.Millisecond)
			limiter := &limiters[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if admit(limiter, pools, account, daemons, now) {
				admitted++
			}
		}
		seconds := (steps * 5 * time.Millisecond).Seconds()
		if limit := account.Rate*seconds + account.Burst + float64(daemons+len(pools)); float64(admitted) > limit {
			t.Fatalf("%d operations admitted in %g s, want at most %g", admitted, seconds, limit)
		}
	})
}

// admit requests one operation the way a daemon does: it takes what the daemon
// holds, and otherwise requests tokens from one pool after the other.
func admit(limiter *AccountLimiter, pools []Pool, account rattancatalog.Account, daemons int, now time.Time) bool {
	limiter.RecordDemand(now)
	if limiter.Take(account, daemons, now) {
		return true
	}
	wanted := limiter.TokensToRequest(now)
	if wanted == 0 {
		return false
	}
	var granted int64
	var retryAfter time.Duration
	for i := range pools {
		if granted, retryAfter = pools[i].Grant(account, daemons, len(pools), wanted, now); granted > 0 {
			break
		}
	}
	limiter.AddTokens(granted, retryAfter, now)
	return limiter.Take(account, daemons, now)
}

// TestUnevenCallersGetTheirRate guards against refusals within the rate when all
// callers of an account use one daemon of seven, at 62% of the account's rate. With
// fixed shares most of their operations were refused.
func TestUnevenCallersGetTheirRate(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 100, Burst: 100}
	pools, limiter := make([]Pool, maxPools), &AccountLimiter{}
	now, refused := start(), 0
	for range 620 {
		now = now.Add(16 * time.Millisecond)
		if !admit(limiter, pools, account, 7, now) {
			refused++
		}
	}
	if refused > 12 {
		t.Errorf("%d of 620 operations within the rate were refused, want at most 12", refused)
	}
}

// TestSmallAccountsArePooled guards against refusals within the rate when 91
// daemons serve an account of 30 operations per second. With even shares, which
// were 0.13 per second and went unused, 6% of the operations within the rate were
// refused.
func TestSmallAccountsArePooled(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 30, Burst: 30}
	pools, limiters := make([]Pool, maxPools), make([]AccountLimiter, 91)
	now, refused := start(), 0
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		if !admit(&limiters[i%len(limiters)], pools, account, len(limiters), now) {
			refused++
		}
	}
	if refused > 8 {
		t.Errorf("%d of 400 operations within the rate were refused, want at most 8", refused)
	}
}

// TestPrefetchedTokensExpire guards against prefetched tokens that are spent long
// after they were handed out, in addition to those of the following seconds.
func TestPrefetchedTokensExpire(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 10, Burst: 10}
	limiter := &AccountLimiter{}
	limiter.AddTokens(5, 0, start())
	if !limiter.Take(account, 100, start()) {
		t.Fatal("an operation is refused although a prefetched token is left")
	}
	if limiter.Take(account, 100, start().Add(prefetchExpiry)) {
		t.Error("a prefetched token is used after its expiry")
	}
}

// TestPartitionLeavesPools guards against a daemon that admits nothing while a
// partition leaves it one of three pools, in a fleet of 91 without even shares. With
// a single pool on the other side of the partition, it admitted nothing.
func TestPartitionLeavesPools(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 30, Burst: 30}
	pools, limiter := make([]Pool, 1), &AccountLimiter{}
	now, admitted := start(), 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		limiter.RecordDemand(now)
		granted, retryAfter := pools[0].Grant(account, 91, maxPools, max(limiter.TokensToRequest(now), 1), now)
		limiter.AddTokens(granted, retryAfter, now)
		if limiter.Take(account, 91, now) {
			admitted++
		}
	}
	if admitted < 80 || admitted > 115 {
		t.Errorf("%d operations admitted in 10 s, want about a third of the account's 300", admitted)
	}
}
