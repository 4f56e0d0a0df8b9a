package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// settings are the options of one decision.
type settings struct {
	failureDomain     string
	now               time.Time
	maxAge            time.Duration
	spread            uint64
	blocked           func(endpoint string) bool
	catchUp           func(endpoint rattanmodel.EndpointView) (time.Duration, bool)
	plannedSwitchover bool
}

// An Option changes a decision of ReadCandidates or WriteTarget.
type Option func(*settings)

// WithFailureDomain prefers the replicas of the daemon's own failure domain.
func WithFailureDomain(name string) Option {
	return func(s *settings) { s.failureDomain = name }
}

// WithMaxAge accepts only replicas whose data is at most maxAge old at now. Without it,
// age does not matter. The minimum position of the session applies as well; a caller
// whose route does not require it passes the zero position.
func WithMaxAge(maxAge time.Duration, now time.Time) Option {
	return func(s *settings) { s.maxAge, s.now = maxAge, now }
}

// WithSpread distributes reads over replicas of equal rank: the one at n modulo their
// number comes first. The caller passes a counter or a random number.
func WithSpread(n uint64) Option {
	return func(s *settings) { s.spread = n }
}

// WithBlocked excludes the endpoints for which blocked returns true, such as
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
// planned switchover away from that primary is in progress.
func WithPlannedSwitchover() Option {
	return func(s *settings) { s.plannedSwitchover = true }
}

func newSettings(options []Option) settings {
	s := settings{catchUp: observedAge}
	for _, option := range options {
		option(&s)
	}
	return s
}

// observedAge returns an upper bound of a replica's lag when it was observed: the
// replica held all that the primary had that long before.
func observedAge(endpoint rattanmodel.EndpointView) (time.Duration, bool) {
	return endpoint.Age, endpoint.AgeKnown
}

// isUsable reports whether the endpoint may get new requests.
func (s *settings) isUsable(endpoint *rattanmodel.EndpointView, primary bool) bool {
	if !endpoint.Reachable {
		return false
	}
	if endpoint.Drained && !(primary && s.plannedSwitchover) {
		return false
	}
	return s.blocked == nil || !s.blocked(endpoint.Name)
}
