package rattandaemon

import (
	"context"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanroster"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
)

// The platform's key prefixes that daemons watch.
const (
	settingsPrefix = "settings/"
	rosterPrefix   = "roster/"
)

// watcherInterval is how often a daemon checks whether it is one of the watchers
// of its failure domain. There are two, so the loss of one causes no delay.
const watcherInterval = 2 * time.Second

// A watcher watches a key prefix of the platform's store while this daemon is one
// of the watchers of its failure domain. The other daemons get the changes by
// gossip, so that the number of watches does not grow with the fleet.
type watcher struct {
	clock     rattanclock.Clock
	logger    *log.Logger
	prefix    string
	members   *rattanmember.Registry
	store     *rattanstore.Store
	gossip    *rattangossip.Store
	freshness *rattankey.Freshness
}

// run watches whenever this daemon is selected, until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.isSelected() {
			w.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-w.clock.After(watcherInterval):
		}
	}
	return ctx.Err()
}

// isSelected reports whether this daemon is a watcher of its failure domain.
func (w *watcher) isSelected() bool {
	return w.members.IsWatcher(w.prefix, rattanmember.WatchersPerDomain)
}

// watch watches the prefix until this daemon is no longer selected or ctx ends.
func (w *watcher) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for w.isSelected() {
			select {
			case <-ctx.Done():
				return
			case <-w.clock.After(watcherInterval):
			}
		}
		cancel()
	}()
	_ = w.store.Watch(ctx, w.prefix, w) // the only error is that ctx ended
}

// Deliver implements rattanstore.Observer. It merges the entry into the gossip
// store.
func (w *watcher) Deliver(entry rattanstore.Entry) {
	if entry.Deleted {
		return // documents are never deleted; a missing one must not revert the settings
	}
	if domain, ok := strings.CutPrefix(entry.Key, rosterPrefix); ok {
		w.gossip.Merge(rattanroster.Record(domain, entry.Value, entry.Revision))
		return
	}
	team, ok := rattansettings.TeamOfPath(entry.Key)
	if !ok {
		return
	}
	stored, err := rattanstore.DecodeDocument(team, entry.Revision, entry.Value)
	if err != nil {
		w.logger.Error("stored settings cannot be read", "key", entry.Key, "error", err)
		return
	}
	w.gossip.Merge(documentRecord(team, stored.INI, stored.Revision))
}

// Progress implements rattanstore.Observer. Only the settings watch counts for the
// keyring's freshness.
func (w *watcher) Progress(asOf time.Time) {
	if w.prefix == settingsPrefix {
		w.freshness.ObservePlatform(asOf)
	}
}

// Interrupt implements rattanstore.Observer.
func (w *watcher) Interrupt(err error) {
	w.logger.Warn("watch is interrupted", "prefix", w.prefix, "error", err)
}
