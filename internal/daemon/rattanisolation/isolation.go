// Package rattanisolation decides whether a daemon is cut off, so that its
// callers are better served by others.
package rattanisolation

import "time"

const (
	// withoutGrants is how long a daemon without the store and without grants
	// stays in rotation: reads from replicas last about that long.
	withoutGrants = 1 * time.Second
	// settle is how long the signs must be good before the daemon returns.
	settle = 300 * time.Millisecond
)

// Signs are what the decision rests on.
type Signs struct {
	// IsStoreLost is true while the store does not answer.
	IsStoreLost bool
	// IsShared is true while the other daemons answer and cannot vouch either: the
	// store is away for all, and callers are no better served elsewhere.
	IsShared bool
	// HoldsGrants is true while the daemon may send primary work.
	HoldsGrants bool
	// Reachable is the number of endpoints that answer, of Endpoints.
	Reachable, Endpoints int
}

// A Decider remembers since when the signs are what they are.
type Decider struct {
	isIsolated   bool
	withoutSince time.Time
	goodSince    time.Time
}

// Decide returns whether the daemon is cut off: from the store and half of the
// endpoints or more, or for a while from the store and from every daemon that
// could vouch for the primaries.
func (d *Decider) Decide(s Signs, now time.Time) bool {
	if !s.IsStoreLost || s.HoldsGrants || s.IsShared {
		d.withoutSince = time.Time{}
	} else if d.withoutSince.IsZero() {
		d.withoutSince = now
	}
	isCut := s.IsStoreLost && s.Endpoints > 0 && 2*s.Reachable <= s.Endpoints
	isBlind := !d.withoutSince.IsZero() && now.Sub(d.withoutSince) >= withoutGrants
	if isCut || isBlind {
		d.isIsolated, d.goodSince = true, time.Time{}
		return true
	}
	if d.goodSince.IsZero() {
		d.goodSince = now
	}
	if now.Sub(d.goodSince) >= settle {
		d.isIsolated = false
	}
	return d.isIsolated
}
