// Package rattanclock provides the clock that other packages use in place of the
// time package, so that tests can run the same code under simulated time.
package rattanclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// A Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// System returns the clock of the operating system.
func System() Clock {
	return clockwork.NewRealClock()
}
