// Package rattanclock provides the clock that decisions use in place of the
// time package, so that they run the same under simulated time.
package rattanclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// A Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// System returns the clock of the operating system.
func System() Clock {
	return clockwork.NewRealClock()
}
