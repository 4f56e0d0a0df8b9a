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
	usageSettings = "usage_window = 1s\nusage_delay = 5s\nusage_handover = 3s\n"
	// usageTolerance is the usage_tolerance of the users' site.
	usageTolerance = 0.05
	// usageLease is the lease_ms of the users' site: within it no two daemons may report by
	// turns.
	usageLease = 3 * time.Second
	// turnRounds is how often a test lets the leader's lease expire to see the duty move.
	turnRounds = 8
	// usageKey is the store's key of the record of usage.
	usageKey = "rattanstream/usage"
	// leaderKey is the store's key of the failover leader.
	leaderKey = "rattanstream/duty"
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

// leader returns the VM of the failover leader with its fencing token, 0 for none.
func (f *fleet) leader() (vm string, token int64) {
	value, _ := f.store.Value(leaderKey)
	var record struct {
		VM    string `json:"vm"`
		Token int64  `json:"token"`
	}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			f.t.Fatal(err)
		}
	}
	return record.VM, record.Token
}

// awaitLeader waits for a failover leader with a higher token, and returns its VM.
func (f *fleet) awaitLeader(token int64) string {
	f.t.Helper()
	f.await("another failover leader", func() bool {
		_, next := f.leader()
		return next > token
	})
	vm, _ := f.leader()
	return vm
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

// assertNoTurns checks that no daemon reports again within usageLease when another one has
// reported in between.
func (f *fleet) assertNoTurns() {
	f.t.Helper()
	last, other := make(map[string]time.Time), make(map[string]bool)
	for _, report := range f.store.UsageReports() {
		vm, _, _ := strings.Cut(report.Holder, "/")
		if since := report.At.Sub(last[vm]); other[vm] && since < usageLease {
			f.t.Errorf("%s reports %s after its last report, with another daemon in between", vm, since)
		}
		for name := range last {
			other[name] = true
		}
		last[vm], other[vm] = report.At, false
	}
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
	// Windows that end before the first leader has read the store are not reported.
	f.await("the first report", func() bool { return len(f.store.UsageReports()) > 0 })
	ran := 0
	for _, daemon := range f.daemons {
		caller := f.dial(daemon, "checkout", testKey)
		caller.retryUntilOK("WRITE u0 first", waitBound)
		ran += 1 + caller.queryMany(20)
	}
	f.store.SetUsageMode(rattankvserver.UsageRefused)
	other := f.daemons[0]
	if vm, _ := f.leader(); vm == other.name {
		other = f.daemons[1]
	}
	// A window with requests is recorded, and the platform refuses its report.
	ran += f.dial(other, "checkout", testKey).queryMany(50)
	f.await("a window is recorded and not sent", func() bool { return usageSum(f.unsentUsage()) > 0 })
	recorded := f.unsentUsage()
	holder, token := f.leader()
	f.store.Refuse(holder, true)
	f.awaitLeader(token)
	reports := len(f.store.UsageReports())
	f.store.SetUsageMode(rattankvserver.UsageAnswerLost)
	f.await("a report is accepted and its answer lost", func() bool { return len(f.store.UsageReports()) > reports })
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

// TestUsageTurns guards against daemons that report by turns, and against a window that is
// lost when the duty moves back and forth.
func TestUsageTurns(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 2, usageSettings)
	caller := f.dial(f.daemons[0], "browse", testKey)
	f.await("the first report", func() bool { return len(f.store.UsageReports()) > 0 })
	turns := 0
	for rounds := 0; turns < 2; rounds++ {
		if rounds == turnRounds {
			t.Fatalf("the duty moved only %d times", turns)
		}
		holder, token := f.leader()
		reports := len(f.store.UsageReports())
		f.store.Expire(leaderKey)
		// The same daemon may take the duty again.
		if f.awaitLeader(token) != holder {
			turns++
		}
		caller.query("READ i1")
		f.await("a report", func() bool { return len(f.store.UsageReports()) > reports })
	}
	f.assertNoTurns()
	accepted := f.assertReports()
	first := f.store.UsageReports()[0].Window
	for window := first; window < first+int64(len(accepted)); window++ {
		if _, ok := accepted[window]; !ok {
			t.Errorf("window %d of those from %d on is missing", window, first)
		}
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
