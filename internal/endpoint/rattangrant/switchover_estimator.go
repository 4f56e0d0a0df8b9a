package rattangrant

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// assumedPlannedDuration and assumedFailoverDuration are the expected durations
	// before a switchover of the kind has been observed.
	assumedPlannedDuration  = 1500 * time.Millisecond
	assumedFailoverDuration = 2500 * time.Millisecond
	// overdueGracePeriod is how long after its expected end a switchover is still
	// expected to end at any moment.
	overdueGracePeriod = 500 * time.Millisecond
)

// SwitchoverEstimator estimates when ongoing switchovers end, from the duration of
// the last one of the same kind, planned or failover. It is safe for concurrent use.
type SwitchoverEstimator struct {
	clock rattanclock.Clock

	mu      sync.Mutex
	ongoing map[string]ongoingSwitchover
	// durations is keyed by whether the switchover is planned.
	durations map[bool]time.Duration
}

type ongoingSwitchover struct {
	startedAt time.Time
	isPlanned bool
	// isAwaiting is true while it waits for endpoints that may never come back.
	isAwaiting bool
}

// NewSwitchoverEstimator returns an estimator that has observed no switchover.
func NewSwitchoverEstimator(clock rattanclock.Clock) *SwitchoverEstimator {
	return &SwitchoverEstimator{
		clock: clock, ongoing: make(map[string]ongoingSwitchover),
		durations: map[bool]time.Duration{true: assumedPlannedDuration, false: assumedFailoverDuration},
	}
}

// Observe records a change of a group's primary record.
func (s *SwitchoverEstimator) Observe(group string, record PrimaryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ongoing, isOngoing := s.ongoing[group]
	isAwaiting := len(record.Awaited) > 0
	switch {
	case record.IsSwitching && (!isOngoing || ongoing.isAwaiting || isAwaiting):
		s.ongoing[group] = ongoingSwitchover{startedAt: s.clock.Now(), isPlanned: record.IsPlanned, isAwaiting: isAwaiting}
	case !record.IsSwitching && isOngoing:
		s.durations[ongoing.isPlanned] = s.clock.Now().Sub(ongoing.startedAt)
		delete(s.ongoing, group)
	}
}

// IsAwaiting reports whether the switchover of a group waits for endpoints that may hold
// commits which the others lack. It has no time limit.
func (s *SwitchoverEstimator) IsAwaiting(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ongoing[group].isAwaiting
}

// ExpectedEnd returns when the ongoing switchover of a group is expected to end. It
// returns false when there is none or it is overdue by more than the grace period.
func (s *SwitchoverEstimator) ExpectedEnd(group string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ongoing, ok := s.ongoing[group]
	if !ok {
		return time.Time{}, false
	}
	end := ongoing.startedAt.Add(s.durations[ongoing.isPlanned])
	if s.clock.Now().After(end.Add(overdueGracePeriod)) {
		return time.Time{}, false
	}
	return end, true
}
