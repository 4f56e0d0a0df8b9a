package rattanproxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanisolation"
)

// isolationInterval separates two checks of whether the daemon is isolated.
const isolationInterval = 100 * time.Millisecond

// isolation holds whether the daemon is partitioned from what it needs to serve
// callers.
type isolation struct {
	isIsolated atomic.Bool
}

// watchIsolation takes the daemon out of the load balancer's rotation while it is
// isolated, and closes idle sessions, so that their callers connect to daemons
// that can serve them.
func (p *Proxy) watchIsolation(ctx context.Context) error {
	var decider rattanisolation.Decider
	probed := false
	for p.sleep(ctx, isolationInterval) {
		isLost := p.registration.storeLost.Load()
		if isLost && !probed {
			p.endpoints.probeAll()
		}
		probed = isLost
		reachable, total := p.endpoints.reachable()
		isIsolated := decider.Decide(rattanisolation.Conditions{
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
