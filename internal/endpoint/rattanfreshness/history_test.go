package rattanfreshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func position(term, index uint64) rattanmodel.Position {
	return rattanmodel.Position{Term: term, Index: index}
}

func assertMinPosition(t *testing.T, h *History, now time.Time, want rattanmodel.Position, wantOK bool) {
	t.Helper()
	got, ok := h.MinPosition(now, 1500*time.Millisecond)
	if got != want || ok != wantOK {
		t.Errorf("minimum position %s (%t), want %s (%t)", got, ok, want, wantOK)
	}
}

// TestMinPositionIsOldestWithinStaleness guards against minimum positions that are
// newer than needed, which exclude replicas with little replication lag from reads.
func TestMinPositionIsOldestWithinStaleness(t *testing.T) {
	h := &History{}
	h.Observe(position(1, 10), at(0))
	h.Observe(position(1, 20), at(1000))
	assertMinPosition(t, h, at(1200), position(1, 10), true)
	assertMinPosition(t, h, at(1600), position(1, 20), true)
	assertMinPosition(t, h, at(2600), rattanmodel.Position{}, false)
}

// TestFloorContainsOldCommits guards against stale reads: for random sequences of
// commits and observations, the minimum position contains every commit that was
// acknowledged before the staleness bound.
func TestFloorContainsOldCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{}
		var acknowledged []int
		now := 0
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now += rapid.IntRange(0, 400).Draw(t, "pause")
			if rapid.Bool().Draw(t, "commit") {
				acknowledged = append(acknowledged, now)
			} else {
				h.Observe(position(1, uint64(len(acknowledged))+1), at(now))
			}
		}
		minPosition, ok := h.MinPosition(at(now), 1500*time.Millisecond)
		if !ok {
			return
		}
		for i, ack := range acknowledged {
			if ack < now-1500 && minPosition.Index < uint64(i)+2 {
				t.Fatalf("minimum position %s lacks commit %d, acknowledged %d ms ago", minPosition, i, now-ack)
			}
		}
	})
}

// TestRolledBackPositionIsReplaced guards against reads that wait forever for a
// position that a promotion has rolled back.
func TestRolledBackPositionIsReplaced(t *testing.T) {
	h := &History{}
	h.Observe(position(1, 30), at(0))
	h.Observe(position(2, 25), at(100))
	if got := h.Resolve(position(1, 30)); got != position(2, 25) {
		t.Errorf("position of the ended term resolves to %s, want the start of the new term", got)
	}
	if got := h.Resolve(position(2, 40)); got != position(2, 40) {
		t.Errorf("position of the present term resolves to %s, want it unchanged", got)
	}
}
