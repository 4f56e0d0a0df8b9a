package rattanproxy

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

const (
	// leadershipInterval separates two checks of the failover leadership and of
	// the groups.
	leadershipInterval = 100 * time.Millisecond
	// leadershipStagger separates the daemons' attempts to take a free failover
	// leadership.
	leadershipStagger = 60 * time.Millisecond
	// notifyTimeout limits the direct notification of a daemon that a switchover
	// has begun. Daemons that have delegated grants may take longer and confirm
	// through the store.
	notifyTimeout = 1 * time.Second
	// recentDaemonWindow is how long an unregistered daemon still counts when half
	// of the jury must agree that a primary is lost.
	recentDaemonWindow = 5 * time.Second
	// switchoverRetry is the least time between the end of a group's switchover
	// and its next run.
	switchoverRetry = 300 * time.Millisecond
)

// A leadership is this daemon's hold on the failover leadership.
type leadership struct {
	proxy *Proxy

	mu    sync.Mutex
	lease rattankv.Lease
	token int64
	// revision is that of the store's record of the leadership.
	revision rattankv.Revision
	// takenAt is when this daemon took the leadership.
	takenAt time.Time
	// toleranceLoweredAt is when this daemon took the leadership, or last removed
	// a member so that the quorum tolerates fewer missing daemons.
	toleranceLoweredAt time.Time
}

// Token implements rattanswitchover.Leadership. The leadership ends with the
// daemon's grants, so a daemon that takes it once those have expired is the only
// leader.
func (l *leadership) Token() (int64, bool) {
	lease, _ := l.proxy.registration.Lease()
	_, isRenewed := l.proxy.grants.LeaseExpiry()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0 && l.lease == lease && isRenewed
}

// Holder implements rattanswitchover.Leadership.
func (l *leadership) Holder() string {
	return l.proxy.settings.VM() + "/" + l.proxy.registration.incarnation
}

func (l *leadership) set(lease rattankv.Lease, token int64, revision rattankv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.token, l.revision = lease, token, revision
	l.takenAt = l.proxy.boot.Now()
	l.toleranceLoweredAt = l.takenAt
}

// releaseIfReplaced ends the leadership when the store, as known up to a revision, has
// another record than that of this daemon: another daemon may take it.
func (l *leadership) releaseIfReplaced(snapshot *rattancache.Snapshot, known rattankv.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isOwn := snapshot.HasLeader && snapshot.Leader.Token == l.token
	if l.token == 0 || isOwn || known < l.revision {
		return
	}
	l.proxy.logger.Warn("duty_replaced", "token", l.token)
	l.token = 0
}

// sinceTaken returns the time since this daemon took the leadership.
func (l *leadership) sinceTaken() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxy.boot.Now().Sub(l.takenAt)
}

// sinceToleranceLowered returns for how long the number of tolerated daemons has
// certainly not fallen.
func (l *leadership) sinceToleranceLowered() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxy.boot.Now().Sub(l.toleranceLoweredAt)
}

func (l *leadership) markToleranceLowered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toleranceLoweredAt = l.proxy.boot.Now()
}

// runLeadership takes the failover leadership when it is free, and runs
// switchovers and removes members while this daemon is the leader.
func (p *Proxy) runLeadership(ctx context.Context) error {
	held := p.leadership
	daemons := newMembers(p)
	runner := &switchoverRunner{
		proxy:   p,
		members: daemons,
		running: make(map[string]bool),
		lastEnd: make(map[string]time.Time),
		blocked: make(map[string]rattanswitchover.Reason),

		termChecks:   make(map[string]termCheck),
		holderWrites: make(map[string]holderWrite), confirmations: make(map[string]confirmation), changedSince: make(map[string]time.Time),
		watchdog: rattanswitchover.NewWatchdog(),
		coordinator: rattanswitchover.New(p.boot, p.platform.Store, &endpointControl{proxy: p}, p.platform.Promoter,
			daemons, held, p.grants.Lifetime()),
	}
	var freeSince time.Time
	for ctx.Err() == nil {
		// Read before the snapshot, which then has all that the store held in that era.
		known := p.cache.Revision()
		era := known.Era()
		snapshot, changed := p.cache.Changed()
		held.releaseIfReplaced(snapshot, known)
		_, wasHeld := held.Token()
		if wasHeld {
			runner.checkGroups(ctx, snapshot, era)
			p.removeMembers(ctx, snapshot, held)
			freeSince = time.Time{}
		} else if p.isLeadershipFree(snapshot) {
			if freeSince.IsZero() {
				freeSince = p.clock.Now()
			}
			if p.clock.Now().Sub(freeSince) >= p.staggerDelay(snapshot, leadershipStagger) {
				p.takeLeadership(ctx, held)
				freeSince = time.Time{}
			}
		} else {
			freeSince = time.Time{}
			if !p.adoptLeadership(held) {
				p.checkLeader(ctx, runner, snapshot, era, held)
			}
		}
		if _, isHeld := held.Token(); isHeld && !wasHeld {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.clock.After(leadershipInterval):
		}
	}
	return nil
}

const (
	// leaderProbeDelay is how long a group may need a switchover before the
	// failover leader is probed.
	leaderProbeDelay = 100 * time.Millisecond
	// leaderProbeStagger separates the probes of the daemons.
	leaderProbeStagger = 15 * time.Millisecond
	// leaderProbeTimeout limits a probe, with leaderProbeTimeoutPerVM added for
	// each live VM: in a large fleet the leader has more to do and is probed by
	// more daemons.
	leaderProbeTimeout      = 200 * time.Millisecond
	leaderProbeTimeoutPerVM = 4 * time.Millisecond
)

// checkLeader replaces the failover leader when a group needs a switchover that
// the leader does not begin, and the leader does not answer a probe. The daemons
// probe one after the other, as they do to take a free leadership: many at once
// would revoke each other's leases. The daemon that revokes the leader's lease
// takes the leadership.
func (p *Proxy) checkLeader(ctx context.Context, runner *switchoverRunner, snapshot *rattancache.Snapshot, era int64, held *leadership) {
	if _, isRenewed := p.grants.LeaseExpiry(); !snapshot.HasLeader || !isRenewed {
		runner.watchdog.Reset()
		return
	}
	if !runner.isOverdue(snapshot, era, leaderProbeDelay+p.staggerDelay(snapshot, leaderProbeStagger)) {
		return
	}
	leader, ok := snapshot.VMs[snapshot.Leader.VM]
	if !ok || snapshot.Leader.VM == p.settings.VM() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, leaderProbeTimeout+time.Duration(len(snapshot.VMs))*leaderProbeTimeoutPerVM)
	defer cancel()
	// The probe needs no contents of the store.
	reply, err := p.peers.Call(callCtx, leader.Address, p.relay.knowledgeRequest(math.MaxInt64))
	if err == nil && reply.GetKnowledgeResponse().GetGrantMs() > 0 {
		return
	}
	p.logger.Warn("holder_silent", "holder", snapshot.Leader.VM, "token", snapshot.Leader.Token)
	if err := runner.members.Expel(ctx, []string{snapshot.Leader.VM}); err != nil {
		p.markStoreLost(ctx, "expel", err)
		return
	}
	p.takeLeadership(ctx, held)
}

// isFailoverLeader reports whether this daemon is the failover leader according
// to the cached store.
func (p *Proxy) isFailoverLeader() bool {
	snapshot := p.cache.Snapshot()
	return snapshot.HasLeader && snapshot.Leader.VM == p.settings.VM()
}

func (p *Proxy) isLeadershipFree(snapshot *rattancache.Snapshot) bool {
	return snapshot.Catalog != nil && !snapshot.HasLeader && !p.isStopping()
}

// staggerDelay returns how long this daemon waits before it does what only one
// daemon should do. The delays of the daemons differ by stagger.
func (p *Proxy) staggerDelay(snapshot *rattancache.Snapshot, stagger time.Duration) time.Duration {
	cores := make(map[string]float64, len(snapshot.VMs))
	for name, vm := range snapshot.VMs {
		cores[name] = vm.ProcessorCores
	}
	rank := rattanswitchover.LeaderRank(p.settings.VM(), cores)
	return time.Duration(rank) * stagger
}

// takeLeadership takes the failover leadership with the next fencing token.
func (p *Proxy) takeLeadership(ctx context.Context, held *leadership) {
	lease, _ := p.registration.Lease()
	if lease.IsZero() {
		return
	}
	token, revision, err := p.commitLeadership(ctx, lease)
	if err != nil {
		var conflict *rattankv.ConflictError
		if !errors.As(err, &conflict) {
			p.markStoreLost(ctx, "duty", err)
		}
		return
	}
	held.set(lease, token, revision)
	p.logger.Info("duty_taken", "token", token)
}

// unknownTokens is above the number of fencing tokens that were given out since the newest
// one that a daemon knows.
const unknownTokens = 1000

// commitLeadership writes the record of the failover leader with the next fencing token. It
// replaces entries that cannot be decoded.
func (p *Proxy) commitLeadership(ctx context.Context, lease rattankv.Lease) (int64, rattankv.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// The key of the fencing token begins with that of the leader.
	page, err := p.platform.Store.Range(callCtx, rattancache.LeaderKey)
	if err != nil {
		return 0, 0, err
	}
	last := int64(0)
	revisions := make(map[string]rattankv.Revision)
	for _, item := range page.Items {
		revisions[item.Key] = item.Revision
		switch item.Key {
		case rattancache.LeaderKey:
			if _, err := rattancache.DecodeLeader(item); err == nil {
				return 0, 0, &rattankv.ConflictError{Items: []rattankv.Item{item}}
			}
		case rattancache.FencingTokenKey:
			if last, err = rattancache.DecodeToken(item.Value); err != nil {
				p.logInvalidEntries([]rattancache.InvalidEntry{{Key: item.Key, Revision: item.Revision, Err: err}})
				last = p.newestToken() + unknownTokens
			}
		}
	}
	token := rattankv.NextNumber(last, page.AsOf.Era())
	record, err := json.Marshal(rattancache.LeaderRecord{VM: p.settings.VM(), Incarnation: p.registration.incarnation, Token: token})
	if err != nil {
		return 0, 0, err
	}
	next, err := json.Marshal(token)
	if err != nil {
		return 0, 0, err
	}
	revision, err := p.platform.Store.Commit(callCtx, rattankv.Txn{
		Expect: []rattankv.Expectation{
			{Key: rattancache.LeaderKey, Revision: revisions[rattancache.LeaderKey]},
			{Key: rattancache.FencingTokenKey, Revision: revisions[rattancache.FencingTokenKey]},
		},
		Writes: []rattankv.Item{
			{Key: rattancache.LeaderKey, Value: record, Lease: lease},
			{Key: rattancache.FencingTokenKey, Value: next},
		},
	})
	return token, revision, err
}

// newestToken returns the newest fencing token in a record that this daemon knows.
func (p *Proxy) newestToken() int64 {
	newest := p.cache.Snapshot().Leader.Token
	for _, known := range p.grants.Records() {
		newest = max(newest, known.FencingToken)
	}
	return newest
}
