package client

import (
	"sync"
	"time"
)

const (
	// A budget counts in hundredths of a retry.
	retryCost = 100
	// maxBudget is the largest number of hundredths that can be saved up.
	maxBudget = 10 * retryCost
)

// A budget bounds the retries of all sessions of a client, so that retries do not
// multiply the load of a system in trouble. Each call adds percent hundredths of
// a retry, and each second adds one retry.
type budget struct {
	mu      sync.Mutex
	percent int
	saved   int
	counted time.Time
}

func newBudget(percent int, now time.Time) *budget {
	return &budget{percent: percent, saved: maxBudget, counted: now}
}

// call counts a first attempt.
func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.percent, maxBudget)
}

// retry takes one retry and reports whether there was one.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if seconds := now.Sub(b.counted) / time.Second; seconds > 0 {
		b.saved = min(b.saved+int(min(seconds, maxBudget))*retryCost, maxBudget)
		b.counted = b.counted.Add(seconds * time.Second)
	}
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}
