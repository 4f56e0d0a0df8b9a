package rattanproxy

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanstop"
)

const (
	// stopInterval separates two looks at the sessions during a stop.
	stopInterval = 50 * time.Millisecond
	// lastAnswersTimeout limits the wait at the end for answers that are being written.
	lastAnswersTimeout = 200 * time.Millisecond
)

// stop ends the sessions. New sessions are still accepted until the load balancer
// has noticed; then idle sessions are closed, and the others finish first. Open transactions
// have half of the time to end.
func (p *Proxy) stop() {
	p.logger.Info("stop_begin", "sessions", p.sessions.count())
	begun := p.clock.Now()
	schedule := rattanstop.New(begun, p.settings.StopTimeout())
	p.stopSchedule.Store(schedule)
	p.registration.setStopping()
	for p.clock.Now().Before(schedule.End()) {
		if schedule.ClosesIdleSessions(p.clock.Now()) {
			for _, s := range p.sessions.list() {
				s.closeIdle()
			}
			if p.sessions.count() == 0 && p.forwarded.isIdle() {
				break
			}
		}
		<-p.clock.After(stopInterval)
	}
	p.logger.Info("stop_last_look", "sessions", p.sessions.count(), "forwarded_idle", p.forwarded.isIdle(),
		"waited_ms", p.clock.Now().Sub(begun).Milliseconds())
	p.endSessions()
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

// endSessions closes all sessions, those whose statement is being answered after the answer.
func (p *Proxy) endSessions() {
	until := p.clock.Now().Add(lastAnswersTimeout)
	for {
		answering := 0
		for _, s := range p.sessions.list() {
			if !s.end() {
				answering++
			}
		}
		if answering == 0 || !p.clock.Now().Before(until) {
			return
		}
		<-p.clock.After(stopInterval / 5)
	}
}

// logCutWork logs the statements that the end of the process cuts off.
func (p *Proxy) logCutWork() {
	for _, s := range p.sessions.list() {
		s.mu.Lock()
		if s.isAnswering {
			p.logger.Warn("statement_cut", "id", s.answering, "database", s.database, "account", s.account,
				"session_ms", p.clock.Now().Sub(s.acceptedAt).Milliseconds())
		}
		s.mu.Unlock()
	}
	if running := p.forwarded.runningCount(); running > 0 {
		p.logger.Warn("forwarded_statements_cut", "statements", running)
	}
}

// isStopping reports whether the daemon has been told to stop.
func (p *Proxy) isStopping() bool { return p.stopSchedule.Load() != nil }
