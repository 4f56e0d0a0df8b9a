package rattancost

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

func assertNear(t *testing.T, name string, got, want, tolerance time.Duration) {
	t.Helper()
	if (got - want).Abs() > tolerance {
		t.Errorf("%s is %v, want %v within %v", name, got, want, tolerance)
	}
}

// TestKindsAreToldApart guards against one mean for a write and a lookup that takes five
// times as long, which refuses writes that could run and admits lookups that cannot.
func TestKindsAreToldApart(t *testing.T) {
	write := rattanwork.Kind{Route: "notices", Operation: rattanwork.Write}
	lookup := rattanwork.Kind{Route: "status", Operation: rattanwork.Read}
	costs := New()
	for i := range 200 {
		costs.Observe(write, 11*time.Millisecond)
		costs.Observe(lookup, time.Duration(45+i%2*20)*time.Millisecond)
	}
	assertNear(t, "write", costs.Of(write).Mean, 11*time.Millisecond, time.Millisecond)
	assertNear(t, "lookup", costs.Of(lookup).Mean, 55*time.Millisecond, 3*time.Millisecond)
	assertNear(t, "deviation of lookups", costs.Of(lookup).Deviation, 10*time.Millisecond, 2*time.Millisecond)
}

// TestCostBeforeFirstSample guards against a new owner that refuses or admits everything
// because it knows no cost yet.
func TestCostBeforeFirstSample(t *testing.T) {
	costs := New()
	unknown := rattanwork.Kind{Route: "new", Operation: rattanwork.Read}
	if cost := costs.Of(unknown); cost.Mean != assumedMean || cost.Deviation <= 0 {
		t.Errorf("cost %v before the first sample, want %v", cost, assumedMean)
	}
	costs.Observe(rattanwork.Kind{Route: "known", Operation: rattanwork.Read}, 40*time.Millisecond)
	assertNear(t, "unknown kind", costs.Of(unknown).Mean, 40*time.Millisecond, 0)
}

// TestSamplesAreBounded guards against a few requests without an answer that make a
// queue refuse all others.
func TestSamplesAreBounded(t *testing.T) {
	costs := New()
	costs.Observe(rattanwork.Kind{}, time.Hour)
	if mean := costs.Of(rattanwork.Kind{}).Mean; mean > maxSample {
		t.Errorf("mean %v after one request without an answer, want at most %v", mean, maxSample)
	}
}
