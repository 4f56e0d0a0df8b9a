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

// TestKeepersAreAgreed guards against two daemons that hand out the same pool, and
// against pools that one cut takes: daemons with the same list choose the same
// keepers, one per failure domain.
func TestKeepersAreAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.MapOfN(rapid.StringMatching(`[a-z]{1,6}`), rapid.StringMatching(`[v-z]`), 1, 9).Draw(t, "domains")
		account := rapid.String().Draw(t, "account")
		owners := PoolOwners(account, domains)
		if again := PoolOwners(account, maps.Clone(domains)); !slices.Equal(owners, again) {
			t.Fatalf("keepers %q and %q", owners, again)
		}
		seen := make(map[string]bool)
		for _, owner := range owners {
			if seen[domains[owner]] {
				t.Fatalf("keepers %q share a failure domain", owners)
			}
			seen[domains[owner]] = true
		}
		all := make(map[string]bool)
		for _, domain := range domains {
			all[domain] = true
		}
		if want := min(len(all), maxPools); len(owners) != want {
			t.Fatalf("%d keepers, want %d", len(owners), want)
		}
	})
}

// TestRateHoldsOverDaemons guards against an account that gets more than its
// rate and burst when it presses on all daemons at once.
func TestRateHoldsOverDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rattancatalog.Account{
			Name:  "dealer",
			Rate:  float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst")),
		}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		pools := make([]Pool, rapid.IntRange(1, maxPools).Draw(t, "pools"))
		accounts := make([]AccountLimiter, daemons)
		admitted, now := 0, start()
		const steps = 2000
		for range steps {
			now = now.Add(5 * time.Millisecond)
			one := &accounts[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if admit(one, pools, account, daemons, now) {
				admitted++
			}
		}
		seconds := (steps * 5 * time.Millisecond).Seconds()
		if limit := account.Rate*seconds + account.Burst + float64(daemons+len(pools)); float64(admitted) > limit {
			t.Fatalf("%d operations admitted in %g s, at most %g", admitted, seconds, limit)
		}
	})
}

func admit(one *AccountLimiter, pools []Pool, account rattancatalog.Account, daemons int, now time.Time) bool {
	one.RecordDemand(now)
	if one.Take(account, daemons, now) {
		return true
	}
	wanted := one.TokensToRequest(now)
	if wanted == 0 {
		return false
	}
	var granted int64
	var retryAfter time.Duration
	for at := range pools {
		if granted, retryAfter = pools[at].Grant(account, daemons, len(pools), wanted, now); granted > 0 {
			break
		}
	}
	one.AddTokens(granted, retryAfter, now)
	return one.Take(account, daemons, now)
}

// TestUnevenCallersGetTheirRate replays callers that all reach one daemon of
// seven with 62% of their account's rate: fixed shares refused most of them.
func TestUnevenCallersGetTheirRate(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 100, Burst: 100}
	pools, one := make([]Pool, maxPools), &AccountLimiter{}
	now, refused := start(), 0
	for range 620 {
		now = now.Add(16 * time.Millisecond)
		if !admit(one, pools, account, 7, now) {
			refused++
		}
	}
	if refused > 12 {
		t.Errorf("%d of 620 operations within the rate are refused", refused)
	}
}

// TestSmallAccountsArePooledWhole replays 91 daemons before an account of 30
// operations a second: even parts of 0.13 a second went unused, and 6% of the
// operations were refused within the rate.
func TestSmallAccountsArePooledWhole(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 30, Burst: 30}
	pools, accounts := make([]Pool, maxPools), make([]AccountLimiter, 91)
	now, refused := start(), 0
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		if !admit(&accounts[i%len(accounts)], pools, account, len(accounts), now) {
			refused++
		}
	}
	if refused > 8 {
		t.Errorf("%d of 400 operations within the rate are refused", refused)
	}
}

// TestStockExpires guards against tokens of the pool that are spent long after
// they were handed out, on top of those of the next seconds.
func TestStockExpires(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 10, Burst: 10}
	one := &AccountLimiter{}
	one.AddTokens(5, 0, start())
	if !one.Take(account, 100, start()) {
		t.Fatal("a token at hand is refused")
	}
	if one.Take(account, 100, start().Add(stockExpiry)) {
		t.Error("a token is spent after its end")
	}
}

// TestCutLeavesPools replays a cut that leaves a daemon one of three pools, in a
// fleet of 91 without even parts: with one pool beyond the cut it admitted nothing.
func TestCutLeavesPools(t *testing.T) {
	account := rattancatalog.Account{Name: "dealer", Rate: 30, Burst: 30}
	pools, one := make([]Pool, 1), &AccountLimiter{}
	now, admitted := start(), 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		one.RecordDemand(now)
		granted, retryAfter := pools[0].Grant(account, 91, maxPools, max(one.TokensToRequest(now), 1), now)
		one.AddTokens(granted, retryAfter, now)
		if one.Take(account, 91, now) {
			admitted++
		}
	}
	if admitted < 80 || admitted > 115 {
		t.Errorf("%d operations admitted in 10 s, want a third of the account's 300", admitted)
	}
}
