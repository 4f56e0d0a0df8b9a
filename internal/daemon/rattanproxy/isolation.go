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
	// contactCheckTimeout limits the call to the store when no VM of another failure
	// domain answers.
	contactCheckTimeout = 250 * time.Millisecond
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
			p.logger.Info("contacts_lost")
			p.endpoints.probeAll()
			p.checkStore(ctx)
		}
		checked = areContactsLost
		isLost := p.registration.storeLost.Load()
		if isLost && !probed {
			p.endpoints.probeAll()
		}
		probed = isLost
		reachable, total := p.endpoints.reachable()
		isIsolated := decider.Decide(rattanisolation.Conditions{
			HasReachedStore: p.registration.storeReached.Load(),
			IsStoreLost:     isLost, IsOutageShared: p.relay.isOutageShared.Load(), HoldsGrants: p.grants.IsHeld(), Reachable: reachable, Endpoints: total,
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

// checkStore finds out at once whether the store answers, which the renewals of the
// lease would show later.
func (p *Proxy) checkStore(ctx context.Context) {
	lease, _ := p.registration.Lease()
	if lease.IsZero() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, contactCheckTimeout)
	defer cancel()
	if err := p.platform.Store.KeepAlive(callCtx, lease); err != nil && !errors.Is(err, rattankv.ErrLeaseEnded) {
		p.markStoreLost(ctx, "check", err)
	}
}

// isOutside reports whether a VM is in another failure domain.
func (p *Proxy) isOutside(vm string) bool {
	record, ok := p.cache.Snapshot().VMs[vm]
	return ok && record.FailureDomain != p.settings.FailureDomain()
}
