package rattanproxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanisolation"
)

const (
	// isolationInterval separates two checks of whether the daemon is isolated.
	isolationInterval = 100 * time.Millisecond
	// contactCheckTimeout limits the call to the store and the pings of other VMs when no
	// VM of another failure domain answers.
	contactCheckTimeout = 200 * time.Millisecond
)

// isolation holds whether the daemon is partitioned from what it needs to serve
// callers.
type isolation struct {
	isIsolated atomic.Bool

	mu       sync.Mutex
	contacts rattanisolation.Contacts
}

// recordAnswer records that another VM answered a request that was sent at sentAt.
func (i *isolation) recordAnswer(vm string, sentAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contacts.Answered(vm, sentAt)
}

// recordLate records that another VM has not answered a request in time that was sent at
// sentAt.
func (i *isolation) recordLate(vm string, sentAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contacts.Late(vm, sentAt)
}

// lateVMs returns the VMs of other failure domains that have not answered in time.
func (i *isolation) lateVMs() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.contacts.LateVMs()
}

func (i *isolation) areContactsLost(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.contacts.AreLost(now)
}

// watchIsolation takes the daemon out of the load balancer's rotation while it is
// isolated, and closes idle sessions, so that their callers connect to daemons
// that can serve them.
func (p *Proxy) watchIsolation(ctx context.Context) error {
	var decider rattanisolation.Decider
	probed, checked := false, false
	for p.sleep(ctx, isolationInterval) {
		areContactsLost := p.isolation.areContactsLost(p.clock.Now())
		if areContactsLost && !checked {
			areContactsLost = p.confirmContactsLost(ctx)
		}
		checked = areContactsLost
		isLost := p.registration.storeLost.Load()
		if isLost && !probed {
			p.endpoints.probeAll()
		}
		probed = isLost
		reachable, total := p.endpoints.reachable()
		isIsolated := decider.Decide(rattanisolation.Conditions{
			HasReachedStore: p.registration.storeReached.Load(), AreContactsLost: areContactsLost,
			IsStoreLost: isLost, IsOutageShared: p.relay.isOutageShared.Load(), HoldsGrants: p.grants.IsHeld(), Reachable: reachable, Endpoints: total,
		}, p.boot.Now())
		if p.isolation.isIsolated.Swap(isIsolated) != isIsolated {
			p.logger.Warn("isolation", "isolated", isIsolated, "store_lost", isLost, "grants", p.grants.IsHeld(),
				"reachable", reachable, "endpoints", total, "sessions", p.sessions.count())
		}
		if isIsolated {
			for _, s := range p.sessions.list() {
				s.closeIdle()
			}
		}
	}
	return nil
}

// confirmContactsLost pings the VMs of other failure domains that are late: an overloaded
// one is late too, but answers a ping. While none does, the store and the endpoints are
// checked at once.
func (p *Proxy) confirmContactsLost(ctx context.Context) bool {
	pingCtx, cancel := context.WithTimeout(ctx, contactCheckTimeout)
	defer cancel()
	vms := p.cache.Snapshot().VMs
	var checks sync.WaitGroup
	for _, vm := range p.isolation.lateVMs() {
		checks.Go(func() {
			sentAt := p.clock.Now()
			if p.peers.Answers(pingCtx, vms[vm].Address) {
				p.isolation.recordAnswer(vm, sentAt)
			}
		})
	}
	checks.Go(func() { p.checkStore(pingCtx) })
	checks.Wait()
	if !p.isolation.areContactsLost(p.clock.Now()) {
		return false
	}
	p.logger.Info("contacts_lost", "store_lost", p.registration.storeLost.Load())
	p.endpoints.probeAll()
	return true
}

// checkStore finds out whether the store answers until ctx ends, which the renewals of the
// lease would show later.
func (p *Proxy) checkStore(ctx context.Context) {
	lease, _ := p.registration.Lease()
	if lease.IsZero() {
		return
	}
	if err := p.platform.Store.KeepAlive(ctx, lease); err != nil && !errors.Is(err, rattankv.ErrLeaseEnded) {
		p.markStoreLost(context.WithoutCancel(ctx), "check", err)
	}
}

// isOutside reports whether a VM is in another failure domain.
func (p *Proxy) isOutside(vm string) bool {
	record, ok := p.cache.Snapshot().VMs[vm]
	return ok && record.FailureDomain != p.settings.FailureDomain()
}
