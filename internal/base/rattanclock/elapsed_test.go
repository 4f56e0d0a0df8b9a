package rattanclock

import (
	"testing"
	"time"
)

// TestElapsed guards against a loan that outlives a suspended VM or a wall
// clock that was set back.
func TestElapsed(t *testing.T) {
	start := time.Now()
	if got := Elapsed(start, start.Add(time.Second)); got != time.Second {
		t.Errorf("both clocks: got %s, want 1s", got)
	}
	suspended := start.Round(0).Add(time.Minute)
	if got := Elapsed(start, suspended); got < time.Minute {
		t.Errorf("wall clock alone moved: got %s, want at least 1m", got)
	}
}
