package rattanproxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

const (
	// watchWait is how long the store holds a watch without events. One that is cut
	// without a sign is noticed only then: 5 s was too long for the sites'
	// config_apply_ms of 3 s.
	watchWait = 3 * time.Second
	// watchSlack is how much longer than that an answer may take before the
	// connection counts as silent.
	watchSlack = 600 * time.Millisecond
	// burstGap and burstPause collect changes that follow closely, for example
	// when all daemons start or confirm a switch: each answer of a watch is a call.
	burstGap   = 300 * time.Millisecond
	burstPause = 100 * time.Millisecond
	// burstPausePerVM is added for each live VM, since each one calls and changes.
	burstPausePerVM = 12 * time.Millisecond
	// readTimeout limits one read of the store.
	readTimeout = 1200 * time.Millisecond
	// storeRetry separates calls to a store that does not answer.
	storeRetry = 150 * time.Millisecond
)

// syncStore keeps the cache up to date: a full read, then a watch from there.
func (p *Proxy) syncStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.readAll(ctx); err != nil {
			p.storeFailed(ctx, "read", err)
			p.sleep(ctx, storeRetry)
			continue
		}
		p.storeAnswered()
		if err := p.watch(ctx); err != nil && ctx.Err() == nil {
			p.logger.Info("history_lost", "revision", p.cache.Revision(), "error", err)
		}
	}
	return nil
}

// readAll reads everything in the store.
func (p *Proxy) readAll(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := p.protocol.Store.Range(call, "")
	if err != nil {
		return err
	}
	p.noteFaults(p.cache.Replace("", page))
	p.cache.AdvanceRevision(page.AsOf)
	p.learnGroups(ctx)
	return nil
}

// watch follows the changes until the history is lost.
func (p *Proxy) watch(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		if now := p.clock.Now(); now.Sub(last) < burstGap && !p.isDutyHolder() {
			p.sleep(ctx, burstPause+time.Duration(len(p.cache.Snapshot().VMs))*burstPausePerVM)
		}
		asked := p.boot.Now()
		changes, err := p.watchOnce(ctx, p.cache.Revision())
		if errors.Is(err, rattankv.ErrCompacted) {
			return err
		}
		if err != nil {
			p.storeFailed(ctx, "watch", err)
			p.sleep(ctx, storeRetry)
			continue
		}
		p.storeAnswered()
		if len(changes.Events) > 0 {
			last = p.clock.Now()
		}
		p.noteFaults(p.cache.Apply(changes))
		p.learnChanges(ctx, changes)
		p.grants.MarkSynced(asked)
	}
	return nil
}

func (p *Proxy) watchOnce(ctx context.Context, after int64) (rattankv.Changes, error) {
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	p.register.watching.Store(&cancel)
	return p.protocol.Store.Watch(call, "", after, watchWait)
}

// learnChanges acts on changes of the groups' records and of the configuration.
func (p *Proxy) learnChanges(ctx context.Context, changes rattankv.Changes) {
	p.learnGroups(ctx)
	view := p.cache.Snapshot()
	for _, event := range changes.Events {
		if p.protocol.Decoder.IsConfig(event.Key) && view.Catalog != nil {
			p.logger.Info("configuration_in_force", "version", view.Catalog.Version(), "revision", event.Revision)
		}
	}
}

// learnGroups acts on the groups' records that are newer than those known.
func (p *Proxy) learnGroups(ctx context.Context) {
	for name, entry := range p.cache.Snapshot().Groups {
		_, revision, _ := p.grants.Record(name)
		if revision >= entry.Revision {
			continue
		}
		p.grants.UpdateRecord(name, entry.Record, entry.Revision)
		p.switches.Observe(name, entry.Record)
		p.noteRecord(ctx, name, entry.Record)
	}
}

// readGroups reads the groups' records once the VM is listed, which is the
// baseline of its grants.
func (p *Proxy) readGroups(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-p.register.pollWake:
		}
		for ctx.Err() == nil {
			err := p.readBaseline(ctx)
			if err == nil {
				break
			}
			p.storeFailed(ctx, "baseline", err)
			p.sleep(ctx, storeRetry)
		}
	}
	return nil
}

func (p *Proxy) readBaseline(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := p.register.askedWhileListed()
	page, err := p.protocol.Store.Range(call, rattancache.GroupPrefix)
	if err != nil {
		return err
	}
	p.noteFaults(p.cache.Replace(rattancache.GroupPrefix, page))
	p.learnGroups(ctx)
	if !asked.IsZero() {
		p.grants.MarkInitialSync(asked)
	}
	return nil
}

// noteRecord logs a group's record and confirms that primary work has stopped
// when a switch is under way.
func (p *Proxy) noteRecord(ctx context.Context, group string, record rattangrant.PrimaryRecord) {
	p.logger.Info("group_record", "group", group, "primary", record.Primary, "switching", record.IsSwitching,
		"number", record.Version, "generation", record.FencingToken)
	if record.IsSwitching {
		go p.register.confirmStopped(ctx, group, record.Version)
	}
}

func (p *Proxy) noteFaults(faults []rattancache.InvalidEntry) {
	for _, fault := range faults {
		p.logger.Warn("entry_unreadable", "key", fault.Key, "revision", fault.Revision, "error", fault.Err)
	}
}

func (p *Proxy) storeFailed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	if p.register.storeLost.CompareAndSwap(false, true) {
		p.logger.Warn("store_lost", "call", call, "error", err)
	}
}

func (p *Proxy) storeAnswered() {
	if p.register.storeLost.CompareAndSwap(true, false) {
		p.logger.Info("store_regained")
		// The answer to a watch from before may be lost.
		if cancel := p.register.watching.Load(); cancel != nil {
			(*cancel)()
		}
	}
}
