package rattanusage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrueTime guards against counts that land in a wrong window because a VM's clock is
// off or was set: the time is off by no more than a date's resolution and the time that a
// response takes, and a clock that is right counts as it is.
func TestTrueTime(t *testing.T) {
	const slowest = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var clock TrueTime
		steady := time.Unix(1000, 0)
		offset := time.Duration(rapid.Int64Range(1, 1<<60).Draw(t, "offset"))
		wallError := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			steady = steady.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "set") {
				wallError = time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "error"))
			}
			sent := steady
			there := time.Duration(rapid.Int64Range(0, int64(slowest)/2).Draw(t, "there"))
			back := time.Duration(rapid.Int64Range(0, int64(slowest)/2).Draw(t, "back"))
			named := sent.Add(there).Add(offset).Truncate(time.Second)
			steady = sent.Add(there).Add(back)
			clock.Observe(named, sent, steady)
			truth := steady.Add(offset)
			if off := clock.Now(steady, truth.Add(wallError)).Sub(truth).Abs(); off > time.Second+slowest {
				t.Fatalf("off by %s with a clock that is off by %s", off, wallError)
			}
			if off := clock.Now(steady, truth).Sub(truth); off != 0 {
				t.Fatalf("off by %s with a clock that is right", off)
			}
		}
	})
}

// TestWindowAt guards against a window that begins elsewhere than at a multiple of its
// length.
func TestWindowAt(t *testing.T) {
	const length = 5 * time.Second
	for at, want := range map[time.Time]int64{
		time.Unix(0, 0): 0, time.Unix(4, 999_999_999): 0, time.Unix(5, 0): 1, time.Unix(1767225600, 0): 353445120,
	} {
		if got := WindowAt(at, length); got != want {
			t.Errorf("%s: got the window %d, want %d", at, got, want)
		}
	}
	if got := End(353445120, length); !got.Equal(time.Unix(1767225605, 0)) {
		t.Errorf("got the end %s", got)
	}
}
