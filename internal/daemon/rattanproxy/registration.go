package rattanproxy

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

const (
	// leaseTTL is the time to live of the VM's lease: how long a daemon that has
	// died stays registered.
	leaseTTL = 2 * time.Second
	// leaseRenewal separates two renewals of the lease. Two fit into the lifetime
	// of a grant, and other daemons delegate grants when half of it has passed
	// without a renewal.
	leaseRenewal = 400 * time.Millisecond
	// followerRenewal separates two renewals while a watcher delegates grants to this
	// daemon: its own lease then only keeps its entry. A renewal that fails can be
	// repeated once within leaseTTL.
	followerRenewal = 900 * time.Millisecond
	// renewTimeout limits one renewal, so that it can be retried within the
	// lifetime.
	renewTimeout = 500 * time.Millisecond
	// leaseMargin is how long before its end this daemon regards its lease as
	// expired.
	leaseMargin = 200 * time.Millisecond
	// quiesceTimeout is how long requests to the primary in flight may continue
	// once a switchover has begun. Then they are interrupted, and their outcome is
	// in doubt.
	quiesceTimeout = 150 * time.Millisecond
	// directConfirmDelay is how long the failover leader may take to request a
	// direct confirmation before a stop is confirmed through the store.
	directConfirmDelay = 60 * time.Millisecond
	// reportIntervalPerVM times the number of daemons that may report the same endpoint
	// is the least time between two reports of unreachable endpoints.
	reportIntervalPerVM = 10 * time.Millisecond
	// membershipRenewalDelay is how long after its registration a daemon checks
	// whether its member entry is older than most.
	membershipRenewalDelay = 3 * time.Second
	// writeTimeout limits one write to the store.
	writeTimeout = 1 * time.Second
)

// A registration maintains the VM's entry and member entry in the store.
type registration struct {
	proxy       *Proxy
	incarnation string
	storeLost   atomic.Bool
	// storeReached is true once the store has answered this daemon.
	storeReached atomic.Bool
	// watching cancels the watch in progress.
	watching        atomic.Pointer[context.CancelFunc]
	initialSyncWake chan struct{}
	wake            chan struct{}
	// withdrawn ends when the daemon unregisters for good.
	withdrawn context.Context
	withdraw  context.CancelFunc

	mu         sync.Mutex
	record     rattancache.VMRecord
	lease      rattankv.Lease
	leaseUntil time.Time
	// unregistered is the length of the times between the end of a lease and the next
	// one, as unregisteredTime counts them.
	unregistered time.Duration
	isDirty      bool
	// reportedAt is when the unreachable endpoints were last reported.
	reportedAt time.Time
	// directStops holds the newest revision of each record for which this daemon
	// confirmed directly that it stopped, by key.
	directStops map[string]rattankv.Revision
	// isRegistered is true while the store holds the entry under the current
	// lease.
	isRegistered bool
	// registeredAt is since when that is so, or when the member entry was last
	// renewed.
	registeredAt time.Time
}

func newRegistration(p *Proxy) *registration {
	incarnation := rand.Text()[:12]
	withdrawn, withdraw := context.WithCancel(context.Background())
	return &registration{
		withdrawn:       withdrawn,
		withdraw:        withdraw,
		proxy:           p,
		incarnation:     incarnation,
		initialSyncWake: make(chan struct{}, 1),
		wake:            make(chan struct{}, 1),
		directStops:     make(map[string]rattankv.Revision),
		isDirty:         true,
		record: rattancache.VMRecord{
			Incarnation:    incarnation,
			Address:        p.settings.PeerAddress(),
			FailureDomain:  p.settings.FailureDomain(),
			ProcessorCores: p.settings.ProcessorCores(),
			Stopped:        make(map[string]int64),
		},
	}
}

func (r *registration) key() string { return rattancache.VMPrefix + r.proxy.settings.VM() }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *registration) requestInitialSync() { notify(r.initialSyncWake) }

// Lease returns the VM's lease and until when it certainly lasts.
func (r *registration) Lease() (rattankv.Lease, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.leaseUntil
}

// run renews the lease and publishes changes of the entries, until the daemon unregisters.
func (r *registration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		next := r.proxy.clock.Now().Add(r.renewalInterval())
		if err := r.renew(ctx); err != nil {
			r.proxy.markStoreLost(ctx, "lease", err)
			r.proxy.pauseStore(ctx)
			continue
		}
		r.renewMembership()
		if err := r.publish(ctx); err != nil {
			r.proxy.markStoreLost(ctx, "register", err)
			r.proxy.pauseStore(ctx)
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

// untilWithdrawn returns a service that ends before the daemon unregisters: what it does
// needs the lease.
func (r *registration) untilWithdrawn(run func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(r.withdrawn, cancel)
		defer stop()
		err := run(ctx)
		if r.withdrawn.Err() != nil {
			return suture.ErrDoNotRestart
		}
		return err
	}
}

func (r *registration) renewalInterval() time.Duration {
	if r.proxy.follower.isFed() {
		return followerRenewal
	}
	return leaseRenewal
}

// renew renews the lease, or requests a new one when it has ended.
func (r *registration) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, until := r.Lease()
	sentAt := r.proxy.boot.Now()
	if !lease.IsZero() {
		if leaseTTL-leaseMargin-until.Sub(sentAt) < leaseRenewal/2 {
			return nil
		}
		callCtx, cancel := context.WithTimeout(callCtx, renewTimeout)
		defer cancel()
		err := r.proxy.platform.Store.KeepAlive(callCtx, lease)
		if err == nil {
			r.setLease(lease, sentAt.Add(leaseTTL-leaseMargin))
			r.proxy.grants.Renew(sentAt)
			r.proxy.markStoreAvailable()
			return nil
		}
		if !errors.Is(err, rattankv.ErrLeaseEnded) {
			return err
		}
		r.proxy.markLeaseLost()
		// The store may have been restored: a watch in progress then shows nothing more.
		r.proxy.restartWatch()
		r.proxy.logger.Warn("lease_ended", "lease", lease.String())
		r.reconfirmStops(ctx)
	}
	lease, ttl, err := r.proxy.platform.Store.GrantLease(callCtx, leaseTTL)
	if err != nil {
		return err
	}
	r.setLease(lease, sentAt.Add(ttl-leaseMargin))
	r.clearUnreachable()
	r.markDirty()
	return nil
}

// sendTimeIfRegistered returns the current time, as the send time of a request to
// the store that may confirm grants. It returns the zero time while the daemon is
// unregistered, because a switchover waits only for registered daemons.
func (r *registration) sendTimeIfRegistered() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.boot.Now()
	if !r.isRegistered || !now.Before(r.leaseUntil) {
		return time.Time{}
	}
	return now
}

// unregisteredTime returns the total time since the first registration for which the
// VM's lease may have ended while other daemons reached the store.
func (r *registration) unregisteredTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unregistered + r.gap(r.proxy.boot.Now())
}

// gap returns how long the lease has ended at a time, 0 if no daemon reaches the store.
// The caller holds r.mu.
func (r *registration) gap(now time.Time) time.Duration {
	if r.leaseUntil.IsZero() || r.proxy.relay.isOutageShared.Load() {
		return 0
	}
	return max(0, now.Sub(r.leaseUntil))
}

func (r *registration) setLease(lease rattankv.Lease, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lease != r.lease {
		r.isRegistered = false
	}
	r.unregistered += r.gap(r.proxy.boot.Now())
	r.lease, r.leaseUntil = lease, until
}

func (r *registration) markDirty() {
	r.mu.Lock()
	r.isDirty = true
	r.mu.Unlock()
	notify(r.wake)
}

// publish writes the VM's entry and member entry if the entry has changed.
func (r *registration) publish(ctx context.Context) error {
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
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := r.proxy.platform.Store.Commit(callCtx, rattankv.Txn{Writes: writes}); err != nil {
		r.mu.Lock()
		r.isDirty = true
		if errors.Is(err, rattankv.ErrLeaseEnded) {
			r.lease, r.isRegistered = rattankv.Lease{}, false
			r.proxy.markLeaseLost()
			defer r.reconfirmStops(ctx)
		}
		r.mu.Unlock()
		return err
	}
	if r.markRegistered(lease) {
		r.requestInitialSync()
	}
	return nil
}

// entries returns what the store holds of the daemon: the VM's entry, and its
// member entry, which outlives the lease.
func (r *registration) entries() ([]rattankv.Item, error) {
	entry, err := json.Marshal(r.record)
	if err != nil {
		return nil, err
	}
	member, err := json.Marshal(rattancache.MemberRecord{Incarnation: r.incarnation, Address: r.record.Address})
	if err != nil {
		return nil, err
	}
	return []rattankv.Item{
		{Key: r.key(), Value: entry, Lease: r.lease},
		{Key: rattancache.MemberPrefix + r.proxy.settings.VM(), Value: member},
	}, nil
}

// markRegistered records that the store holds the entry under a lease. It returns
// true when the daemon was unregistered before.
func (r *registration) markRegistered(lease rattankv.Lease) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isFirst := !r.isRegistered
	r.isRegistered = r.lease == lease
	if isFirst {
		r.registeredAt = r.proxy.clock.Now()
	}
	return isFirst
}

// renewMembership writes the entries again when few VMs were members before this
// one, once the others have had time to start.
func (r *registration) renewMembership() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.clock.Now()
	if r.isRegistered && now.Sub(r.registeredAt) >= membershipRenewalDelay && membershipOf(r.proxy.cache.Snapshot()).NeedsRenewal(r.proxy.settings.VM()) {
		r.isDirty, r.registeredAt = true, now
	}
}

// setUnreachable reports to the other daemons which endpoints do not answer.
func (r *registration) setUnreachable(ids []string) {
	slices.Sort(ids)
	now := r.proxy.clock.Now()
	pause := reportIntervalPerVM * time.Duration(min(len(r.proxy.cache.Snapshot().VMs), rattanswitchover.JurySize))
	r.mu.Lock()
	isChanged := !slices.Equal(ids, r.record.Unreachable) && now.Sub(r.reportedAt) >= pause
	if isChanged {
		r.record.Unreachable, r.reportedAt = ids, now
	}
	r.mu.Unlock()
	if isChanged {
		r.proxy.logger.Warn("endpoints_unreachable", "endpoints", ids)
		r.markDirty()
	}
}

// clearUnreachable drops the last report: after a time without the store it may
// be out of date, and endpoints that still do not answer are soon reported again.
func (r *registration) clearUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Unreachable = nil
}

// setStopping announces to the other daemons that this one is about to stop.
func (r *registration) setStopping() {
	r.mu.Lock()
	r.record.IsStopping = true
	r.mu.Unlock()
	r.markDirty()
}

// unregister removes the VM's entry by revoking its lease, and requests no new one.
func (r *registration) unregister(ctx context.Context) error {
	r.withdraw()
	lease, _ := r.Lease()
	if lease.IsZero() {
		return nil
	}
	return r.proxy.platform.Store.RevokeLease(ctx, lease)
}
