// Package rattanisolation decides whether a daemon is isolated: partitioned from
// the store, and from the endpoints or the other daemons, so that other daemons
// serve its callers better.
package rattanisolation

import "time"

const (
	// grantlessTimeout is how long a daemon without the store and without grants
	// stays in the load balancer's rotation: it can serve reads from replicas for
	// about that long.
	grantlessTimeout = 1 * time.Second
	// recoveryDelay is how long the conditions must be good before an isolated
	// daemon returns to the rotation.
	recoveryDelay = 300 * time.Millisecond
)

// Conditions are the inputs of the decision.
type Conditions struct {
	// HasReachedStore is true once the store has answered this daemon.
	HasReachedStore bool
	// IsStoreLost is true while the store does not answer.
	IsStoreLost bool
	// IsOutageShared is true while the other daemons answer but cannot delegate
	// grants: the store is unavailable to all, and no daemon serves callers better.
	IsOutageShared bool
	// HoldsGrants is true while the daemon may send requests to primaries.
	HoldsGrants bool
	// AreContactsLost is true while no VM of another failure domain answers, nor do those
	// that were late answer a ping.
	AreContactsLost bool
	// Reachable is how many of the Endpoints answer this daemon.
	Reachable, Endpoints int
}

// A Decider decides whether a daemon is isolated, from the conditions over time.
type Decider struct {
	isIsolated bool
	// grantlessSince is since when the daemon has had neither the store nor grants
	// while others may have them; zero while that is not so.
	grantlessSince time.Time
	// recoveredSince is since when no condition has isolated the daemon.
	recoveredSince time.Time
}

// Decide returns whether the daemon is isolated: partitioned from the store and from the
// other failure domains or at least half of the endpoints, or without the store and without grants of its own
// or delegated ones for grantlessTimeout. Load: daemons that start inside a failure
// domain that is cut off know the configuration from their neighbours. As long as a few
// of a failure domain's daemons seem ready, its callers keep coming to all of them, so a
// daemon that has just started is isolated until the store or a grant says otherwise.
func (d *Decider) Decide(c Conditions, now time.Time) bool {
	if !c.HasReachedStore && !c.HoldsGrants && !c.IsOutageShared {
		return true
	}
	if !c.IsStoreLost || c.HoldsGrants || c.IsOutageShared {
		d.grantlessSince = time.Time{}
	} else if d.grantlessSince.IsZero() {
		d.grantlessSince = now
	}
	areEndpointsLost := c.Endpoints > 0 && 2*c.Reachable <= c.Endpoints
	isPartitioned := c.IsStoreLost && (c.AreContactsLost || areEndpointsLost)
	isGrantless := !d.grantlessSince.IsZero() && now.Sub(d.grantlessSince) >= grantlessTimeout
	if isPartitioned || isGrantless {
		d.isIsolated, d.recoveredSince = true, time.Time{}
		return true
	}
	if d.recoveredSince.IsZero() {
		d.recoveredSince = now
	}
	if now.Sub(d.recoveredSince) >= recoveryDelay {
		d.isIsolated = false
	}
	return d.isIsolated
}
