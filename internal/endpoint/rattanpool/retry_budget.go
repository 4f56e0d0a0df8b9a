package rattanpool

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// requestsPerRetry is the number of requests for which one retry is allowed.
	requestsPerRetry = 10
	// retryWindowSeconds is the length of the window in which requests and retries
	// are counted, in buckets of one second.
	retryWindowSeconds = 10
)

// A RetryBudget bounds the retries to one group over the last 10 s: at most 10% of
// the requests, but never fewer than one per second of the window. It is safe for
// concurrent use.
type RetryBudget struct {
	clock rattanclock.Clock
	start time.Time

	mu      sync.Mutex
	second  int64
	buckets [retryWindowSeconds]struct{ requests, retries int }
	// requests and retries are the sums over the buckets.
	requests, retries int
}

// NewRetryBudget returns a budget for one group.
func NewRetryBudget(clock rattanclock.Clock) *RetryBudget {
	return &RetryBudget{clock: clock, start: clock.Now()}
}

// RecordRequest counts a request. It must not be called for retries.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.buckets[b.second%retryWindowSeconds].requests++
	b.requests++
}

// TryRetry takes one retry from the budget. It returns false when none is left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.retries >= max(b.requests/requestsPerRetry, retryWindowSeconds) {
		return false
	}
	b.buckets[b.second%retryWindowSeconds].retries++
	b.retries++
	return true
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance() {
	second := int64(b.clock.Now().Sub(b.start) / time.Second)
	for range min(second-b.second, retryWindowSeconds) {
		b.second++
		bucket := &b.buckets[b.second%retryWindowSeconds]
		b.requests -= bucket.requests
		b.retries -= bucket.retries
		bucket.requests, bucket.retries = 0, 0
	}
	b.second = max(b.second, second)
}
