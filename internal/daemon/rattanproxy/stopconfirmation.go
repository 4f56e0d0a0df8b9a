package rattanproxy

import (
	"context"
	"maps"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// confirmStopped waits until this daemon sends no more requests to a group's
// primary, and confirms that through the store unless it was confirmed directly.
func (r *registration) confirmStopped(ctx context.Context, group string, number int64) {
	r.proxy.relay.stopGroup(ctx, group)
	if !r.proxy.sleep(ctx, directConfirmDelay) || r.isConfirmedDirectly(group, number) {
		return
	}
	r.mu.Lock()
	isNew := number > r.record.Stopped[group]
	if isNew {
		stopped := maps.Clone(r.record.Stopped)
		stopped[group] = number
		r.record.Stopped = stopped
	}
	r.mu.Unlock()
	if isNew {
		r.markDirty()
	}
}

// reconfirmStops confirms the stops for all switchovers in progress through the
// store after the lease has ended: the direct confirmations may not have arrived.
func (r *registration) reconfirmStops(ctx context.Context) {
	r.mu.Lock()
	clear(r.directStops)
	r.mu.Unlock()
	for group, entry := range r.proxy.cache.Snapshot().Groups {
		if entry.Record.IsSwitching {
			go r.confirmStopped(ctx, group, entry.Record.Version)
		}
	}
}

// recordDirectStop records that this daemon has confirmed directly to the
// failover leader that it stopped sending requests to the primary for a record.
func (r *registration) recordDirectStop(item rattankv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directStops[item.Key] = max(r.directStops[item.Key], item.Revision)
}

// isConfirmedDirectly reports whether the stop was confirmed directly for the
// newest record of a group, and that record has the number.
func (r *registration) isConfirmedDirectly(group string, number int64) bool {
	record, revision, _ := r.proxy.grants.Record(group)
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.Version == number && r.directStops[rattancache.GroupPrefix+group] >= revision
}
