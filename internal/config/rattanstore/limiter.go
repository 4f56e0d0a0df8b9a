package rattanstore

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A limiter bounds the rate of calls. Calls over the bound wait in order.
type limiter struct {
	clock    rattanclock.Clock
	interval time.Duration
	// slack is how far calls may run ahead of the even rate.
	slack time.Duration

	mu sync.Mutex
	// due is when the next call would be at the even rate.
	due time.Time
}

func newLimiter(clock rattanclock.Clock, perSecond float64, burst int) *limiter {
	interval := time.Duration(float64(time.Second) / perSecond)
	return &limiter{clock: clock, interval: interval, slack: time.Duration(burst-1) * interval}
}

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
