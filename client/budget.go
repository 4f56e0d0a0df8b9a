package client

import (
	"sync"
	"time"
)

const (
	// A budget counts in hundredths of a retry.
	retryCost = 100
	// maxBudget is the largest number of hundredths that a budget can hold.
	maxBudget = 10 * retryCost
)

// A budget limits the retries of all sessions of a client, so that retries do not
// multiply the load of an overloaded system. Each call adds percent hundredths of
// a retry, and each second adds one retry.
type budget struct {
	mu      sync.Mutex
	percent int
	// hundredths is what is left, in hundredths of a retry.
	hundredths int
	// refilled is the time up to which the retries of each second are added.
	refilled time.Time
}

func newBudget(percent int, now time.Time) *budget {
	return &budget{percent: percent, hundredths: maxBudget, refilled: now}
}

// call adds to the budget for the first attempt of a call.
func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+b.percent, maxBudget)
}

// retry takes one retry from the budget and reports whether there was one.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if seconds := now.Sub(b.refilled) / time.Second; seconds > 0 {
		b.hundredths = min(b.hundredths+int(min(seconds, maxBudget))*retryCost, maxBudget)
		b.refilled = b.refilled.Add(seconds * time.Second)
	}
	if b.hundredths < retryCost {
		return false
	}
	b.hundredths -= retryCost
	return true
}
