package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

type settings struct {
	failureDomain string
	now           time.Time
	maxAge        time.Duration
	spread        uint64
	blocked       func(endpoint string) bool
	catchUp       func(endpoint rattanmodel.EndpointView) (time.Duration, bool)
	plannedSwitch bool
}

// An Option changes a decision of Read or Write.
type Option func(*settings)

// WithFailureDomain prefers the replicas of the daemon's own failure domain.
func WithFailureDomain(name string) Option {
	return func(s *settings) { s.failureDomain = name }
}

// WithMaxAge accepts only data of at most maxAge, measured at now. Without it,
// age does not matter. A session position remains in force beside the age; a
// caller whose route waives it passes the zero position.
func WithMaxAge(maxAge time.Duration, now time.Time) Option {
	return func(s *settings) { s.maxAge, s.now = maxAge, now }
}

// WithSpread chooses among equal replicas: the one at n modulo their number
// comes first. The caller passes a counter or a random number.
func WithSpread(n uint64) Option {
	return func(s *settings) { s.spread = n }
}

// WithBlocked leaves out the endpoints for which blocked returns true, such as
// those with an open circuit breaker.
func WithBlocked(blocked func(endpoint string) bool) Option {
	return func(s *settings) { s.blocked = blocked }
}

// WithCatchUp replaces the estimate of how long a replica takes to reach a
// position that was just written. Without it, the estimate is the replica's age
// when it was observed.
func WithCatchUp(estimate func(endpoint rattanmodel.EndpointView) (time.Duration, bool)) Option {
	return func(s *settings) { s.catchUp = estimate }
}

// WithPlannedSwitchover keeps a drained primary in use. The caller passes it while a
// planned switch away from that primary is in progress.
func WithPlannedSwitchover() Option {
	return func(s *settings) { s.plannedSwitch = true }
}

func newSettings(options []Option) settings {
	s := settings{catchUp: observedAge}
	for _, option := range options {
		option(&s)
	}
	return s
}

// observedAge bounds a replica's lag when it was observed: it held all that the
// primary had that long before.
func observedAge(endpoint rattanmodel.EndpointView) (time.Duration, bool) {
	return endpoint.Age, endpoint.AgeKnown
}

// usable reports whether the endpoint may get new work.
func (s *settings) usable(endpoint *rattanmodel.EndpointView, primary bool) bool {
	if !endpoint.Reachable {
		return false
	}
	if endpoint.Drained && !(primary && s.plannedSwitch) {
		return false
	}
	return s.blocked == nil || !s.blocked(endpoint.Name)
}
