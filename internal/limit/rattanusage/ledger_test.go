package rattanusage

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// A countKey names one count in the model of the conservation test.
type countKey struct {
	window               int64
	incarnation, account string
}

// A modelDaemon is a daemon with its ledger, and with what the ledger must hold.
type modelDaemon struct {
	incarnation string
	ledger      *Ledger
	holds       map[countKey]uint64
	// passed is the state of the ledger that each other daemon has, by incarnation.
	passed map[string]uint64
}

func newModelDaemon(number int) *modelDaemon {
	return &modelDaemon{
		incarnation: fmt.Sprint("daemon", number), ledger: NewLedger(0),
		holds: make(map[countKey]uint64), passed: make(map[string]uint64),
	}
}

// pass gives another daemon what it lacks. Without an answer, it is given again.
func (d *modelDaemon) pass(to *modelDaemon, isAnswered bool) {
	changes := d.ledger.ChangesAfter(d.passed[to.incarnation], func(string) bool { return true })
	to.ledger.Merge(changes)
	if isAnswered {
		d.passed[to.incarnation] = changes.State
	}
	for key, requests := range d.holds {
		to.holds[key] = max(to.holds[key], requests)
	}
}

// TestConservation guards against requests that are lost or counted twice when counts
// take several ways, are repeated, and when daemons are killed and replaced: the report
// has every request that a living daemon knows of, once.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var daemons []*modelDaemon
		started := 0
		start := func() *modelDaemon {
			started++
			return newModelDaemon(started)
		}
		for range rapid.IntRange(1, 5).Draw(t, "daemons") {
			daemons = append(daemons, start())
		}
		truth, isKilled := make(map[int64]map[string]uint64), false
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			one := rapid.IntRange(0, len(daemons)-1).Draw(t, "one")
			d := daemons[one]
			switch rapid.SampledFrom([]string{"count", "count", "pass", "kill"}).Draw(t, "step") {
			case "count":
				window, account := rapid.Int64Range(1, 3).Draw(t, "window"), rapid.SampledFrom([]string{"miny", "dewu"}).Draw(t, "account")
				d.ledger.Add(window, d.incarnation, account, 1)
				d.holds[countKey{window, d.incarnation, account}]++
				if truth[window] == nil {
					truth[window] = make(map[string]uint64)
				}
				truth[window][account]++
			case "pass":
				d.pass(daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "to")], rapid.Bool().Draw(t, "answered"))
			case "kill":
				daemons[one], isKilled = start(), true
			}
		}
		holder := start()
		expected := make(map[countKey]uint64)
		for _, d := range daemons {
			d.pass(holder, true)
			for key, requests := range d.holds {
				expected[key] = max(expected[key], requests)
			}
		}
		for window := int64(1); window <= 3; window++ {
			want := make(map[string]uint64)
			for key, requests := range expected {
				if key.window == window {
					want[key.account] += requests
				}
			}
			got := holder.ledger.Totals(window)
			if !maps.Equal(got, want) {
				t.Fatalf("window %d: got %v, want %v", window, got, want)
			}
			for account, requests := range truth[window] {
				if got[account] > requests || !isKilled && got[account] != requests {
					t.Fatalf("window %d: %s has %d requests, in truth %d", window, account, got[account], requests)
				}
			}
		}
	})
}

// TestMissing guards against a window that is reported as complete while a daemon may
// still count in it.
func TestMissing(t *testing.T) {
	ledger := NewLedger(0)
	ledger.Complete("one", 7)
	ledger.Merge(Changes{CompleteThrough: map[string]int64{"two": 6, "one": 5}})
	for window, want := range map[int64]string{6: "[three]", 7: "[three two]", 8: "[one three two]"} {
		if got := fmt.Sprint(ledger.Missing(window, []string{"one", "two", "three"})); got != want {
			t.Errorf("window %d: got %s missing, want %s", window, got, want)
		}
	}
}

// TestForget guards against a memory that grows, and against a forgotten window that comes
// back from another daemon.
func TestForget(t *testing.T) {
	ledger := NewLedger(0)
	ledger.Add(4, "one", "miny", 2)
	ledger.Add(5, "one", "miny", 3)
	ledger.Forget(5)
	ledger.Merge(Changes{Counts: []Counts{{Window: 4, Incarnation: "two", Requests: map[string]uint64{"miny": 1}}}})
	if ledger.Knows(4) || len(ledger.Totals(4)) != 0 || ledger.Totals(5)["miny"] != 3 {
		t.Errorf("got %v and %v, want nothing and 3", ledger.Totals(4), ledger.Totals(5))
	}
}

// TestCollector guards against daemons of one failure domain that choose different
// collectors, and against a collector that does not answer.
func TestCollector(t *testing.T) {
	vms := []VM{{"a1", "a", 0.2}, {"a2", "a", 0.8}, {"a3", "a", 0.8}, {"b1", "b", 1}}
	unusable := make(map[string]bool)
	isUsable := func(name string) bool { return !unusable[name] }
	for _, want := range []string{"a2", "a3", "a1", ""} {
		if got, _ := Collector(vms, "a", isUsable); got != want {
			t.Errorf("got the collector %q, want %q", got, want)
		}
		unusable[want] = true
	}
}
