package rattanproxy

import (
	"context"
	"net"
	"time"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanstop"
)

const (
	// stopInterval separates two looks at the sessions during a stop.
	stopInterval = 50 * time.Millisecond
	// lastAnswersTimeout limits the wait at the end for answers that are being written, and
	// lastAnswersInterval separates two looks at them.
	lastAnswersTimeout  = 200 * time.Millisecond
	lastAnswersInterval = 10 * time.Millisecond
	// unregisterTimeout limits the call that removes the daemon's entry from the store.
	unregisterTimeout = 500 * time.Millisecond
)

// stop ends the sessions. New sessions are still accepted until the load balancer
// has noticed; then idle sessions are closed, and the others finish first. Open transactions
// have half of the time to end. The daemon unregisters only when nothing can reach it any
// more and every statement has its answer.
func (p *Proxy) stop(callers net.Listener) {
	p.logger.Info("stop_begin", "sessions", p.sessions.count())
	begun := p.clock.Now()
	schedule := rattanstop.New(begun, p.settings.StopTimeout())
	p.stopSchedule.Store(schedule)
	p.registration.setStopping()
	p.awaitIdle(schedule)
	p.logger.Info("stop_last_look", "sessions", p.sessions.count(), "forwarded_idle", p.forwarded.isIdle(),
		"waited_ms", p.clock.Now().Sub(begun).Milliseconds())
	_ = callers.Close()
	p.sessions.refuseNew()
	until := schedule.End().Add(lastAnswersTimeout)
	p.endSessions(until)
	p.logger.Info("stop_sessions_ended", "sessions", p.sessions.count())
	p.within(until, "forwarded_work_unended", p.endForwardedWork)
	if p.usage != nil {
		p.usage.flush()
	}
	p.unregister(begun.Add(p.settings.StopTimeout()))
	p.within(p.clock.Now().Add(lastAnswersTimeout), "peers_unended", p.endPeerServer)
}

// awaitIdle waits until there is neither a session nor work of other daemons, at most until
// the schedule's end.
func (p *Proxy) awaitIdle(schedule *rattanstop.Schedule) {
	for p.clock.Now().Before(schedule.End()) {
		if schedule.ClosesIdleSessions(p.clock.Now()) {
			for _, s := range p.sessions.list() {
				s.closeIdle()
			}
			if p.sessions.count() == 0 && p.forwarded.isIdle() {
				return
			}
		}
		<-p.clock.After(stopInterval)
	}
}

// endSessions closes all sessions, those whose statement is being answered after the answer,
// and waits for their ends until a time.
func (p *Proxy) endSessions(until time.Time) {
	for {
		for _, s := range p.sessions.list() {
			s.end()
		}
		if p.sessions.count() == 0 || !p.clock.Now().Before(until) {
			return
		}
		<-p.clock.After(lastAnswersInterval)
	}
}

// within calls a step of the stop, which must end by a time, and logs its error as an event.
func (p *Proxy) within(until time.Time, event string, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), until.Sub(p.clock.Now()))
	defer cancel()
	if err := step(ctx); err != nil {
		p.logger.Warn(event, "error", err)
	}
}

// unregister removes the daemon's entry from the store. It gives up at the end of the stop
// timeout; the entry then ends with its lease.
func (p *Proxy) unregister(end time.Time) {
	timeout := min(unregisterTimeout, end.Sub(p.clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.registration.unregister(ctx); err != nil {
		p.logger.Warn("withdraw_failed", "error", err)
	}
}

// logCutWork logs the statements that the end of the process cuts off.
func (p *Proxy) logCutWork() {
	for _, s := range p.sessions.list() {
		s.mu.Lock()
		if s.answering != "" {
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
