// Package rattanpropagation bounds how long a change that the store has acknowledged may take
// to reach every daemon, and records how old a daemon's copy of the store may be.
package rattanpropagation

import (
	"math"
	"sync"
	"time"
)

// UnknownAge is the age of a copy of the store that was never confirmed.
const UnknownAge = time.Duration(math.MaxInt64)

// A Confirmation records up to which moment a daemon's copy of the store is known to hold
// every change: whether the store has said so itself or another daemon that knows. It is safe
// for concurrent use, and its zero value is that of a daemon that knows nothing.
type Confirmation struct {
	mu sync.Mutex
	at time.Time
}

// Confirm records that the copy holds every change that was acknowledged before at.
func (c *Confirmation) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// Age returns how old the copy may be, or UnknownAge.
func (c *Confirmation) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return UnknownAge
	}
	return max(0, now.Sub(c.at))
}

// EncodeAge encodes an age for another daemon: milliseconds, rounded up, and one, or 0 for an
// unknown age.
func EncodeAge(age time.Duration) uint32 {
	const most = math.MaxUint32 * time.Millisecond
	if age >= most-2*time.Millisecond {
		return 0
	}
	return uint32(age/time.Millisecond) + 2
}

// DecodeAge returns the age that another daemon has sent, or false if it knows none.
func DecodeAge(encoded uint32) (time.Duration, bool) {
	if encoded == 0 {
		return 0, false
	}
	return time.Duration(encoded-1) * time.Millisecond, true
}
