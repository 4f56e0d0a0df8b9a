package rattanmatrix

import (
	"sync"
	"time"
)

// A vmClock is the clock of one VM. It may run fast or slow, and its timers do
// not fire while the VM is frozen.
type vmClock struct {
	start time.Time

	mutex sync.Mutex
	rate  float64
	thaw  chan struct{}
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
	time.AfterFunc(time.Duration(float64(d)/c.rate), func() {
		c.mutex.Lock()
		thaw := c.thaw
		c.mutex.Unlock()
		if thaw != nil {
			<-thaw
		}
		fired <- c.Now()
	})
	return fired
}

// freeze holds all timers until unfreeze.
func (c *vmClock) freeze() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.thaw == nil {
		c.thaw = make(chan struct{})
	}
}

func (c *vmClock) unfreeze() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.thaw != nil {
		close(c.thaw)
		c.thaw = nil
	}
}

// setRate makes the clock run at rate times the true speed from now on. The
// time that it shows jumps, as a corrected clock's does.
func (c *vmClock) setRate(rate float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rate = rate
}
