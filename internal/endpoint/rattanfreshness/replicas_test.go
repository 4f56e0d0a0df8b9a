package rattanfreshness

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// A primary whose log grows by one entry each ms, observed each 100 ms up to a time.
func growingHistory(untilMS int) *History {
	h := &History{}
	for ms := 0; ms <= untilMS; ms += 100 {
		h.Observe(entryOf(ms), timeOf(ms))
	}
	return h
}

func entryOf(ms int) rattanmodel.Position {
	return rattanmodel.Position{Term: 1, Index: uint64(10_000 + ms)}
}

func timeOf(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

// TestExpectLaggingReplica guards against reads that are sent to a replica which lags by
// 1.5 s again and again, and against a replica that gets no read after it has caught up.
func TestExpectLaggingReplica(t *testing.T) {
	const now, lag = 5000, 1500
	history := growingHistory(now)
	lagging := func() *Replicas {
		r := NewReplicas()
		r.Observe("e", 1, entryOf(now-100-lag), timeOf(now-100))
		return r
	}
	t.Run("a position that it has is held now", func(t *testing.T) {
		assertExpect(t, lagging(), history, now-100-lag, now, Expectation{})
	})
	t.Run("a position older than the lag is held now", func(t *testing.T) {
		assertExpect(t, lagging(), history, now-lag-10, now, Expectation{})
	})
	t.Run("a younger one is held once the lag has passed", func(t *testing.T) {
		assertExpect(t, lagging(), history, now-200, now, Expectation{In: (lag - 200) * time.Millisecond})
	})
	t.Run("one beyond all that is known is held a lag from now", func(t *testing.T) {
		assertExpect(t, lagging(), history, now+50, now, Expectation{In: lag * time.Millisecond})
	})
	t.Run("an answer from after catching up counts", func(t *testing.T) {
		r := lagging()
		r.Observe("e", 1, entryOf(now-10), timeOf(now))
		assertExpect(t, r, history, now-10, now, Expectation{})
	})
	t.Run("an older answer that comes late is no sign of a longer lag", func(t *testing.T) {
		r := lagging()
		r.Observe("e", 1, entryOf(now-400-lag), timeOf(now))
		r.Observe("e", 1, entryOf(now-100-lag), timeOf(now-200))
		assertExpect(t, r, history, now-200, now, Expectation{In: (lag - 200) * time.Millisecond})
	})
	t.Run("a lag that grows by half puts it off twice as far", func(t *testing.T) {
		r := NewReplicas()
		r.Observe("e", 1, entryOf(now-lag), timeOf(now-200))
		r.Observe("e", 1, entryOf(now-lag+100), timeOf(now))
		assertExpect(t, r, history, now-200, now, Expectation{In: 2 * (lag - 100 - 200) * time.Millisecond})
	})
	t.Run("a lag longer than the history: not asked again at once", func(t *testing.T) {
		r := NewReplicas()
		r.Observe("e", 1, rattanmodel.Position{Term: 1, Index: 5}, timeOf(now))
		assertExpect(t, r, history, 100, now, Expectation{In: now / 2 * time.Millisecond})
	})
	t.Run("not seen for a second: one read asks", func(t *testing.T) {
		r, later := lagging(), now+maxUnseenMS
		history := growingHistory(later)
		assertExpect(t, r, history, later, later, Expectation{IsProbe: true})
		r.MarkProbe("e", timeOf(later))
		assertExpect(t, r, history, later, later, Expectation{In: lag * time.Millisecond})
	})
	t.Run("another process is not judged by the last one", func(t *testing.T) {
		if got := lagging().Expect("e", 2, history, entryOf(now), timeOf(now)); got != (Expectation{}) {
			t.Errorf("expected %+v of a process that was never seen", got)
		}
	})
}

const maxUnseenMS = int(maxUnseen / time.Millisecond)

func assertExpect(t *testing.T, r *Replicas, history *History, neededMS, nowMS int, want Expectation) {
	t.Helper()
	if got := r.Expect("e", 1, history, entryOf(neededMS), timeOf(nowMS)); got != want {
		t.Errorf("expected %+v, want %+v", got, want)
	}
}

// TestStoppedReplica guards against reads that ask a replica which receives nothing each
// time that the lag known so far has passed: the bound is one read in a second.
func TestStoppedReplica(t *testing.T) {
	const stoppedAt, staleness, end = 1000, 2500, 9000
	r, asked := NewReplicas(), 0
	r.Observe("e", 1, entryOf(stoppedAt), timeOf(stoppedAt))
	history := &History{}
	for ms := 0; ms <= end; ms += 10 {
		history.Observe(entryOf(ms), timeOf(ms))
		needed, ok := history.MinPosition(timeOf(ms), staleness*time.Millisecond)
		if !ok || ms < stoppedAt+staleness {
			continue
		}
		expected := r.Expect("e", 1, history, needed, timeOf(ms))
		if expected.In > 0 {
			continue
		}
		if expected.IsProbe {
			r.MarkProbe("e", timeOf(ms))
		}
		if needed.Compare(entryOf(stoppedAt)) > 0 {
			asked++
			r.Observe("e", 1, entryOf(stoppedAt), timeOf(ms))
		}
	}
	if limit := (end-stoppedAt-staleness)/maxUnseenMS + 1; asked > limit {
		t.Errorf("%d reads that a stopped replica could not serve, want at most %d", asked, limit)
	}
}
