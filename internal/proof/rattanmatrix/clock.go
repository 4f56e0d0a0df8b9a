package rattanmatrix

import (
	"math"
	"sync"
	"time"
)

// A vmClock is the simulated clock of one VM. It can run fast or slow, and its timers
// do not fire while the VM is frozen.
type vmClock struct {
	start time.Time

	mutex    sync.Mutex
	rate     float64
	unfrozen chan struct{}
}

func newVMClock() *vmClock { return &vmClock{start: time.Now(), rate: 1} }

// Now implements rattanclock.Clock.
func (c *vmClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.rate == 1 {
		return time.Now()
	}
	return c.start.Add(time.Duration(float64(time.Since(c.start)) * c.rate))
}

// After implements rattanclock.Clock.
func (c *vmClock) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The wait is rounded up so that a wait of one nanosecond does not end before
	// the clock has advanced.
	wait := time.Duration(math.Ceil(float64(d) / c.rate))
	time.AfterFunc(wait, func() {
		c.mutex.Lock()
		unfrozen := c.unfrozen
		c.mutex.Unlock()
		if unfrozen != nil {
			<-unfrozen
		}
		fired <- c.Now()
	})
	return fired
}

// freeze delays all timers until unfreeze.
func (c *vmClock) freeze() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unfrozen == nil {
		c.unfrozen = make(chan struct{})
	}
}

func (c *vmClock) unfreeze() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unfrozen != nil {
		close(c.unfrozen)
		c.unfrozen = nil
	}
}

// setRate makes the clock run at rate times the real speed. The displayed time jumps,
// since the rate applies from the start of the clock, as that of a corrected clock
// does.
func (c *vmClock) setRate(rate float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rate = rate
}
