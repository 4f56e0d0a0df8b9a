// Package rattanstop decides what a daemon that has been told to stop still takes on, and
// until when it answers. It does no input or output.
package rattanstop

import "time"

const (
	// readinessNoticeTime is how long the load balancer takes to notice that a
	// daemon is not ready: two failed checks, one a second.
	readinessNoticeTime = 2200 * time.Millisecond
	// stopReserve is the part of the stop timeout that is kept for the
	// unregistration.
	stopReserve = 500 * time.Millisecond
	// answerReserve is how long before the end of the sessions the last answers are ready.
	answerReserve = 200 * time.Millisecond
)

// A Schedule is that of one stop. A nil Schedule is that of a daemon which does not stop.
type Schedule struct {
	begun   time.Time
	timeout time.Duration
}

// New returns the schedule of a stop that began at a time and may take the timeout.
func New(begun time.Time, timeout time.Duration) *Schedule {
	return &Schedule{begun: begun, timeout: timeout}
}

// ClosesIdleSessions reports whether sessions without work are closed: the load balancer
// sends no new ones.
func (s *Schedule) ClosesIdleSessions(now time.Time) bool {
	return s != nil && now.Sub(s.begun) > readinessNoticeTime
}

// TakesStatements reports whether statements are still passed on to endpoints. Open
// transactions have the first half of the stop timeout to end.
func (s *Schedule) TakesStatements(now time.Time) bool {
	return s == nil || now.Sub(s.begun) < s.timeout/2
}

// TakesCommits reports whether commits are still passed on to endpoints, and statements of
// other daemons that begin nothing which lasts.
func (s *Schedule) TakesCommits(now time.Time) bool {
	return s == nil || now.Before(s.AnswerBy())
}

// AnswerBy returns when all statements must have their answers; the zero time without a stop.
func (s *Schedule) AnswerBy() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.End().Add(-answerReserve)
}

// LimitDeadline returns the deadline of a statement, or AnswerBy if that is earlier.
func (s *Schedule) LimitDeadline(deadline time.Time) time.Time {
	if s == nil || deadline.Before(s.AnswerBy()) {
		return deadline
	}
	return s.AnswerBy()
}

// End returns when the sessions end.
func (s *Schedule) End() time.Time { return s.begun.Add(s.timeout - stopReserve) }
