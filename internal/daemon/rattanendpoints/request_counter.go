package rattanendpoints

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// requestCounter counts the requests and transactions that run on an endpoint,
// and those started in the current and in the previous second.
type requestCounter struct {
	clock rattanclock.Clock

	mutex   sync.Mutex
	running int
	// second is the start of the current second, started the starts within it.
	second   time.Time
	started  int
	previous int
}

// begin counts the start of a request and returns the function that counts its
// end. Only the first call of that function counts.
func (c *requestCounter) begin() func() {
	c.mutex.Lock()
	c.rotate()
	c.running++
	c.started++
	c.mutex.Unlock()
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mutex.Lock()
			c.running--
			c.mutex.Unlock()
		})
	}
}

// rotate starts a new second when the current one is over. The caller holds mutex.
func (c *requestCounter) rotate() {
	now := c.clock.Now()
	elapsed := now.Sub(c.second)
	if elapsed < time.Second {
		return
	}
	c.previous = 0
	if elapsed < 2*time.Second {
		c.previous = c.started
	}
	c.started = 0
	c.second = now
}

func (c *requestCounter) runningNow() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running
}

// startedLastSecond returns the starts of the previous second, or those of the
// current one when they are more already.
func (c *requestCounter) startedLastSecond() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rotate()
	return max(c.previous, c.started)
}
