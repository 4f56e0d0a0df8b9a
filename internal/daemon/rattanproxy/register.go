package rattanproxy

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

const (
	// leaseTTL is the time to live of the VM's lease: how long a daemon that
	// died is still listed.
	leaseTTL = 2 * time.Second
	// leaseRenewal separates two renewals of the lease; two fit into the lifetime
	// of a grant, and other daemons vouch when half of it has passed without one.
	leaseRenewal = 400 * time.Millisecond
	// renewTimeout limits one renewal, so that it is repeated within the lifetime.
	renewTimeout = 500 * time.Millisecond
	// leaseMargin is how long before its end a lease no longer counts here.
	leaseMargin = 200 * time.Millisecond
	// quiescePatience is how long primary work under way may go on once a switch
	// has begun; then it is interrupted and its outcome is in doubt.
	quiescePatience = 150 * time.Millisecond
	// directPatience is how long the holder of the failover duty may take to ask
	// directly before a stop is confirmed through the store.
	directPatience = 60 * time.Millisecond
	// reportPausePerVM times the live VMs is the least time between two reports of
	// unreachable endpoints: each one is read by every VM.
	reportPausePerVM = 10 * time.Millisecond
	// rollSettle is how long after its start a daemon looks whether its entry on
	// the roll is older than most.
	rollSettle = 3 * time.Second
	// writeTimeout limits one write to the store.
	writeTimeout = 1 * time.Second
)

// A register keeps the VM's entry in the store.
type register struct {
	proxy       *Proxy
	incarnation string
	storeLost   atomic.Bool
	// watching ends the watch under way.
	watching atomic.Pointer[context.CancelFunc]
	pollWake chan struct{}
	wake     chan struct{}

	mu         sync.Mutex
	record     rattancache.VMRecord
	lease      int64
	leaseUntil time.Time
	isDirty    bool
	// reported is when the unreachable endpoints were last told.
	reported time.Time
	// direct is the newest revision of a record for which the stop was confirmed
	// directly, by key.
	direct map[string]int64
	// isListed is true while the store holds the entry under the present lease.
	isListed bool
	// listedAt is since when, or when the entry on the roll was last renewed.
	listedAt time.Time
}

func newRegister(p *Proxy) *register {
	incarnation := rand.Text()[:12]
	return &register{
		proxy:       p,
		incarnation: incarnation,
		pollWake:    make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		direct:      make(map[string]int64),
		isDirty:     true,
		record: rattancache.VMRecord{
			Incarnation:   incarnation,
			Address:       p.settings.PeerAddress(),
			FailureDomain: p.settings.FailureDomain(),
			Stopped:       make(map[string]int64),
		},
	}
}

func (r *register) key() string { return rattancache.VMPrefix + r.proxy.settings.VM() }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *register) wakePoll() { notify(r.pollWake) }

// Lease returns the VM's lease and until when it certainly lasts.
func (r *register) Lease() (int64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.leaseUntil
}

// run keeps the lease and the entry.
func (r *register) run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := r.proxy.clock.Now().Add(leaseRenewal)
		if err := r.renew(ctx); err != nil {
			r.proxy.storeFailed(ctx, "lease", err)
			r.proxy.sleep(ctx, storeRetry)
			continue
		}
		r.renewMembership()
		if err := r.publish(ctx); err != nil {
			r.proxy.storeFailed(ctx, "register", err)
			r.proxy.sleep(ctx, storeRetry)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.proxy.clock.After(next.Sub(r.proxy.clock.Now())):
		}
	}
	return nil
}

// renew renews the lease, or takes a new one when it has ended.
func (r *register) renew(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, until := r.Lease()
	asked := r.proxy.boot.Now()
	if lease != 0 {
		if leaseTTL-leaseMargin-until.Sub(asked) < leaseRenewal/2 {
			return nil
		}
		call, cancel := context.WithTimeout(call, renewTimeout)
		defer cancel()
		err := r.proxy.protocol.Store.KeepAlive(call, lease)
		if err == nil {
			r.setLease(lease, asked.Add(leaseTTL-leaseMargin))
			r.proxy.grants.Renew(asked)
			r.proxy.storeAnswered()
			return nil
		}
		if !errors.Is(err, rattankv.ErrLeaseEnded) {
			return err
		}
		r.proxy.grants.MarkLeaseLost()
		r.proxy.logger.Warn("lease_ended", "lease", lease)
		r.confirmAgain(ctx)
	}
	lease, ttl, err := r.proxy.protocol.Store.GrantLease(call, leaseTTL)
	if err != nil {
		return err
	}
	r.setLease(lease, asked.Add(ttl-leaseMargin))
	r.forgetUnreachable()
	r.markDirty()
	return nil
}

// askedWhileListed returns the time of a question to the store that may confirm
// grants, or the zero time: a switch waits only for daemons that are listed.
func (r *register) askedWhileListed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.boot.Now()
	if !r.isListed || !now.Before(r.leaseUntil) {
		return time.Time{}
	}
	return now
}

func (r *register) setLease(lease int64, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lease != r.lease {
		r.isListed = false
	}
	r.lease, r.leaseUntil = lease, until
}

func (r *register) markDirty() {
	r.mu.Lock()
	r.isDirty = true
	r.mu.Unlock()
	notify(r.wake)
}

// publish writes the VM's entry if it has changed.
func (r *register) publish(ctx context.Context) error {
	r.mu.Lock()
	if !r.isDirty {
		r.mu.Unlock()
		return nil
	}
	r.isDirty = false
	lease := r.lease
	writes, err := r.entries()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := r.proxy.protocol.Store.Commit(call, rattankv.Txn{Writes: writes}); err != nil {
		r.mu.Lock()
		r.isDirty = true
		if errors.Is(err, rattankv.ErrLeaseEnded) {
			r.lease, r.isListed = 0, false
			r.proxy.grants.MarkLeaseLost()
			defer r.confirmAgain(ctx)
		}
		r.mu.Unlock()
		return err
	}
	if r.noteListed(lease) {
		r.wakePoll()
	}
	return nil
}

// entries returns what the store is to hold of the daemon: its entry, and its
// name on the roll.
func (r *register) entries() ([]rattankv.Item, error) {
	listed, err := json.Marshal(r.record)
	if err != nil {
		return nil, err
	}
	onRoll, err := json.Marshal(rattancache.MemberRecord{Incarnation: r.incarnation, Address: r.record.Address})
	if err != nil {
		return nil, err
	}
	return []rattankv.Item{
		{Key: r.key(), Value: listed, Lease: r.lease},
		{Key: rattancache.MemberPrefix + r.proxy.settings.VM(), Value: onRoll},
	}, nil
}

// noteListed records that the store holds the entry under a lease. It returns
// true when that was not so before.
func (r *register) noteListed(lease int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isFirst := !r.isListed
	r.isListed = r.lease == lease
	if isFirst {
		r.listedAt = r.proxy.clock.Now()
	}
	return isFirst
}

// renewMembership writes the entries again when few VMs were on the roll before, once
// the others have had time to start.
func (r *register) renewMembership() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.clock.Now()
	if r.isListed && now.Sub(r.listedAt) >= rollSettle && rollOf(r.proxy.cache.Snapshot()).NeedsRenewal(r.proxy.settings.VM()) {
		r.isDirty, r.listedAt = true, now
	}
}

// confirmStopped tells the other daemons that this one sends no primary work of
// a group any more, once that is so.
func (r *register) confirmStopped(ctx context.Context, group string, number int64) {
	r.proxy.relay.stopGroup(ctx, group)
	if !r.proxy.sleep(ctx, directPatience) || r.isConfirmed(group, number) {
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

// confirmAgain confirms the switches under way through the store, after the lease
// was revoked: the direct confirmations may not have arrived.
func (r *register) confirmAgain(ctx context.Context) {
	r.mu.Lock()
	clear(r.direct)
	r.mu.Unlock()
	for group, entry := range r.proxy.cache.Snapshot().Groups {
		if entry.Record.IsSwitching {
			go r.confirmStopped(ctx, group, entry.Record.Version)
		}
	}
}

// noteDirect records that the holder of the failover duty was told directly that
// primary work has stopped for a record.
func (r *register) noteDirect(item rattankv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct[item.Key] = max(r.direct[item.Key], item.Revision)
}

// isConfirmed reports whether the newest record of a group, which has a number,
// was confirmed directly.
func (r *register) isConfirmed(group string, number int64) bool {
	record, revision, _ := r.proxy.grants.Record(group)
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.Version == number && r.direct[rattancache.GroupPrefix+group] >= revision
}

// setUnreachable tells the other daemons which endpoints do not answer.
func (r *register) setUnreachable(ids []string) {
	slices.Sort(ids)
	now := r.proxy.clock.Now()
	pause := reportPausePerVM * time.Duration(len(r.proxy.cache.Snapshot().VMs))
	r.mu.Lock()
	isChanged := !slices.Equal(ids, r.record.Unreachable) && now.Sub(r.reported) >= pause
	if isChanged {
		r.record.Unreachable, r.reported = ids, now
	}
	r.mu.Unlock()
	if isChanged {
		r.proxy.logger.Warn("endpoints_unreachable", "endpoints", ids)
		r.markDirty()
	}
}

// forgetUnreachable drops what the daemon last reported: after a time without the
// store it may be out of date, and endpoints that still do not answer are soon
// reported again.
func (r *register) forgetUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Unreachable = nil
}

// setStopping tells the other daemons that this one is about to end.
func (r *register) setStopping() {
	r.mu.Lock()
	r.record.IsStopping = true
	r.mu.Unlock()
	r.markDirty()
}

// withdraw removes the VM's entry at the end.
func (r *register) withdraw(ctx context.Context) error {
	lease, _ := r.Lease()
	if lease == 0 {
		return nil
	}
	return r.proxy.protocol.Store.RevokeLease(ctx, lease)
}
