package rattansettings

import "time"

// A Policy holds the settings that apply to the whole fleet.
type Policy struct {
	keyFreshness      time.Duration
	serveIsolatedKeys bool
	drainTimeout      time.Duration
}

const (
	// minKeyFreshness is above the interval at which daemons hear from the
	// platform or a peer; below it no daemon would ever be fresh.
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

// KeyFreshness returns the largest age of a daemon's knowledge of withdrawals
// at which it still accepts keys.
func (p Policy) KeyFreshness() time.Duration { return p.keyFreshness }

// ServeIsolatedKeys reports whether a daemon accepts keys while its cache of
// withdrawals is older than KeyFreshness. A withdrawn key then keeps working there.
func (p Policy) ServeIsolatedKeys() bool { return p.serveIsolatedKeys }

// DrainTimeout returns how long transactions may still run after their failure
// domain or endpoint was taken out.
func (p Policy) DrainTimeout() time.Duration { return p.drainTimeout }
