package rattangrant

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// assumedPlanned and assumedFailover are the times of a switch before any of
	// its kind was seen.
	assumedPlanned  = 1500 * time.Millisecond
	assumedFailover = 2500 * time.Millisecond
	// overdueTime is how long after its expected end a switch is still expected
	// to end at any moment.
	overdueTime = 500 * time.Millisecond
)

// SwitchoverEstimator estimates when the switches under way end, from the time that the
// last one of the kind took. It is safe for concurrent use.
type SwitchoverEstimator struct {
	clock rattanclock.Clock

	mu        sync.Mutex
	begun     map[string]beginning
	durations map[bool]time.Duration
}

type beginning struct {
	at        time.Time
	isPlanned bool
}

// NewSwitchoverEstimator returns the estimate of a daemon that has seen no switch.
func NewSwitchoverEstimator(clock rattanclock.Clock) *SwitchoverEstimator {
	return &SwitchoverEstimator{
		clock: clock, begun: make(map[string]beginning),
		durations: map[bool]time.Duration{true: assumedPlanned, false: assumedFailover},
	}
}

// Observe records a group's newest record.
func (s *SwitchoverEstimator) Observe(group string, record PrimaryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, known := s.begun[group]
	switch {
	case record.IsSwitching && !known:
		s.begun[group] = beginning{at: s.clock.Now(), isPlanned: record.IsPlanned}
	case !record.IsSwitching && known:
		s.durations[begun.isPlanned] = s.clock.Now().Sub(begun.at)
		delete(s.begun, group)
	}
}

// ExpectedEnd returns when the switch of a group is expected to end. It returns
// false when none is under way or its end cannot be foreseen.
func (s *SwitchoverEstimator) ExpectedEnd(group string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, ok := s.begun[group]
	if !ok {
		return time.Time{}, false
	}
	end := begun.at.Add(s.durations[begun.isPlanned])
	if s.clock.Now().After(end.Add(overdueTime)) {
		return time.Time{}, false
	}
	return end, true
}
