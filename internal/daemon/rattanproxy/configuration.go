package rattanproxy

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattanpropagation"
)

// An origin is from where a daemon got a part of the store's contents.
type origin struct {
	// source is the kind of call, peer the daemon that answered, empty for the store.
	source, peer string
}

// Sources of the store's contents.
const (
	// sourceWatch and sourceRead are a watch and a full read of the store.
	sourceWatch = "store_watch"
	sourceRead  = "store_read"
	// sourceWatcher is a daemon that watches the store for this one, sourceRelay any other.
	sourceWatcher = "watcher"
	sourceRelay   = "relay"
)

// A configurationState is what a daemon knows of its configuration.
type configurationState struct {
	Version int64  `json:"version"`
	Source  string `json:"source"`
	Peer    string `json:"peer,omitempty"`
	// InForceMs is for how long the version has been in force.
	InForceMs int64 `json:"in_force_ms"`
	// ConfirmedMs is the age of the last confirmation that no newer version exists, -1
	// before the first one.
	ConfirmedMs int64 `json:"confirmed_ms"`
}

// A configuration tracks which version of the configuration is in force, from where it came
// and how old it may be.
type configuration struct {
	proxy        *Proxy
	confirmation rattanpropagation.Confirmation

	mu      sync.Mutex
	version int64
	origin  origin
	since   time.Time
}

// update logs the version in force if it has changed. The contents of an origin have just
// been applied.
func (c *configuration) update(from origin) {
	snapshot := c.proxy.cache.Snapshot()
	if snapshot.Catalog == nil {
		return
	}
	c.mu.Lock()
	before := c.version
	if snapshot.Catalog.Version() <= before {
		c.mu.Unlock()
		return
	}
	c.version, c.origin, c.since = snapshot.Catalog.Version(), from, c.proxy.boot.Now()
	c.mu.Unlock()
	fields := []any{"version_before", before, "revision", snapshot.CatalogRevision().String()}
	c.proxy.logger.Info("configuration_in_force", append(fields, c.state().fields()...)...)
	for _, leftOut := range snapshot.Catalog.LeftOut() {
		c.proxy.logger.Warn("configuration_entry_left_out", "entry", leftOut.Entry, "error", leftOut.Err)
	}
}

// isBehind reports whether a newer version may have been in the store for so long that the
// daemon's own sources of changes are not enough.
func (c *configuration) isBehind() bool {
	return c.confirmation.Age(c.proxy.boot.Now()) >= rattanpropagation.MaxAge
}

func (c *configuration) state() configurationState {
	now := c.proxy.boot.Now()
	confirmed := int64(-1)
	if age := c.confirmation.Age(now); age != rattanpropagation.UnknownAge {
		confirmed = age.Milliseconds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return configurationState{
		Version: c.version, Source: c.origin.source, Peer: c.origin.peer,
		InForceMs: now.Sub(c.since).Milliseconds(), ConfirmedMs: confirmed,
	}
}

// fields returns the state for a log line.
func (s configurationState) fields() []any {
	return []any{"version", s.Version, "source", s.Source, "peer", s.Peer, "in_force_ms", s.InForceMs, "confirmed_ms", s.ConfirmedMs}
}
