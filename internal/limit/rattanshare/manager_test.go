package rattanshare

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

const testShare = "account/shop/dealer-1"

// load sends requests for the given time, each to the daemon that choose returns. The
// gaps between them are exponentially distributed with the mean 1/rate. It returns the
// number of requests and the number of wrongful refusals, which are refusals of
// requests that one bucket for the whole fleet would have admitted.
func load(t *testing.T, total Amount, rate float64, length time.Duration, choose func(*rand.Rand, time.Duration) *Manager) (sent, wrongful int) {
	t.Helper()
	random := rand.New(rand.NewPCG(20261204, 1))
	var mu sync.Mutex
	var running sync.WaitGroup
	start := time.Now()
	ideal := rattanbucket.New(total.Rate, total.Burst, start)
	ideal.Add(total.Burst)
	for time.Since(start) < length {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		m := choose(random, time.Since(start))
		ideal.Refill(time.Now())
		within := ideal.Take(Unit)
		sent++
		running.Go(func() {
			err := m.Admit(t.Context(), testShare)
			if err == nil {
				return
			}
			assertOverRate(t, err)
			mu.Lock()
			defer mu.Unlock()
			if within {
				wrongful++
			}
		})
	}
	running.Wait()
	return sent, wrongful
}

// TestWrongfulRefusals guards against refusals of requests while the client account is
// within its rate. It logs their percentage with loans and, as the baseline, with fixed
// shares. The first two cases are requirements: a client account all of whose requests
// reach one daemon has its full rate from the start.
func TestWrongfulRefusals(t *testing.T) {
	one := func(f *fleet) func(*rand.Rand, time.Duration) *Manager {
		return func(*rand.Rand, time.Duration) *Manager { return f.managers["vm-a1"] }
	}
	for _, tc := range []struct {
		name    string
		total   Amount
		rate    float64
		choose  func(f *fleet) func(*rand.Rand, time.Duration) *Manager
		percent float64
	}{
		{"one daemon", Amount{200 * Unit, 400 * Unit}, 190, one, 0},
		{"one daemon, first 2 s", Amount{200 * Unit, 400 * Unit}, 190, one, 0},
		{"one daemon, small burst", Amount{200 * Unit, 20 * Unit}, 150, one, 1},
		{"one daemon, low rate", Amount{2 * Unit, 4 * Unit}, 1, one, 1},
		{"all daemons", Amount{200 * Unit, 400 * Unit}, 190, func(f *fleet) func(*rand.Rand, time.Duration) *Manager {
			return func(r *rand.Rand, _ time.Duration) *Manager { return f.managers[f.names[r.IntN(len(f.names))]] }
		}, 0},
		{"another daemon every 3 s", Amount{200 * Unit, 400 * Unit}, 180, func(f *fleet) func(*rand.Rand, time.Duration) *Manager {
			return func(_ *rand.Rand, now time.Duration) *Manager {
				return f.managers[f.names[int(now/(3*time.Second))%len(f.names)]]
			}
		}, 5},
		{"70% at one daemon, 30% at another", Amount{200 * Unit, 400 * Unit}, 190, func(f *fleet) func(*rand.Rand, time.Duration) *Manager {
			return func(r *rand.Rand, _ time.Duration) *Manager {
				if r.IntN(10) < 7 {
					return f.managers["vm-a1"]
				}
				return f.managers["vm-b1"]
			}
		}, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			length := 30 * time.Second
			switch {
			case strings.HasSuffix(tc.name, "2 s"):
				length = 2 * time.Second
			case tc.rate < 10:
				length = 10 * time.Minute
			}
			percent := make(map[string]float64)
			for name, options := range map[string][]Option{"loans": nil, "fixed shares": {WithFixedShares()}} {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 3, map[string]Amount{testShare: tc.total}, options...)
					defer f.cancel()
					sent, wrongful := load(t, tc.total, tc.rate, length, tc.choose(f))
					percent[name] = 100 * float64(wrongful) / float64(sent)
				})
			}
			t.Logf("wrongful refusals: loans %.2f%%, fixed shares %.2f%%", percent["loans"], percent["fixed shares"])
			if percent["loans"] > tc.percent {
				t.Errorf("%.2f%% of the requests were refused within the rate, want at most %.2f%%", percent["loans"], tc.percent)
			}
		})
	}
}

// TestConfirmation guards against a daemon that confirms a reduction while it still
// lends more than its reduced base share.
func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, map[string]Amount{testShare: {Rate: 300 * Unit, Burst: 300 * Unit}})
		defer f.cancel()
		m := f.managers["vm-a1"]
		loan := m.HandleBorrow(BorrowRequest{VM: "vm-b1", Incarnation: 1, Share: testShare, LoanID: 9, Amount: Amount{Rate: 100 * Unit, Burst: 100 * Unit}})
		if loan.Rate != 100*Unit {
			t.Fatalf("lent %v, want a rate of 100 units per second", loan)
		}
		before := m.Confirmation()
		reduced := Settings{Revisions: map[string]uint64{"shop": 2}, Domains: []string{"a", "b", "c"}, Shares: map[string]Amount{testShare: {Rate: Unit, Burst: Unit}}}
		m.SetSettings(reduced)
		if m.Confirmation().SettingsDigest != before.SettingsDigest {
			t.Error("the reduction is confirmed before the loan's end")
		}
		if base := m.ledger.Base(testShare); base.Rate > Unit {
			t.Errorf("the base share is %v after the reduction, want a rate of at most one unit per second", base)
		}
		time.Sleep(reclaimTime)
		if m.Confirmation().SettingsDigest == before.SettingsDigest {
			t.Error("the reduction is not confirmed after the loan's end")
		}
	})
}

// TestWaitForLoan guards against a request that is refused although a peer has a
// token, one that waits longer than MaxLoanWait, and one that waits although no peer
// can lend.
func TestWaitForLoan(t *testing.T) {
	for _, tc := range []struct {
		name    string
		down    bool
		takes   int
		maxWait time.Duration
	}{
		{"peers respond", false, 9, 2 * fleetDelay},
		{"peers do not respond", true, 3, MaxLoanWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, map[string]Amount{testShare: {Rate: 1, Burst: 9 * Unit}})
				defer f.cancel()
				for _, m := range f.managers {
					// The rate is too low to fill the buckets within the test.
					s, _ := m.ledger.find(testShare)
					s.mu.Lock()
					s.bucket.Add(3 * Unit)
					s.mu.Unlock()
				}
				if tc.down {
					f.down.Store("vm-b1", true)
					f.down.Store("vm-c1", true)
				}
				for i := range tc.takes {
					start := time.Now()
					if err := f.managers["vm-a1"].Admit(t.Context(), testShare); err != nil {
						t.Fatalf("request %d: %v", i+1, err)
					}
					if waited := time.Since(start); waited > 2*fleetDelay {
						t.Errorf("request %d was admitted only after %s", i+1, waited)
					}
				}
				start := time.Now()
				assertOverRate(t, f.managers["vm-a1"].Admit(t.Context(), testShare))
				if waited := time.Since(start); waited > tc.maxWait {
					t.Errorf("refused after %s, want at most %s", waited, tc.maxWait)
				}
			})
		})
	}
}

// TestOverload guards against a client account that gets more than its rate and burst,
// or much less, when it sends five times its rate, and against daemons that meanwhile
// send each other an unlimited number of loan requests.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		total := Amount{Rate: 200 * Unit, Burst: 400 * Unit}
		f := newFleet(t, 3, map[string]Amount{testShare: total})
		defer f.cancel()
		random := rand.New(rand.NewPCG(20261204, 2))
		const seconds, perSecond = 20, 1000
		var admitted atomic.Int64
		var running sync.WaitGroup
		for range seconds * perSecond {
			time.Sleep(time.Second / perSecond)
			m := f.managers[f.names[random.IntN(len(f.names))]]
			running.Go(func() {
				if m.Admit(t.Context(), testShare) == nil {
					admitted.Add(1)
				}
			})
		}
		running.Wait()
		// The last requests wait for at most MaxLoanWait.
		most := (total.Burst + total.Rate*seconds + total.Rate*int64(MaxLoanWait)/int64(time.Second)) / Unit
		loanRequests := f.loanRequests.Load() / int64(seconds*len(f.names))
		t.Logf("admitted %d of at most %d requests; each daemon sent %d loan requests per second", admitted.Load(), most, loanRequests)
		if admitted.Load() > most || admitted.Load() < most*95/100 {
			t.Errorf("admitted %d requests, want 95%% to 100%% of %d", admitted.Load(), most)
		}
		if loanRequests > 50 {
			t.Errorf("each daemon sent %d loan requests per second, want at most 50", loanRequests)
		}
	})
}
