package rattanproxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/config/rattanpropagation"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

const (
	// After a change, the next watch is delayed by burstPause if it would start
	// within burstGap, so that one response returns many changes, for example when
	// all daemons start or confirm a switchover: each response costs a call.
	// The failover leader does not wait.
	burstGap   = 300 * time.Millisecond
	burstPause = 100 * time.Millisecond
	// burstPausePerWatcher is added for each daemon that watches the store.
	burstPausePerWatcher = 12 * time.Millisecond
	// readTimeout limits one read of a part of the store, readAllTimeout that of everything:
	// each page has a limit of its own.
	readTimeout    = 1200 * time.Millisecond
	readAllTimeout = 10 * time.Second
	// storeRetry separates calls to a store that does not answer. In a large fleet it
	// is storeRetryPerVM for each VM, at most maxStoreRetry, since refused calls count
	// against the store's rate as well.
	storeRetry      = 150 * time.Millisecond
	storeRetryPerVM = 5 * time.Millisecond
	maxStoreRetry   = time.Second
)

// pauseStore waits before the next call to a store that does not answer.
func (p *Proxy) pauseStore(ctx context.Context) {
	pause := time.Duration(len(p.cache.Snapshot().VMs)) * storeRetryPerVM
	p.sleep(ctx, min(max(pause, storeRetry), maxStoreRetry))
}

// A storeSync is the progress of a daemon in keeping its cache synced.
type storeSync struct {
	proxy *Proxy
	// hasRead is true once the whole store was read.
	hasRead bool
	// isHistoryLost is true while the store no longer has the history since the cached revision.
	isHistoryLost bool
	// changedAt is when the last watch of the store returned changes.
	changedAt time.Time
}

// syncStore keeps the cache synced: it reads the whole store, then gets the changes from
// there, from the store or from a daemon that watches it.
func (p *Proxy) syncStore(ctx context.Context) error {
	s := &storeSync{proxy: p}
	for ctx.Err() == nil {
		if vm, address, ok := p.follower.source(); ok && s.hasRead {
			if p.follower.follow(ctx, vm, address) {
				s.isHistoryLost = false
			}
			continue
		}
		s.pauseInBurst(ctx)
		s.advance(ctx)
	}
	return nil
}

// pauseInBurst waits while many changes follow each other.
func (s *storeSync) pauseInBurst(ctx context.Context) {
	p := s.proxy
	if p.clock.Now().Sub(s.changedAt) < burstGap && !p.isFailoverLeader() {
		p.sleep(ctx, burstPause+time.Duration(p.follower.watchers())*burstPausePerWatcher)
	}
}

// advance reads the whole store when the history is lost, or when the cache is behind: the
// changes may then be many times as large. Otherwise it watches the store.
func (s *storeSync) advance(ctx context.Context) {
	call, run := "watch", s.watch
	if !s.hasRead || s.isHistoryLost || s.proxy.configuration.isBehind() {
		call, run = "read", s.read
	}
	err := run(ctx)
	if errors.Is(err, rattankv.ErrCompacted) {
		s.proxy.logger.Info("history_lost", "revision", s.proxy.cache.Revision().String(), "error", err)
		s.isHistoryLost = true
		return
	}
	if err != nil {
		s.proxy.markStoreLost(ctx, call, err)
		s.proxy.pauseStore(ctx)
		return
	}
	s.proxy.markStoreAvailable()
}

func (s *storeSync) read(ctx context.Context) error {
	if err := s.proxy.readAll(ctx); err != nil {
		return err
	}
	s.hasRead, s.isHistoryLost = true, false
	return nil
}

func (s *storeSync) watch(ctx context.Context) error {
	isChanged, err := s.proxy.watch(ctx)
	if isChanged {
		s.changedAt = s.proxy.clock.Now()
	}
	return err
}

// readAll reads everything in the store.
func (p *Proxy) readAll(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	sentAt := p.boot.Now()
	page, err := p.platform.Store.Range(callCtx, "")
	if err != nil {
		return err
	}
	p.replaceCache(ctx, page, origin{source: sourceRead})
	p.configuration.confirmation.Confirm(sentAt)
	p.grants.MarkSynced(sentAt)
	return nil
}

// replaceCache replaces the cache by all that the store holds, as read from the store
// or from another daemon.
func (p *Proxy) replaceCache(ctx context.Context, page rattankv.Page, from origin) {
	before := p.cache.Revision()
	p.logInvalidEntries(p.cache.Replace("", page))
	p.cache.AdvanceRevision(page.AsOf)
	p.applyGroupRecords(ctx)
	p.configuration.update(from)
	if before != 0 && page.AsOf.Era() > before.Era() {
		p.metrics.count("store_restored")
		p.logger.Warn("store_restored", "era_before", before.Era(), "era", page.AsOf.Era(),
			"revision_before", before.String(), "revision", page.AsOf.String())
	}
}

// watch applies the store's next changes. It reports whether there were any.
func (p *Proxy) watch(ctx context.Context) (isChanged bool, err error) {
	sentAt := p.boot.Now()
	changes, err := p.watchOnce(ctx, p.cache.Revision())
	if err != nil {
		return false, err
	}
	p.logInvalidEntries(p.cache.Apply(changes))
	p.applyGroupRecords(ctx)
	p.configuration.update(origin{source: sourceWatch})
	p.configuration.confirmation.Confirm(p.watchConfirms(changes, sentAt))
	p.grants.MarkSynced(sentAt)
	return len(changes.Events) > 0, nil
}

// watchConfirms returns up to when the response to a watch that was sent at sentAt says that
// nothing is missing. The store holds a watch without events for all of its wait.
func (p *Proxy) watchConfirms(changes rattankv.Changes, sentAt time.Time) time.Time {
	if len(changes.Events) == 0 && p.boot.Now().Sub(sentAt) >= rattanpropagation.WatchWait {
		return sentAt.Add(rattanpropagation.WatchWait)
	}
	return sentAt
}

func (p *Proxy) watchOnce(ctx context.Context, after rattankv.Revision) (rattankv.Changes, error) {
	callCtx, cancel := context.WithTimeout(ctx, rattanpropagation.WatchTimeout)
	defer cancel()
	p.registration.watching.Store(&cancel)
	return p.platform.Store.Watch(callCtx, "", after, rattanpropagation.WatchWait)
}

// applyGroupRecords acts on the cached group records that are newer than those
// known to the grants.
func (p *Proxy) applyGroupRecords(ctx context.Context) {
	for name, entry := range p.cache.Snapshot().Groups {
		if entry.IsUnreadable {
			continue
		}
		p.applyGroupRecord(ctx, name, entry.Record, entry.Revision)
	}
}

// applyGroupRecord acts on a group's record unless a newer one is known.
func (p *Proxy) applyGroupRecord(ctx context.Context, group string, record rattangrant.PrimaryRecord, revision rattankv.Revision) {
	if p.grants.UpdateRecord(group, record, revision) {
		p.switchovers.Observe(group, record)
		p.handleGroupRecord(ctx, group, record)
	}
}

// errRecordsUnknown says that a daemon which has just started cannot tell whether the
// restored store lacks a group's newest record.
var errRecordsUnknown = errors.New("no daemon has answered that knows the groups' records")

// errTermsUnknown says that endpoints which have not answered may be in a newer term than
// that of their group's record.
var errTermsUnknown = errors.New("endpoints that may be in a newer term do not answer")

// runInitialSyncs reads the groups' records each time the VM has been registered:
// its grants need this initial sync. A daemon that has just started also asks others for
// the records, and the endpoints for their terms, while a restored store may lack the newest
// records.
func (p *Proxy) runInitialSyncs(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-p.registration.initialSyncWake:
		}
		for ctx.Err() == nil {
			err := p.readInitialGroups(ctx)
			if err == nil {
				break
			}
			if !errors.Is(err, errRecordsUnknown) && !errors.Is(err, errTermsUnknown) {
				p.markStoreLost(ctx, "baseline", err)
			}
			p.pauseStore(ctx)
		}
	}
	return nil
}

func (p *Proxy) readInitialGroups(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := p.registration.sendTimeIfRegistered()
	// Read before the records, which are then complete in a settled era.
	settledEra := p.cache.Snapshot().SettledEra
	page, err := p.platform.Store.Range(callCtx, rattancache.GroupPrefix)
	if err != nil {
		return err
	}
	p.logInvalidEntries(p.cache.Replace(rattancache.GroupPrefix, page))
	p.applyGroupRecords(ctx)
	isSettled := (settledEra == page.AsOf.Era() || len(page.Items) == 0) && !p.hasUnreadableGroup()
	if !isSettled && !p.knowsRecords.Load() && !p.askForRecords(callCtx) {
		return errRecordsUnknown
	}
	if !isSettled && !p.knowsRecords.Load() && !p.terms.observe() {
		return errTermsUnknown
	}
	if !sentAt.IsZero() {
		p.grants.MarkInitialSync(sentAt)
		p.knowsRecords.Store(true)
	}
	return nil
}

// hasUnreadableGroup reports whether the store holds a group's record that cannot be decoded.
func (p *Proxy) hasUnreadableGroup() bool {
	for _, entry := range p.cache.Snapshot().Groups {
		if entry.IsUnreadable {
			return true
		}
	}
	return false
}

// handleGroupRecord logs a group's record. While a switchover is in progress, it
// confirms that this daemon has stopped sending requests to the primary.
func (p *Proxy) handleGroupRecord(ctx context.Context, group string, record rattangrant.PrimaryRecord) {
	p.logger.Info("group_record", "group", group, "primary", record.Primary, "term", record.Term, "switching", record.IsSwitching,
		"number", record.Version, "generation", record.FencingToken, "awaited", record.Awaited)
	p.countAwaiting()
	if record.IsSwitching {
		go p.registration.confirmStopped(ctx, group, record.Version)
	}
}

// countAwaiting sets the number of groups whose switchover waits for endpoints that may hold
// commits which the others lack.
func (p *Proxy) countAwaiting() {
	count := int64(0)
	for _, known := range p.grants.Records() {
		if len(known.Awaited) > 0 {
			count++
		}
	}
	p.metrics.set("groups_awaiting_logs", count)
}

func (p *Proxy) logInvalidEntries(entries []rattancache.InvalidEntry) {
	for _, entry := range entries {
		p.logger.Warn("entry_unreadable", "key", entry.Key, "revision", entry.Revision.String(), "error", entry.Err)
	}
}

func (p *Proxy) markStoreLost(ctx context.Context, call string, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	if p.registration.storeLost.CompareAndSwap(false, true) {
		p.logger.Warn("store_lost", "call", call, "error", err)
	}
}

func (p *Proxy) markStoreAvailable() {
	p.registration.storeReached.Store(true)
	if p.registration.storeLost.CompareAndSwap(true, false) {
		p.logger.Info("store_regained")
		// The response to a watch that began during the outage may be lost.
		p.restartWatch()
	}
}

// restartWatch ends the watch in progress, if there is one; another one begins.
func (p *Proxy) restartWatch() {
	if cancel := p.registration.watching.Load(); cancel != nil {
		(*cancel)()
	}
}
