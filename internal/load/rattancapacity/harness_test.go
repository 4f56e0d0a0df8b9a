package rattancapacity

import (
	"math"
	"testing"
	"time"
)

// shortPlan measures just long enough to show that the measurements work.
var shortPlan = Plan{Window: 300 * time.Millisecond, Windows: 1}

func assertPositive(t *testing.T, figures Figures, names ...string) {
	t.Helper()
	for _, name := range names {
		if value, ok := figures[name]; !ok || !(value > 0) || math.IsInf(value, 0) {
			t.Errorf("%s is %v, want a positive number", name, value)
		}
	}
}

// TestMeasureControl guards against counters that miss the traffic, and against events
// that have no effect.
func TestMeasureControl(t *testing.T) {
	control, err := MeasureControl(t.Context(), Size{Daemons: 4, Domains: 3, Groups: 1, Accounts: 2}, shortPlan)
	if err != nil {
		t.Fatal(err)
	}
	if len(control.Idle) != 1 || len(control.Used) != 1 {
		t.Fatalf("%d idle and %d used windows, want 1 of each", len(control.Idle), len(control.Used))
	}
	assertPositive(t, control.Idle[0], figurePeerBytes, figureStandinBytes, figureStatus, figureHeap, figureStack, figureGoroutine)
	assertPositive(t, control.Events, figureStartTime, figureStartReads, figureStartWrites, figureStartPeerBytes,
		"change_platform_writes", "restart_platform_writes")
}

// TestMeasureRequests guards against refused requests that are counted as served.
func TestMeasureRequests(t *testing.T) {
	requests, err := MeasureRequests(t.Context(), []int{2}, shortPlan)
	if err != nil {
		t.Fatal(err)
	}
	if len(requests) != 3 {
		t.Fatalf("%d kinds of request, want 3", len(requests))
	}
	for _, request := range requests {
		assertPositive(t, request.Runs[0], figureRate, figureAllocs, figureProcessCPU)
	}
}

// TestMeasureConnections guards against connections that close before they are measured.
func TestMeasureConnections(t *testing.T) {
	const busy = 5
	runs, err := MeasureConnections(t.Context(), 50, busy, shortPlan)
	if err != nil {
		t.Fatal(err)
	}
	if runs[0][figureBusy] != busy {
		t.Errorf("%v requests wait in the daemon, want %d", runs[0][figureBusy], busy)
	}
}

// TestMeasureParts guards against measured parts of the control work that do nothing,
// such as a list of daemons of which none is live.
func TestMeasureParts(t *testing.T) {
	size := Size{Daemons: 20, Domains: 4, Groups: 5, Accounts: 10}
	assertPositive(t, MeasureMonitors(size, time.Millisecond), figureMonitors)
	assertPositive(t, MeasureMembership(size, time.Millisecond), figureVector)
	settings, err := MeasureSettings(size, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if settings[figureInstances] != 15 {
		t.Errorf("%v endpoints in the settings, want 15", settings[figureInstances])
	}
	pools, err := MeasureConnectionShares(Size{Daemons: 20, Domains: 4, Groups: 4}, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if pools[figureInstances] != 12 {
		t.Errorf("%v endpoints have a pool, want 12", pools[figureInstances])
	}
}

// TestSamplesByLabel guards against a profile reader that loses the samples' labels.
func TestSamplesByLabel(t *testing.T) {
	for {
		cpu, err := startCPU()
		if err != nil {
			t.Fatal(err)
		}
		_ = withRole(roleCaller, func() error {
			meanCPUTime(100*time.Millisecond, func() { settingsText(baseSize, 0) })
			return nil
		})
		used, err := cpu.stop()
		if err != nil {
			t.Fatal(err)
		}
		if used[roleCaller] > 0 {
			return // a busy machine may take no sample in one window
		}
	}
}

// TestFit guards against wrong slopes and medians, from which docs/CAPACITY.md would be
// derived.
func TestFit(t *testing.T) {
	series := Series{At: []float64{1, 2, 4}, Runs: [][]Figures{{{"a": 5}, {"a": 1}}, {{"a": 7}, {"a": 1}}, {{"a": 11}, {"a": 1}}}}
	slopes, intercepts := series.slopes()
	if got, want := slopes["a"], (Spread{Runs: 2, Median: 1, Low: 0, High: 2}); got != want {
		t.Errorf("slope %+v, want %+v", got, want)
	}
	if got, want := intercepts["a"], (Spread{Runs: 2, Median: 2, Low: 1, High: 3}); got != want {
		t.Errorf("value at 0 %+v, want %+v", got, want)
	}
	if got, want := spreadOf([]float64{9, 1, 2}), (Spread{Runs: 3, Median: 2, Low: 1, High: 9}); got != want {
		t.Errorf("spread %+v, want %+v", got, want)
	}
}
