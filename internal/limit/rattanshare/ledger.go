package rattanshare

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// A Ledger holds one daemon's parts of all shares. It sends no messages; Manager
// sends those that it makes. It is safe for concurrent use.
type Ledger struct {
	clock       rattanclock.Clock
	vm          string
	incarnation uint64
	lastLoan    atomic.Uint64

	mu     sync.RWMutex
	shares map[string]*share

	activeMu sync.Mutex
	active   map[*share]struct{}
}

// NewLedger returns a Ledger without shares for the daemon on vm.
func NewLedger(clock rattanclock.Clock, vm string, incarnation uint64) *Ledger {
	return &Ledger{
		clock:       clock,
		vm:          vm,
		incarnation: incarnation,
		shares:      make(map[string]*share),
		active:      make(map[*share]struct{}),
	}
}

// SetBase sets the base share. A reduction takes effect at once. An increase takes
// effect only when confirmed is true, which means that all other members have
// given up the difference. An increase of a rate share adds no tokens by itself.
func (l *Ledger) SetBase(name string, base Amount, confirmed bool) {
	base = base.clamp()
	s := l.create(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l.clock.Now())
	if !confirmed {
		base = base.min(s.base)
	}
	s.base = base
	s.applyLimit()
	if !s.reductionApplied() {
		l.activate(s)
	}
}

// Base returns the base share in force.
func (l *Ledger) Base(name string) Amount {
	s, ok := l.find(name)
	if !ok {
		return Amount{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base
}

// Take takes units thousandths from the share and counts them as demand. When the
// share has too few, it takes nothing and returns the time after which the refill of
// the share suffices, or 0 when it never does. A share whose base share has not been
// set is empty.
func (l *Ledger) Take(name string, units int64) (ok bool, retryAfter time.Duration) {
	return l.take(name, units, 0, true)
}

// take is Take for a request that may have waited. ahead is the number of
// thousandths that the requests before it in the queue want, which retryAfter takes
// into account. counted says whether to count the units as demand; it is false when
// a waiting request tries again.
func (l *Ledger) take(name string, units, ahead int64, counted bool) (ok bool, retryAfter time.Duration) {
	s, ok := l.find(name)
	if !ok {
		return false, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.refresh(now)
	if counted {
		s.demand.add(now, units)
		l.activate(s)
	}
	if s.take(units) {
		return true, 0
	}
	if s.isConcurrency {
		return false, 0
	}
	wait, _ := s.bucket.Delay(units, ahead)
	return false, wait
}

// Release gives back units of a concurrency share that Take took. It does nothing
// for a rate share.
func (l *Ledger) Release(name string, units int64) {
	s, ok := l.find(name)
	if !ok || !s.isConcurrency {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse -= min(max(units, 0), s.inUse)
}

// Excess returns the number of units of a concurrency share, in thousandths, that
// are in use beyond the limit, because a loan has ended or the base share was
// reduced. The caller must close that many connections and release them.
func (l *Ledger) Excess(name string) int64 {
	s, ok := l.find(name)
	if !ok {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l.clock.Now())
	return max(s.inUse-s.limit().Burst, 0)
}

// ReductionsApplied reports whether all reductions of base shares are complete: no
// more is lent, and no more connections are in use, than the reduced shares allow.
// Only then does the daemon confirm a roster or settings.
func (l *Ledger) ReductionsApplied() bool {
	now := l.clock.Now()
	for _, s := range l.activeShares() {
		s.mu.Lock()
		s.refresh(now)
		applied := s.reductionApplied()
		s.mu.Unlock()
		if !applied {
			return false
		}
	}
	return true
}

// Forget removes a share that the settings no longer have. It returns false
// while the share is still lent, borrowed or in use; call it again later then.
func (l *Ledger) Forget(name string) bool {
	s, ok := l.find(name)
	if !ok {
		return true
	}
	l.SetBase(name, Amount{}, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lent) > 0 || len(s.borrowed) > 0 || len(s.pending) > 0 || s.inUse > 0 {
		return false
	}
	delete(l.shares, name)
	l.activeMu.Lock()
	defer l.activeMu.Unlock()
	delete(l.active, s)
	return true
}

func (l *Ledger) find(name string) (*share, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.shares[name]
	return s, ok
}

// create returns the share with the given name and adds it if there is none.
func (l *Ledger) create(name string) *share {
	if s, ok := l.find(name); ok {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shares[name]
	if !ok {
		s = newShare(name, l.clock.Now())
		l.shares[name] = s
	}
	return s
}

// activate adds s, whose lock is held, to the shares that need periodic work.
func (l *Ledger) activate(s *share) {
	if s.active {
		return
	}
	s.active = true
	l.activeMu.Lock()
	defer l.activeMu.Unlock()
	l.active[s] = struct{}{}
}

// activeShares returns the shares that need periodic work.
func (l *Ledger) activeShares() []*share {
	l.activeMu.Lock()
	defer l.activeMu.Unlock()
	shares := make([]*share, 0, len(l.active))
	for s := range l.active {
		shares = append(shares, s)
	}
	return shares
}

// deactivateIdle removes s from the shares that need periodic work when it needs
// none.
func (l *Ledger) deactivateIdle(s *share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle(l.clock.Now()) || !s.reductionApplied() {
		return
	}
	s.active = false
	l.activeMu.Lock()
	defer l.activeMu.Unlock()
	delete(l.active, s)
}
