package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattanfanout"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/config/rattanpropagation"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// watcherBackoff is how long a watcher that failed is not used.
	watcherBackoff = 2 * time.Second
	// maxSyncAge is the largest age that a response names of the store's last confirmation:
	// nothing relies on one that is as old.
	maxSyncAge = time.Hour
)

// A follower gets the changes of the store from a daemon of its failure domain that
// watches the store, and serves them to others when it is such a daemon itself.
type follower struct {
	proxy *Proxy
	// ended is closed when this daemon serves the changes to others no longer.
	ended   chan struct{}
	endOnce sync.Once

	mu sync.Mutex
	// unusableUntil is until when each watcher that failed is not used.
	unusableUntil map[string]time.Time
	// fleet is the fleet of a snapshot.
	fleet    rattanfanout.Fleet
	snapshot *rattancache.Snapshot
	// fedAt is when a watcher last delegated grants to this daemon.
	fedAt time.Time
}

func newFollower(p *Proxy) *follower {
	return &follower{proxy: p, ended: make(chan struct{}), unusableUntil: make(map[string]time.Time)}
}

// endWatches ends the watches of other daemons and refuses new ones.
func (f *follower) endWatches() { f.endOnce.Do(func() { close(f.ended) }) }

func (f *follower) hasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// source returns the daemon from which this one gets the changes of the store, or
// false when it watches the store itself. The failover leader does, since it acts on
// the newest records.
func (f *follower) source() (vm, address string, ok bool) {
	snapshot := f.proxy.cache.Snapshot()
	if f.proxy.isFailoverLeader() {
		return "", "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateFleet(snapshot)
	now := f.proxy.clock.Now()
	vm, ok = f.fleet.Source(f.proxy.settings.VM(), f.proxy.settings.FailureDomain(), func(watcher string) bool {
		return !now.Before(f.unusableUntil[watcher])
	})
	return vm, snapshot.VMs[vm].Address, ok
}

// watchers returns the number of daemons that watch the store.
func (f *follower) watchers() int {
	snapshot := f.proxy.cache.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateFleet(snapshot)
	return f.fleet.Count()
}

// updateFleet computes the fleet of a snapshot. The caller holds f.mu.
func (f *follower) updateFleet(snapshot *rattancache.Snapshot) {
	if f.snapshot == snapshot {
		return
	}
	f.snapshot = snapshot
	f.fleet = make(rattanfanout.Fleet, len(snapshot.VMs))
	for name, vm := range snapshot.VMs {
		f.fleet[name] = rattanfanout.VM{FailureDomain: vm.FailureDomain, ProcessorCores: vm.ProcessorCores}
	}
}

// isFed reports whether a watcher has delegated grants to this daemon recently.
func (f *follower) isFed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proxy.clock.Now().Sub(f.fedAt) < rattanpropagation.FollowTimeout
}

// follow applies the next changes from a watcher. It returns false when the watcher
// cannot be used.
func (f *follower) follow(ctx context.Context, vm, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, rattanpropagation.FollowTimeout)
	defer cancel()
	sentAt := f.proxy.boot.Now()
	response, err := f.request(callCtx, address, &rattanv1.StoreWatchRequest{
		WaitMs: uint32(rattanpropagation.FollowWait.Milliseconds()), Loads: f.proxy.loads.news(vm),
	})
	if err != nil || !response.GetIsSource() {
		if ctx.Err() == nil {
			f.proxy.logger.Info("watcher_unusable", "watcher", vm, "error", err)
		}
		f.mu.Lock()
		f.unusableUntil[vm] = f.proxy.clock.Now().Add(watcherBackoff)
		f.mu.Unlock()
		return false
	}
	for _, load := range response.GetLoads() {
		f.proxy.loads.learn(load, vm)
	}
	f.apply(ctx, response, origin{source: sourceWatcher, peer: vm})
	f.confirm(response, sentAt)
	f.proxy.grants.MarkSynced(sentAt.Add(-syncAge(response)))
	f.acceptGrants(response, sentAt)
	return true
}

// request asks another daemon for changes of the store.
func (f *follower) request(ctx context.Context, address string, request *rattanv1.StoreWatchRequest) (*rattanv1.StoreWatchResponse, error) {
	request.Vm, request.Address = f.proxy.settings.VM(), f.proxy.settings.PeerAddress()
	request.Revision = int64(f.proxy.cache.Revision())
	reply, err := f.proxy.peers.Call(ctx, address, &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StoreWatchRequest{StoreWatchRequest: request}})
	return reply.GetStoreWatchResponse(), err
}

// confirm records up to when an applied response to a request that was sent at sentAt says
// that nothing is missing.
func (f *follower) confirm(response *rattanv1.StoreWatchResponse, sentAt time.Time) {
	age, ok := rattanpropagation.DecodeAge(response.GetConfirmedAgeMs())
	if !ok {
		// An older daemon knows only what the store has confirmed to itself.
		age = syncAge(response)
	}
	f.proxy.configuration.confirmation.Confirm(sentAt.Add(-age))
}

// syncAge returns the time from the last confirmation by the store to a response.
func syncAge(response *rattanv1.StoreWatchResponse) time.Duration {
	return time.Duration(response.GetSyncAgeMs()) * time.Millisecond
}

func (f *follower) apply(ctx context.Context, response *rattanv1.StoreWatchResponse, from origin) {
	changes := rattankv.Changes{AsOf: rattankv.Revision(response.GetAsOf())}
	for _, event := range response.GetEvents() {
		changes.Events = append(changes.Events, rattankv.Event{Item: itemFromWire(event.GetItem()), Deleted: event.GetIsDeleted()})
	}
	if response.GetIsComplete() {
		page := rattankv.Page{AsOf: changes.AsOf}
		for _, event := range changes.Events {
			page.Items = append(page.Items, event.Item)
		}
		f.proxy.replaceCache(ctx, page, from)
	} else {
		f.proxy.logInvalidEntries(f.proxy.cache.Apply(changes))
	}
	f.proxy.applyGroupRecords(ctx)
	f.proxy.configuration.update(from)
	f.proxy.applyLostRecords(ctx, changes)
	f.proxy.observeNewerTerms(response.GetNewerTerms())
}

// acceptGrants accepts the grants that a response delegates, after its records have
// been applied.
func (f *follower) acceptGrants(response *rattanv1.StoreWatchResponse, sentAt time.Time) {
	delegated := delegatedTime(response.GetGrantMs())
	if delegated == 0 {
		return
	}
	f.proxy.grants.AcceptDelegation(sentAt.Add(delegated))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fedAt = f.proxy.clock.Now()
}

// handleWatch serves the changes of the store to another daemon. As for
// relay.handleKnowledge, the delegation is recorded before the changes are read.
func (f *follower) handleWatch(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetStoreWatchRequest()
	for _, load := range request.GetLoads() {
		f.proxy.loads.learn(load, request.GetVm())
	}
	response := &rattanv1.StoreWatchResponse{}
	arrivedAt := f.proxy.boot.Now()
	if f.isSource(arrivedAt) {
		f.awaitChange(ctx, request)
	}
	now := f.proxy.boot.Now()
	response.IsSource = f.isSource(now) && !f.hasEnded()
	if response.IsSource {
		// Before the changes are read, which may be newer than that.
		response.SyncAgeMs = uint32(min(now.Sub(f.proxy.grants.SyncedAt()), maxSyncAge).Milliseconds()) + 1
		response.ConfirmedAgeMs = rattanpropagation.EncodeAge(f.proxy.configuration.confirmation.Age(arrivedAt))
		f.fill(response, request)
	}
	if response.IsSource && !request.GetChangesOnly() {
		response.Loads = f.proxy.loads.news(request.GetVm())
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StoreWatchResponse{StoreWatchResponse: response}}, nil
}

func (f *follower) fill(response *rattanv1.StoreWatchResponse, request *rattanv1.StoreWatchRequest) {
	if until, ok := f.proxy.grants.LeaseExpiry(); ok && !request.GetChangesOnly() {
		f.proxy.relay.recordDelegation(request.GetVm(), request.GetAddress(), until)
		response.GrantMs = encodeGrantTime(until, f.proxy.boot.Now())
	}
	changes, isPartial := f.proxy.cache.ChangesSince(rattankv.Revision(request.GetRevision()))
	response.AsOf, response.IsComplete = int64(changes.AsOf), !isPartial
	for _, event := range changes.Events {
		response.Events = append(response.Events, &rattanv1.StoreEvent{Item: itemToWire(event.Item), IsDeleted: event.Deleted})
	}
	for _, item := range f.proxy.lostGroupItems() {
		response.Events = append(response.Events, &rattanv1.StoreEvent{Item: item})
	}
	response.NewerTerms = f.proxy.grants.OutdatedTerms()
}

// isSource reports whether this daemon's copy of the store is new enough for others.
func (f *follower) isSource(now time.Time) bool {
	return f.proxy.configuration.confirmation.Age(now) < rattanpropagation.MaxSourceAge
}

// awaitChange waits until the cache has changes that a request lacks, or until the
// request's wait is over.
func (f *follower) awaitChange(ctx context.Context, request *rattanv1.StoreWatchRequest) {
	timeout := f.proxy.clock.After(min(time.Duration(request.GetWaitMs())*time.Millisecond, rattanpropagation.WatchWait))
	for {
		_, changed := f.proxy.cache.Changed()
		if changes, _ := f.proxy.cache.ChangesSince(rattankv.Revision(request.GetRevision())); len(changes.Events) > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.ended:
			return
		case <-timeout:
			return
		case <-changed:
		}
	}
}
