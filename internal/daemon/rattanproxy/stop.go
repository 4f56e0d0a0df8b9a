package rattanproxy

import (
	"context"
	"time"
)

const (
	// readinessNoticeTime is how long the load balancer takes to notice that a
	// daemon is not ready: two failed checks, one a second.
	readinessNoticeTime = 2200 * time.Millisecond
	// stopReserve is the part of the stop timeout that is kept for the
	// unregistration.
	stopReserve = 500 * time.Millisecond
)

// stop ends the sessions. New sessions are still accepted until the load balancer
// has noticed; then idle sessions are closed, and the others finish first.
func (p *Proxy) stop() {
	p.logger.Info("stop_begin", "sessions", p.sessions.count())
	p.stopping.Store(true)
	p.registration.setStopping()
	start := p.clock.Now()
	until := start.Add(p.settings.StopTimeout() - stopReserve)
	for p.clock.Now().Before(until) {
		if p.clock.Now().Sub(start) > readinessNoticeTime {
			for _, s := range p.sessions.list() {
				s.closeIdle()
			}
			if p.sessions.count() == 0 && p.forwarded.isIdle() {
				break
			}
		}
		<-p.clock.After(50 * time.Millisecond)
	}
	if p.usage != nil {
		p.usage.flush()
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout/2)
	defer cancel()
	if err := p.registration.unregister(ctx); err != nil {
		p.logger.Warn("withdraw_failed", "error", err)
	}
	p.logger.Info("stop_sessions_ended", "sessions", p.sessions.count())
}
