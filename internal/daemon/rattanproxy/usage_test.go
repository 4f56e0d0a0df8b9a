package rattanproxy_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
)

const (
	usageSettings = "usage_window = 1s\nusage_delay = 5s\nusage_handover = 1s\n"
	// usageTolerance is the usage_tolerance of the users' site.
	usageTolerance = 0.05
	// usageKey is the store's key of the record of usage.
	usageKey = "rattanstream/usage"
)

// unsentUsage returns the reports that the store holds as not yet sent, by window.
func (f *fleet) unsentUsage() map[int64]map[string]uint64 {
	value, _ := f.store.Value(usageKey)
	var record struct {
		Unsent []struct {
			Window int64             `json:"window"`
			Counts map[string]uint64 `json:"counts"`
		} `json:"unsent"`
	}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			f.t.Fatal(err)
		}
	}
	unsent := make(map[int64]map[string]uint64)
	for _, report := range record.Unsent {
		unsent[report.Window] = report.Counts
	}
	return unsent
}

// leader returns the VM of the failover leader.
func (f *fleet) leader() string {
	value, _ := f.store.Value("rattanstream/duty")
	var record struct {
		VM string `json:"vm"`
	}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			f.t.Fatal(err)
		}
	}
	return record.VM
}

// assertReports checks what the platform has accepted: one content for each window and
// tokens that do not fall. It returns the reports by window.
func (f *fleet) assertReports() map[int64]map[string]uint64 {
	f.t.Helper()
	accepted := make(map[int64]map[string]uint64)
	token := int64(0)
	for _, report := range f.store.UsageReports() {
		if before, ok := accepted[report.Window]; ok && !maps.Equal(before, report.Counts) {
			f.t.Errorf("window %d is reported as %v after %v", report.Window, report.Counts, before)
		}
		if report.Token < token {
			f.t.Errorf("window %d has the token %d after %d", report.Window, report.Token, token)
		}
		accepted[report.Window], token = report.Counts, report.Token
	}
	return accepted
}

// usageSum returns the requests of all windows.
func usageSum(reports map[int64]map[string]uint64) int {
	sum := 0
	for _, counts := range reports {
		for _, requests := range counts {
			sum += int(requests)
		}
	}
	return sum
}

// queryMany runs pairs of a write and a read, and returns how many statements ran.
func (c *testCaller) queryMany(pairs int) int {
	c.t.Helper()
	ran := 0
	for n := range pairs {
		for _, text := range []string{fmt.Sprintf("WRITE u%d data", n), "READ u1"} {
			if answer := c.query(text); !strings.HasPrefix(answer, "ERROR") {
				ran++
			}
		}
	}
	return ran
}

// TestUsageHandover guards against a report that differs from an earlier one or is never
// sent when the holder of the duty is gone between the record in the store and the call
// of the platform, and against one that counts forwarded requests twice.
func TestUsageHandover(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 4, usageSettings)
	ran := 0
	for _, daemon := range f.daemons {
		caller := f.dial(daemon, "checkout", testKey)
		caller.retryUntilOK("WRITE u0 first", waitBound)
		ran += 1 + caller.queryMany(20)
	}
	f.store.SetUsageMode(rattankvserver.UsageRefused)
	other := f.daemons[0]
	if other.name == f.leader() {
		other = f.daemons[1]
	}
	// A window with requests is recorded, and the platform refuses its report.
	ran += f.dial(other, "checkout", testKey).queryMany(50)
	f.await("a window is recorded and not sent", func() bool { return usageSum(f.unsentUsage()) > 0 })
	recorded, holder := f.unsentUsage(), f.leader()
	f.store.Refuse(holder, true)
	f.await("another daemon holds the duty", func() bool { return f.leader() != "" && f.leader() != holder })
	f.store.SetUsageMode(rattankvserver.UsageAnswerLost)
	f.await("a report is accepted and its answer lost", func() bool { return len(f.store.UsageReports()) > 0 })
	f.store.SetUsageMode(rattankvserver.UsageAccepted)
	f.await("all requests are reported", func() bool {
		return float64(usageSum(f.assertReports())) >= (1-usageTolerance)*float64(ran)
	})
	accepted := f.assertReports()
	for window, counts := range recorded {
		if !maps.Equal(accepted[window], counts) {
			t.Errorf("window %d: recorded as %v, reported as %v", window, counts, accepted[window])
		}
	}
	if sum := usageSum(accepted); float64(sum) > (1+usageTolerance)*float64(ran) {
		t.Errorf("%d requests are reported, %d ran", sum, ran)
	}
}

// TestUsageOff guards against a deployment without usage reports that sends some.
func TestUsageOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 data", waitBound)
	time.Sleep(settleTime)
	if _, ok := f.store.Value(usageKey); ok || len(f.store.UsageReports()) > 0 {
		t.Error("usage is recorded or reported")
	}
}
