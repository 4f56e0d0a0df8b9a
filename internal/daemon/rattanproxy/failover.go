package rattanproxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

const (
	// dutyInterval separates two looks at the duty and at the groups.
	dutyInterval = 100 * time.Millisecond
	// dutyStagger separates the attempts of the daemons to take a free duty.
	dutyStagger = 60 * time.Millisecond
	// tellTimeout limits a direct message to a daemon that a switch has begun;
	// daemons with borrowers may take longer and confirm through the store.
	tellTimeout = 1 * time.Second
	// recentDaemons is how long a daemon that is no longer listed still counts when
	// half of the daemons must agree that a primary is lost: the few that still
	// reach the store during a split may be the ones that cannot reach it.
	recentDaemons = 5 * time.Second
	// switchRetry separates two runs of a switch that failed.
	switchRetry = 300 * time.Millisecond
)

// A leadership is what this daemon knows of its own hold of the failover leadership.
type leadership struct {
	proxy *Proxy

	mu    sync.Mutex
	lease int64
	token int64
	// lowered is when the duty was taken, or this holder last swept a VM from the
	// roll so that fewer daemons are tolerated.
	lowered time.Time
}

// Token implements rattanswitchover.Leadership. The duty ends with the daemon's grants, so
// that another holder that has waited for those acts alone.
func (d *leadership) Token() (int64, bool) {
	lease, _ := d.proxy.register.Lease()
	_, isRenewed := d.proxy.grants.LeaseExpiry()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token, d.token != 0 && d.lease == lease && isRenewed
}

// Holder implements rattanswitchover.Leadership.
func (d *leadership) Holder() string {
	return d.proxy.settings.VM() + "/" + d.proxy.register.incarnation
}

func (d *leadership) set(lease, token int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease, d.token = lease, token
	d.lowered = d.proxy.boot.Now()
}

// quiet returns for how long the number of tolerated daemons has not fallen.
func (d *leadership) quiet() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proxy.boot.Now().Sub(d.lowered)
}

func (d *leadership) noteLowered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lowered = d.proxy.boot.Now()
}

// runLeadership takes the failover duty when it is free, and does it while it is held.
func (p *Proxy) runLeadership(ctx context.Context) error {
	held := &leadership{proxy: p}
	group := newMembers(p)
	runner := &switchRunner{
		proxy:    p,
		members:  group,
		running:  make(map[string]bool),
		failed:   make(map[string]time.Time),
		watchdog: rattanswitchover.NewWatchdog(),
		coordinator: rattanswitchover.New(p.boot, p.protocol.Store, &control{proxy: p}, p.protocol.Promoter,
			group, held, p.grants.Lifetime()),
	}
	var freeSince time.Time
	for ctx.Err() == nil {
		view, changed := p.cache.Changed()
		_, wasHeld := held.Token()
		if wasHeld {
			runner.look(ctx, view)
			p.sweepRoll(ctx, view, held)
			freeSince = time.Time{}
		} else if p.isDutyFree(view) {
			if freeSince.IsZero() {
				freeSince = p.clock.Now()
			}
			if p.clock.Now().Sub(freeSince) >= p.turn(view, dutyStagger) {
				p.takeLeadership(ctx, held)
				freeSince = time.Time{}
			}
		} else {
			freeSince = time.Time{}
			p.watchHolder(ctx, runner, view, held)
		}
		if _, isHeld := held.Token(); isHeld && !wasHeld {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.clock.After(dutyInterval):
		}
	}
	return nil
}

const (
	// idleHolder is how long a group may need a switch before the holder of the
	// failover duty is asked whether it is alive.
	idleHolder = 100 * time.Millisecond
	// holderStagger separates the questions of the daemons to the holder.
	holderStagger = 15 * time.Millisecond
	// holderTimeout limits the holder's answer. In a large fleet the holder has
	// more to do and is asked by more.
	holderTimeout      = 200 * time.Millisecond
	holderTimeoutPerVM = 4 * time.Millisecond
)

// watchHolder revokes the lease of the duty's holder when a group needs a switch
// that the holder does not begin, and the holder does not answer. The daemons take
// turns, as they do to take the duty: many at once would revoke each other's leases.
// The one that revokes the lease takes the duty.
func (p *Proxy) watchHolder(ctx context.Context, runner *switchRunner, view *rattancache.Snapshot, held *leadership) {
	if _, isRenewed := p.grants.LeaseExpiry(); !view.HasLeader || !isRenewed {
		runner.watchdog.Reset()
		return
	}
	if !runner.isOverdue(view, idleHolder+p.turn(view, holderStagger)) {
		return
	}
	holder, ok := view.VMs[view.Leader.VM]
	if !ok || view.Leader.VM == p.settings.VM() {
		return
	}
	call, cancel := context.WithTimeout(ctx, holderTimeout+time.Duration(len(view.VMs))*holderTimeoutPerVM)
	defer cancel()
	answer, err := p.peers.Call(call, holder.Address, p.relay.request(p.cache.Revision()))
	if err == nil && answer.GetKnowledgeResponse().GetGrantMs() > 0 {
		return
	}
	p.logger.Warn("holder_silent", "holder", view.Leader.VM, "token", view.Leader.Token)
	if err := runner.members.Expel(ctx, []string{view.Leader.VM}); err != nil {
		p.storeFailed(ctx, "expel", err)
		return
	}
	p.takeLeadership(ctx, held)
}

// isDutyHolder reports whether this daemon holds the failover duty for all that
// the store tells.
func (p *Proxy) isDutyHolder() bool {
	view := p.cache.Snapshot()
	return view.HasLeader && view.Leader.VM == p.settings.VM()
}

func (p *Proxy) isDutyFree(view *rattancache.Snapshot) bool {
	return view.Catalog != nil && !view.HasLeader && !p.stopping.Load()
}

// turn returns how long this daemon waits before it does what one daemon is to do,
// so that the daemons take turns that a stagger separates.
func (p *Proxy) turn(view *rattancache.Snapshot, stagger time.Duration) time.Duration {
	rank := 0
	for name := range view.VMs {
		if name < p.settings.VM() {
			rank++
		}
	}
	return time.Duration(rank) * stagger
}

// takeLeadership takes the duty with the next fencing token.
func (p *Proxy) takeLeadership(ctx context.Context, held *leadership) {
	lease, _ := p.register.Lease()
	if lease == 0 {
		return
	}
	token, err := p.commitLeadership(ctx, lease)
	if err != nil {
		var conflict *rattankv.ConflictError
		if !errors.As(err, &conflict) {
			p.storeFailed(ctx, "duty", err)
		}
		return
	}
	held.set(lease, token)
	p.logger.Info("duty_taken", "token", token)
}

func (p *Proxy) commitLeadership(ctx context.Context, lease int64) (int64, error) {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	page, err := p.protocol.Store.Range(call, rattancache.FencingTokenKey)
	if err != nil {
		return 0, err
	}
	var last, revision int64
	for _, item := range page.Items {
		if item.Key == rattancache.FencingTokenKey {
			revision = item.Revision
			if err := json.Unmarshal(item.Value, &last); err != nil {
				return 0, errors.Wrap(err, "decode the last fencing token")
			}
		}
	}
	token := last + 1
	record, err := json.Marshal(rattancache.LeaderRecord{VM: p.settings.VM(), Incarnation: p.register.incarnation, Token: token})
	if err != nil {
		return 0, err
	}
	next, err := json.Marshal(token)
	if err != nil {
		return 0, err
	}
	_, err = p.protocol.Store.Commit(call, rattankv.Txn{
		Expect: []rattankv.Expectation{
			{Key: rattancache.LeaderKey, Revision: 0},
			{Key: rattancache.FencingTokenKey, Revision: revision},
		},
		Writes: []rattankv.Item{
			{Key: rattancache.LeaderKey, Value: record, Lease: lease},
			{Key: rattancache.FencingTokenKey, Value: next},
		},
	})
	return token, err
}
