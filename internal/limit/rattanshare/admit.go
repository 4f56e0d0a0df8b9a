package rattanshare

import (
	"context"
	"strings"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// minRetryAfter is the least retry-after of a refusal whose time the daemon
// cannot compute, because its share has no refill rate of its own now.
const minRetryAfter = 100 * time.Millisecond

// A wait counts the requests that wait for a share. progress is closed, and
// replaced, when a peer has answered.
type wait struct {
	waiting  int64
	progress chan struct{}
}

// Admit takes one unit of the share for a request. When there is none it waits
// for the refill or a loan, WaitTime at most. Its error is a *rattanerr.Refusal:
// over_rate with a retry-after, or deadline when ctx ends first. In both cases the
// request has not run. An admitted unit of a connection share must be released.
func (m *Manager) Admit(ctx context.Context, share string) error {
	ok, retryAfter := m.ledger.Take(share, Unit)
	if ok {
		return nil
	}
	if m.fixed {
		return m.refuse(share, retryAfter)
	}
	return m.admitWaiting(ctx, share)
}

// Release gives back a unit of a connection share.
func (m *Manager) Release(share string) {
	m.ledger.Release(share, Unit)
	m.notify(share)
}

// Excess returns the number of connections that the daemon must close because
// its part of the connection share has become smaller.
func (m *Manager) Excess(share string) int64 {
	return (m.ledger.Excess(share) + Unit - 1) / Unit
}

func (m *Manager) admitWaiting(ctx context.Context, share string) error {
	w, ahead := m.startWaiting(share)
	if w == nil {
		return m.refuse(share, 0)
	}
	defer m.stopWaiting(share, w)
	start := m.clock.Now()
	for {
		progress, missing := m.look(w)
		ok, retryAfter := m.ledger.take(share, Unit, min(ahead, missing-Unit), false)
		if ok {
			return nil
		}
		left := MaxLoanWait - m.clock.Now().Sub(start)
		if left <= 0 {
			return m.refuse(share, retryAfter)
		}
		m.borrow(share, missing)
		timeout := left
		if retryAfter > 0 {
			timeout = min(left, retryAfter)
		}
		if !m.ledger.HasPendingRequest(share) && (retryAfter == 0 || retryAfter > left) {
			// An answer that came since progress was read may have brought tokens.
			if ok, _ := m.ledger.take(share, Unit, 0, false); ok {
				return nil
			}
			return m.refuse(share, retryAfter)
		}
		select {
		case <-progress:
		case <-m.clock.After(timeout):
		case <-ctx.Done():
			return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "%s: request ended while it waited: %v", share, ctx.Err())
		}
	}
}

func (m *Manager) refuse(share string, retryAfter time.Duration) error {
	if retryAfter == 0 {
		retryAfter = minRetryAfter
		m.mu.Lock()
		if rate := m.version.settings.Shares[share].Rate; rate > 0 {
			retryAfter = max(retryAfter, time.Duration(Unit*int64(time.Second)/rate))
		}
		m.mu.Unlock()
	}
	// The wire has whole milliseconds; rounding up keeps the retry from being early.
	retryAfter = (retryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVER_RATE, retryAfter,
		"the share of %s at this VM is used up", strings.TrimPrefix(share, accountPrefix))
}

// startWaiting counts a request that waits. It returns the units that the requests
// before it want, in thousandths, and nil when too many wait.
func (m *Manager) startWaiting(share string) (*wait, int64) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	w, ok := m.waits[share]
	if !ok {
		w = &wait{progress: make(chan struct{})}
		m.waits[share] = w
	}
	if w.waiting >= maxWaiting {
		return nil, 0
	}
	w.waiting++
	return w, (w.waiting - 1) * Unit
}

func (m *Manager) stopWaiting(share string, w *wait) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	w.waiting--
	if w.waiting == 0 {
		delete(m.waits, share)
	}
}

// look returns the channel that the next answer closes and the units that the
// waiting requests want, in thousandths.
func (m *Manager) look(w *wait) (<-chan struct{}, int64) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	return w.progress, w.waiting * Unit
}

func (m *Manager) notify(share string) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	if w, ok := m.waits[share]; ok {
		close(w.progress)
		w.progress = make(chan struct{})
	}
}
