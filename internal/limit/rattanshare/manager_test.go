package rattanshare

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const testShare = "account/shop/dealer-1"

// load sends requests with exponential gaps of the mean 1/rate to the daemon
// that choose returns, for the given time. It returns the numbers of requests and
// of refusals.
func load(t *testing.T, rate float64, length time.Duration, seed uint64, choose func(*rand.Rand) *Manager) (sent, refused int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var running sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		m := choose(random)
		sent++
		running.Go(func() {
			if err := m.Admit(t.Context(), testShare); err != nil {
				assertOverRate(t, err)
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	running.Wait()
	return sent, refused
}

// TestOneDaemonGetsTheWholeRate guards against a client account that meets one
// daemon only and is refused within its rate, which fixed parts would do.
func TestOneDaemonGetsTheWholeRate(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options []Option
		atMost  float64
	}{
		{"loans", nil, 0},
		{"baseline of fixed parts", []Option{WithFixedParts()}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, map[string]Amount{testShare: {Rate: 200 * Unit, Burst: 400 * Unit}}, tc.options...)
				defer f.cancel()
				one := func(*rand.Rand) *Manager { return f.managers["vm-a1"] }
				rampSent, rampRefused := load(t, 190, 2*time.Second, 1, one)
				sent, refused := load(t, 190, 20*time.Second, 2, one)
				share, _ := f.managers["vm-a1"].ledger.Share(testShare)
				t.Logf("first 2 s: %d of %d refused; next 20 s: %d of %d refused (%.2f%%); limit %v",
					rampRefused, rampSent, refused, sent, 100*float64(refused)/float64(sent), share.Limit)
				if float64(refused) > tc.atMost*float64(sent) || float64(rampRefused) > tc.atMost*float64(rampSent) {
					t.Errorf("refused %d and %d requests within the rate", rampRefused, refused)
				}
			})
		})
	}
}
