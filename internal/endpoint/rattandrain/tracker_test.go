package rattandrain

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

var (
	testLimits = Limits{Draining: 7 * time.Second, Evacuated: 5 * time.Second}
	epoch      = time.Unix(1000, 0)
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func endpoint(isDraining bool, started int64) rattancatalog.Endpoint {
	return rattancatalog.Endpoint{ID: "e1", IsDraining: isDraining, StartedUnixMS: started}
}

func assertDeadline(t *testing.T, tracker *Tracker, want time.Time, wantOK bool) {
	t.Helper()
	got, ok := tracker.Deadline("e1")
	if ok != wantOK || wantOK && !got.Equal(want) {
		t.Errorf("deadline %s (%t), want %s (%t)", got.Sub(epoch), ok, want.Sub(epoch), wantOK)
	}
}

// TestDeadline guards against a limit that counts from when this daemon learned that an
// endpoint goes out of service, although the store acknowledged it earlier.
func TestDeadline(t *testing.T) {
	t.Run("stays", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(false, 1), false, at(1))
		assertDeadline(t, tracker, time.Time{}, false)
	})
	t.Run("drains", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(false, 1), false, at(1))
		tracker.Observe(endpoint(true, 1), false, at(4))
		tracker.Observe(endpoint(true, 1), false, at(6))
		assertDeadline(t, tracker, at(1+7-0.5), true)
	})
	t.Run("is evacuated while it drains", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(false, 1), false, at(1))
		tracker.Observe(endpoint(true, 1), false, at(1.5))
		tracker.Observe(endpoint(true, 1), true, at(2))
		assertDeadline(t, tracker, at(1.5+5-0.5), true)
	})
	t.Run("is evacuated and taken back", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(false, 1), true, at(1))
		tracker.Observe(endpoint(false, 1), false, at(2))
		assertDeadline(t, tracker, time.Time{}, false)
	})
	t.Run("drains at first sight, as after a restart of the daemon", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(true, 1), false, at(60))
		assertDeadline(t, tracker, time.Time{}.Add(testLimits.Draining-sendMargin), true)
	})
	t.Run("starts again under the same id", func(t *testing.T) {
		tracker := New(testLimits)
		tracker.Observe(endpoint(true, 1), false, at(1))
		tracker.Observe(endpoint(false, 2), false, at(9))
		assertDeadline(t, tracker, time.Time{}, false)
	})
}

// TestDeadlineNeverLate guards against any order of changes, restarts and late syncs in
// which the deadline is later than the limit after the acknowledgement of a drain that
// has not ended since.
func TestDeadlineNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(testLimits)
		var drainAcked, now time.Time
		now = epoch
		isDraining, started := false, int64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap_ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if !isDraining {
					isDraining, drainAcked = true, now
				}
			case 1:
				isDraining, started = false, started+1
			default:
				// The copy may be newer than the last confirmation that it is complete.
				age := time.Duration(rapid.IntRange(0, 4000).Draw(t, "age_ms")) * time.Millisecond
				tracker.Observe(endpoint(isDraining, started), false, now.Add(-age))
			}
			deadline, ok := tracker.Deadline("e1")
			if ok && isDraining && tracker.endpoints["e1"].startedUnixMS == started && deadline.After(drainAcked.Add(testLimits.Draining)) {
				t.Fatalf("the deadline is %s after the acknowledgement", deadline.Sub(drainAcked))
			}
		}
	})
}
