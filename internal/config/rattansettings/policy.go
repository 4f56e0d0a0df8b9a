package rattansettings

import "time"

// A Policy holds the settings that apply to the whole fleet.
type Policy struct {
	keyFreshness      time.Duration
	serveIsolatedKeys bool
	drainTimeout      time.Duration
}

const (
	// minKeyFreshness is longer than the interval at which daemons receive updates
	// from the platform or a peer. With a shorter limit, the cache of withdrawals of
	// every daemon would always be too old.
	minKeyFreshness     = 2 * time.Second
	defaultKeyFreshness = 5 * time.Second
	defaultDrainTimeout = 10 * time.Second
)

func defaultPolicy() Policy {
	return Policy{keyFreshness: defaultKeyFreshness, drainTimeout: defaultDrainTimeout}
}

func readPolicy(r *sectionReader) Policy {
	return Policy{
		keyFreshness:      r.duration("key_freshness", minKeyFreshness, time.Minute, defaultKeyFreshness),
		serveIsolatedKeys: r.choice("isolated_keys", "refuse", "refuse", "serve") == "serve",
		drainTimeout:      r.duration("drain_timeout", time.Second, 10*time.Minute, defaultDrainTimeout),
	}
}

// KeyFreshness returns the maximum age of a daemon's cache of withdrawals at which
// the daemon still accepts keys.
func (p Policy) KeyFreshness() time.Duration { return p.keyFreshness }

// ServeIsolatedKeys reports whether a daemon accepts keys while its cache of
// withdrawals is older than KeyFreshness. A withdrawn key then keeps working there.
func (p Policy) ServeIsolatedKeys() bool { return p.serveIsolatedKeys }

// DrainTimeout returns how long open transactions may continue after their failure
// domain or endpoint was drained.
func (p Policy) DrainTimeout() time.Duration { return p.drainTimeout }
