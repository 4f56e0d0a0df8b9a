package rattanpressure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

func at(ms int64) time.Time { return time.UnixMilli(1_000_000 + ms) }

func report(owner string, number uint64, started, madeAtMS int64) Report {
	return Report{Load: rattanwork.Load{Endpoint: "e", StartedUnixMS: started, Owner: owner, Number: number}, MadeAt: at(madeAtMS)}
}

// TestReplacement guards against old, contradicting and restarted reports: reports of an
// earlier process, of an earlier owner and copies that come by a detour.
func TestReplacement(t *testing.T) {
	for _, test := range []struct {
		name string
		next Report
		want bool
	}{
		{"a later process of the endpoint, also when its report is older", report("b", 1, 8, 50), true},
		{"an earlier process of the endpoint, also when its report is younger", report("a", 9, 6, 200), false},
		{"the same owner with a higher number", report("a", 6, 7, 90), true},
		{"the same owner with the same number, by a detour", report("a", 5, 7, 130), false},
		{"the same owner with a lower number, by a detour", report("a", 4, 7, 130), false},
		{"another owner, younger", report("b", 1, 7, 101), true},
		{"another owner, older", report("b", 9, 7, 99), false},
		{"another owner, as old", report("b", 9, 7, 100), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			board := New()
			assertLearnt(t, board, report("a", 5, 7, 100), true)
			assertLearnt(t, board, test.next, test.want)
		})
	}
	t.Run("an owner that was followed by another one stays void", func(t *testing.T) {
		board := New()
		assertLearnt(t, board, report("a", 5, 7, 100), true)
		assertLearnt(t, board, report("b", 1, 7, 110), true)
		assertLearnt(t, board, report("a", 5, 7, 120), false)
		assertLearnt(t, board, report("a", 6, 7, 120), true)
	})
}

func assertLearnt(t *testing.T, board *Board, r Report, want bool) {
	t.Helper()
	if got := board.Learn(r); got != want {
		t.Errorf("report %d of %s for the process of %d: taken %t, want %t", r.Number, r.Owner, r.StartedUnixMS, got, want)
	}
}

// TestOrderOfReports guards against a board that goes back: whatever order reports and
// their copies arrive in, the process never gets earlier, the number of an owner never
// falls, and no report is taken twice.
func TestOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := New()
		taken := make(map[string]bool)
		highest := make(map[string]uint64)
		process := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			r := report(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), rapid.Uint64Range(1, 12).Draw(t, "number"),
				rapid.Int64Range(1, 4).Draw(t, "process"), rapid.Int64Range(0, 500).Draw(t, "made"))
			before := board.Reports()
			if !board.Learn(r) {
				if len(before) > 0 && board.Reports()[0] != before[0] {
					t.Fatalf("a report that was not taken changed the board")
				}
				continue
			}
			key := fmt.Sprint(r.StartedUnixMS, r.Owner, r.Number)
			owner := fmt.Sprint(r.StartedUnixMS, r.Owner)
			if taken[key] || r.StartedUnixMS < process || r.Number <= highest[owner] {
				t.Fatalf("report %d of %s for the process of %d was taken after process %d, number %d", r.Number, r.Owner, r.StartedUnixMS, process, highest[owner])
			}
			if len(before) > 0 && before[0].StartedUnixMS == r.StartedUnixMS && before[0].Owner != r.Owner && !r.MadeAt.After(before[0].MadeAt) {
				t.Fatalf("an older report of another owner was taken")
			}
			taken[key], highest[owner], process = true, r.Number, r.StartedUnixMS
			if board.Reports()[0] != r {
				t.Fatalf("the board does not hold the report that it took")
			}
		}
	})
}

// TestEstimate guards against reports that count for longer than they say something, and
// against a daemon that forgets what it has sent itself since a report.
func TestEstimate(t *testing.T) {
	load := rattanwork.Load{Endpoint: "e", StartedUnixMS: 7, Owner: "a", Number: 1, Slots: 4, FreeSlots: 1, ServiceTime: 40 * time.Millisecond}
	load.Wait[2] = 100 * time.Millisecond
	board := New()
	board.Begin("e", at(-10))
	board.Learn(Report{Load: load, MadeAt: at(0)})
	t.Run("fresh", func(t *testing.T) { assertEstimate(t, board, 0, 1, 100*time.Millisecond) })
	t.Run("half as old as it may be", func(t *testing.T) { assertEstimate(t, board, 500, 1, 50*time.Millisecond) })
	t.Run("one sent since takes the free slot", func(t *testing.T) {
		board.Begin("e", at(10))
		assertEstimate(t, board, 500, 0, 50*time.Millisecond)
	})
	t.Run("two sent since make one wait", func(t *testing.T) {
		board.Begin("e", at(20))
		assertEstimate(t, board, 500, 0, 60*time.Millisecond)
	})
	t.Run("what has ended counts no more", func(t *testing.T) {
		board.End("e", at(10))
		board.End("e", at(20))
		assertEstimate(t, board, 500, 1, 50*time.Millisecond)
	})
	t.Run("too old", func(t *testing.T) { assertNoEstimate(t, board, 7, 1000) })
	t.Run("of an earlier process", func(t *testing.T) { assertNoEstimate(t, board, 8, 0) })
}

func assertEstimate(t *testing.T, board *Board, nowMS int64, free int, wait time.Duration) {
	t.Helper()
	estimate, ok := board.Estimate("e", 7, at(nowMS))
	if !ok || estimate.FreeSlots != free || estimate.Wait[2] != wait {
		t.Errorf("%d free, wait %s (known %t), want %d and %s", estimate.FreeSlots, estimate.Wait[2], ok, free, wait)
	}
}

func assertNoEstimate(t *testing.T, board *Board, process, nowMS int64) {
	t.Helper()
	if _, ok := board.Estimate("e", process, at(nowMS)); ok {
		t.Error("an estimate without a report that says something")
	}
}

// TestShortWait guards against a short wait that is believed for as long as a long one,
// and turns all daemons away from an endpoint that has room again.
func TestShortWait(t *testing.T) {
	load := rattanwork.Load{Endpoint: "e", StartedUnixMS: 7, Owner: "a", Number: 1, Slots: 4, ServiceTime: 40 * time.Millisecond}
	load.Wait[2] = 10 * time.Millisecond
	board := New()
	board.Learn(Report{Load: load, MadeAt: at(0)})
	assertEstimate(t, board, 0, 0, 10*time.Millisecond)
	assertEstimate(t, board, 50, 0, 5*time.Millisecond)
	assertEstimate(t, board, 100, 0, 0)
}

// TestBusy guards against a single count of busy slots that is taken for the load.
func TestBusy(t *testing.T) {
	board := New()
	for i := range 20 {
		r := report("a", uint64(i+1), 7, int64(100*i))
		r.Slots, r.FreeSlots = 4, 4
		if i%2 == 0 {
			r.FreeSlots = 0
		}
		board.Learn(r)
	}
	estimate, ok := board.Estimate("e", 7, at(1900))
	if !ok || estimate.Busy < 0.35 || estimate.Busy > 0.65 {
		t.Errorf("mean share of busy slots %.2f (known %t), want about 0.5", estimate.Busy, ok)
	}
}

// TestNews guards against reports that go back to where they came from or are told twice.
func TestNews(t *testing.T) {
	board := New()
	own, passed := report("a", 1, 7, 0), report("b", 1, 7, 0)
	passed.Endpoint, passed.From = "f", "vm-1"
	board.Learn(own)
	board.Learn(passed)
	news, sequence := board.News(0, "vm-1", at(10))
	if len(news) != 1 || news[0].Endpoint != "e" {
		t.Errorf("vm-1 is told %v, want only the report of e", news)
	}
	if news, _ = board.News(0, "vm-2", at(10)); len(news) != 2 {
		t.Errorf("vm-2 is told %d reports, want 2", len(news))
	}
	if news, _ = board.News(sequence, "vm-2", at(10)); len(news) != 0 {
		t.Errorf("told again: %v", news)
	}
	if news, _ = board.News(0, "vm-2", at(1000)); len(news) != 0 {
		t.Errorf("told of reports that say nothing any more: %v", news)
	}
}
