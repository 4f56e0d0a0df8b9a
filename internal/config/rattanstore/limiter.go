package rattanstore

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A limiter limits the rate of calls. Calls above the limit wait, in the order in
// which they came.
type limiter struct {
	clock    rattanclock.Clock
	interval time.Duration
	// slack is how far ahead of the even rate calls may run, which allows the burst.
	slack time.Duration

	mu sync.Mutex
	// due is when the next call would start at the even rate.
	due time.Time
}

func newLimiter(clock rattanclock.Clock, perSecond float64, burst int) *limiter {
	interval := time.Duration(float64(time.Second) / perSecond)
	return &limiter{clock: clock, interval: interval, slack: time.Duration(burst-1) * interval}
}

// wait waits until a call may start. It returns the context's error when the
// context ends first.
func (l *limiter) wait(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	delay := l.reserve()
	if delay <= 0 {
		return nil
	}
	select {
	case <-l.clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve takes the next place and returns how long the call must wait for it.
func (l *limiter) reserve() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.due.Before(now) {
		l.due = now
	}
	delay := l.due.Add(-l.slack).Sub(now)
	l.due = l.due.Add(l.interval)
	return delay
}
