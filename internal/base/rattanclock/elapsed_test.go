package rattanclock

import (
	"testing"
	"time"
)

// TestElapsed guards against a loan that is held past its end because the VM was
// suspended or the wall clock was set back.
func TestElapsed(t *testing.T) {
	start := time.Now()
	if got := Elapsed(start, start.Add(time.Second)); got != time.Second {
		t.Errorf("both clocks advanced by 1s: got %s, want 1s", got)
	}
	suspended := start.Round(0).Add(time.Minute)
	if got := Elapsed(start, suspended); got < time.Minute {
		t.Errorf("only the wall clock advanced by 1m: got %s, want at least 1m", got)
	}
}
