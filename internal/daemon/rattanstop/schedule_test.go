package rattanstop

import (
	"testing"
	"time"
)

// TestSchedule guards against statements that a daemon passes on so late before its end that
// it ends without their answers (review/5, LOST), and against transactions that do not get the
// first half of the stop timeout.
func TestSchedule(t *testing.T) {
	begun := time.Unix(1000, 0)
	schedule := New(begun, 6*time.Second)
	for _, test := range []struct {
		name                            string
		after                           time.Duration
		closesIdle, statements, commits bool
	}{
		{"at once", 0, false, true, true},
		{"the load balancer has noticed", 2300 * time.Millisecond, true, true, true},
		{"before the half", 2999 * time.Millisecond, true, true, true},
		{"after the half", 3 * time.Second, true, false, true},
		{"near the end", 5290 * time.Millisecond, true, false, true},
		{"too late for an answer", 5300 * time.Millisecond, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := begun.Add(test.after)
			if got := schedule.ClosesIdleSessions(now); got != test.closesIdle {
				t.Errorf("closes idle sessions: %t, want %t", got, test.closesIdle)
			}
			if got := schedule.TakesStatements(now); got != test.statements {
				t.Errorf("takes statements: %t, want %t", got, test.statements)
			}
			if got := schedule.TakesCommits(now); got != test.commits {
				t.Errorf("takes commits: %t, want %t", got, test.commits)
			}
		})
	}
	t.Run("a deadline after the last answers", func(t *testing.T) {
		assertTime(t, schedule.LimitDeadline(begun.Add(time.Minute)), begun.Add(5300*time.Millisecond))
	})
	t.Run("an earlier deadline", func(t *testing.T) {
		assertTime(t, schedule.LimitDeadline(begun.Add(time.Second)), begun.Add(time.Second))
	})
	t.Run("no stop", func(t *testing.T) {
		var none *Schedule
		if none.ClosesIdleSessions(begun) || !none.TakesStatements(begun) || !none.TakesCommits(begun) || !none.AnswerBy().IsZero() {
			t.Error("a daemon that does not stop refuses work")
		}
		assertTime(t, none.LimitDeadline(begun), begun)
	})
}

func assertTime(t *testing.T, got, want time.Time) {
	t.Helper()
	if !got.Equal(want) {
		t.Errorf("got %s, want %s", got, want)
	}
}
