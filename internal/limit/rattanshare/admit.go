package rattanshare

import (
	"context"
	"strings"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// minRetryAfter is the shortest retry-after of a refusal for which the daemon cannot
// compute one, for example because its share has no refill rate at present.
const minRetryAfter = 100 * time.Millisecond

// A waitQueue counts the requests that wait for a share. progress is closed, and
// replaced by a new channel, when a call to a peer has ended or units have been
// returned or released.
type waitQueue struct {
	waiting  int64
	progress chan struct{}
}

// Admit takes one unit of the share for a request. When there is none it waits for
// the refill or a loan, at most for MaxLoanWait. Its error is a *rattanerr.Refusal:
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
		progress, missing := m.waitState(w)
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
			// A response that arrived since progress was read may have brought tokens.
			if ok, _ := m.ledger.take(share, Unit, 0, false); ok {
				return nil
			}
			return m.refuse(share, retryAfter)
		}
		select {
		case <-progress:
		case <-m.clock.After(timeout):
		case <-ctx.Done():
			return rattanerr.NewNotRun(rattanv1.Reason_REASON_DEADLINE, 0, "%s: request ended while it waited for a unit of the share: %v", share, ctx.Err())
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
	// The message has whole milliseconds. Rounding up keeps the retry from being early.
	retryAfter = (retryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_OVER_RATE, retryAfter,
		"the share of %s at this VM is used up", strings.TrimPrefix(share, accountPrefix))
}

// startWaiting adds a request to the queue of a share. It returns the queue and the
// units that the earlier requests in it want, in thousandths, or nil when too many
// requests wait already.
func (m *Manager) startWaiting(share string) (*waitQueue, int64) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	w, ok := m.waitQueues[share]
	if !ok {
		w = &waitQueue{progress: make(chan struct{})}
		m.waitQueues[share] = w
	}
	if w.waiting >= maxWaiting {
		return nil, 0
	}
	w.waiting++
	return w, (w.waiting - 1) * Unit
}

func (m *Manager) stopWaiting(share string, w *waitQueue) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	w.waiting--
	if w.waiting == 0 {
		delete(m.waitQueues, share)
	}
}

// waitState returns the channel that is closed at the next progress and the units that
// the waiting requests want, in thousandths.
func (m *Manager) waitState(w *waitQueue) (<-chan struct{}, int64) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	return w.progress, w.waiting * Unit
}

// notify wakes the requests that wait for share.
func (m *Manager) notify(share string) {
	m.waitMu.Lock()
	defer m.waitMu.Unlock()
	if w, ok := m.waitQueues[share]; ok {
		close(w.progress)
		w.progress = make(chan struct{})
	}
}
