package rattanbucket

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes each run of the property tests the same.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestAdmittedIsBounded guards against a bucket that admits more than its depth
// plus its rate times the elapsed time, for example by rounding up, and against
// one that loses refill by rounding down at each call.
func TestAdmittedIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 1_000_000).Draw(t, "rate")
		depth := rapid.Int64Range(0, 1_000_000).Draw(t, "depth")
		start := time.Unix(0, 0)
		now := start
		b := New(rate, depth, now)
		var taken int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1000, 3_000_000).Draw(t, "elapsed")))
			b.Refill(now)
			if units := rapid.Int64Range(0, 2000).Draw(t, "units"); b.Take(units) {
				taken += units
			}
		}
		elapsed := b.refilled.Sub(start).Nanoseconds()
		if taken*int64(time.Second) > rate*elapsed {
			t.Fatalf("took %d thousandths in %d ns, more than the rate %d allows", taken, elapsed, rate)
		}
		if exact := rate * elapsed / int64(time.Second); exact < depth && taken+b.Tokens() != exact {
			t.Fatalf("took %d thousandths and holds %d, want the sum to be the refill of %d", taken, b.Tokens(), exact)
		}
	})
}

// TestDelay guards against a delay after which the units cannot be taken yet, and
// against one that is longer than needed.
func TestDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1_000_000).Draw(t, "rate")
		units := rapid.Int64Range(1, 100_000).Draw(t, "units")
		now := time.Unix(0, 0)
		b := New(rate, 100_000, now)
		b.Refill(now.Add(time.Duration(rapid.Int64Range(0, 1_000_000).Draw(t, "before"))))
		wait, ok := b.Delay(units, 0)
		if !ok {
			t.Fatal("Delay reports that the units can never be taken, but the bucket can hold them")
		}
		early := *b
		early.Refill(b.refilled.Add(wait - 1))
		if wait > 0 && early.Take(units) {
			t.Fatalf("units can be taken before the delay of %s", wait)
		}
		b.Refill(b.refilled.Add(wait))
		if !b.Take(units) {
			t.Fatalf("units cannot be taken after the delay of %s", wait)
		}
	})
}

// TestLimits guards against overflow after a long pause, tokens above the depth,
// and the acceptance of negative amounts.
func TestLimits(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(math.MaxInt64, 10*Unit, now)
	b.Refill(now.Add(math.MaxInt64))
	if b.Tokens() != 10*Unit {
		t.Errorf("after a long pause the bucket holds %d thousandths, want the depth", b.Tokens())
	}
	b.Add(math.MaxInt64)
	b.SetLimits(0, 4*Unit)
	if b.Tokens() != 4*Unit {
		t.Errorf("after a reduction the bucket holds %d thousandths, want the new depth", b.Tokens())
	}
	if b.Take(-1) || b.Take(5*Unit) {
		t.Error("took a negative amount, or more than the bucket holds")
	}
	if _, ok := b.Delay(5*Unit, 0); ok {
		t.Error("Delay reports a time for more than the depth")
	}
	if wait, ok := b.Delay(Unit, 3*Unit); !ok || wait != 0 {
		t.Errorf("delay for the last of 4 tokens, with 3 ahead: got %s, %t, want none", wait, ok)
	}
	if wait, ok := New(Unit, Unit, now).Delay(Unit, 4*Unit); !ok || wait != 5*time.Second {
		t.Errorf("delay for 1 token at 1/s, with 4 ahead: got %s, %t, want 5 s", wait, ok)
	}
	slow := New(1, math.MaxInt64, now)
	if wait, ok := slow.Delay(math.MaxInt64, 0); !ok || wait <= 0 {
		t.Errorf("delay for the largest amount: got %s, %t, want a positive one", wait, ok)
	}
}
