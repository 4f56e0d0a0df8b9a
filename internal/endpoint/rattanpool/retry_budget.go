package rattanpool

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// retryShare is the number of requests that earn one retry.
	retryShare = 10
	// retrySeconds is the length of the window over which the rates are taken, in
	// buckets of one second.
	retrySeconds = 10
)

// A RetryBudget bounds the retries to one group: over the last 10 s at most 10%
// of the requests, and always one per second. It is safe for concurrent use.
type RetryBudget struct {
	clock rattanclock.Clock
	start time.Time

	mu      sync.Mutex
	second  int64
	buckets [retrySeconds]struct{ requests, retries int }
	// requests and retries are the sums over the buckets.
	requests, retries int
}

// NewRetryBudget returns a budget for one group.
func NewRetryBudget(clock rattanclock.Clock) *RetryBudget {
	return &RetryBudget{clock: clock, start: clock.Now()}
}

// RecordRequest counts a request; retries are not counted.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.buckets[b.second%retrySeconds].requests++
	b.requests++
}

// TryRetry takes one retry out of the budget. It returns false when none is left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.retries >= max(b.requests/retryShare, retrySeconds) {
		return false
	}
	b.buckets[b.second%retrySeconds].retries++
	b.retries++
	return true
}

// advance empties the buckets that have left the window.
func (b *RetryBudget) advance() {
	second := int64(b.clock.Now().Sub(b.start) / time.Second)
	for range min(second-b.second, retrySeconds) {
		b.second++
		bucket := &b.buckets[b.second%retrySeconds]
		b.requests -= bucket.requests
		b.retries -= bucket.retries
		bucket.requests, bucket.retries = 0, 0
	}
	b.second = max(b.second, second)
}
