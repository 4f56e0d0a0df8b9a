package rattanstore

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	firstBackoff = 100 * time.Millisecond
	// maxBackoff limits how long a daemon waits after the end of an outage before it
	// tries again; changes must be in force everywhere within 8 s.
	maxBackoff = 3 * time.Second
)

// A backoff waits between retries, longer after each failure. Half of each wait is
// random, so that the daemons do not all retry at the same moment after an outage.
type backoff struct {
	clock  rattanclock.Clock
	jitter func() float64
	next   time.Duration
}

func (s *Store) newBackoff() *backoff {
	return &backoff{clock: s.clock, jitter: s.jitter, next: firstBackoff}
}

// reset is called after a success.
func (b *backoff) reset() { b.next = firstBackoff }

// wait waits before the next retry. It returns the context's error when the
// context ends first.
func (b *backoff) wait(ctx context.Context) error {
	delay := b.next/2 + time.Duration(b.jitter()*float64(b.next/2))
	b.next = min(2*b.next, maxBackoff)
	select {
	case <-b.clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
