package rattanowner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

func vmsOf(t *rapid.T) []VM {
	var vms []VM
	for i := range rapid.IntRange(2, 30).Draw(t, "vms") {
		vms = append(vms, VM{
			Name: fmt.Sprint("vm-", i), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			ProcessorCores: rapid.SampledFrom([]float64{0, 0.192, 0.464, 0.8}).Draw(t, "cores"),
		})
	}
	return vms
}

// TestRemovedVMMovesOnlyItsEndpoints guards against owners that change because another VM
// came or went: each change closes all connections of an endpoint.
func TestRemovedVMMovesOnlyItsEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmsOf(t)
		removed := rapid.IntRange(0, len(vms)-1).Draw(t, "removed")
		var rest []VM
		for i, vm := range vms {
			if i != removed {
				rest = append(rest, vm)
			}
		}
		isLastOfDomain := true
		for _, vm := range rest {
			isLastOfDomain = isLastOfDomain && vm.FailureDomain != vms[removed].FailureDomain
		}
		for i := range 40 {
			endpoint := rattancatalog.Endpoint{ID: fmt.Sprint("e", i), FailureDomain: "a"}
			before, _ := Choose(endpoint, vms)
			after, _ := Choose(endpoint, rest)
			if before != vms[removed].Name && before != after {
				t.Fatalf("without %s endpoint %s moves from %s to %s", vms[removed].Name, endpoint.ID, before, after)
			}
			if before == vms[removed].Name && !isLastOfDomain && after != Rank(endpoint, vms, 2)[1] {
				t.Fatalf("endpoint %s moves to %s, not to the VM that stood in for its owner", endpoint.ID, after)
			}
		}
	})
}

// TestOwnersByProcessorTime guards against a hot endpoint at a VM with a quarter of the
// processor time of its neighbours.
func TestOwnersByProcessorTime(t *testing.T) {
	vms := []VM{{Name: "small", ProcessorCores: 0.2}, {Name: "large-1", ProcessorCores: 0.8}, {Name: "large-2", ProcessorCores: 0.8}}
	owned := make(map[string]int)
	const endpoints = 9000
	for i := range endpoints {
		owner, _ := Choose(rattancatalog.Endpoint{ID: fmt.Sprint("e", i)}, vms)
		owned[owner]++
	}
	for _, vm := range vms {
		want := endpoints * vm.ProcessorCores / 1.8
		if got := float64(owned[vm.Name]); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s owns %g endpoints, want about %g", vm.Name, got, want)
		}
	}
}

// TestEqualVMsAreChosenByHash guards against owners that move with an update of the
// program, where all VMs have the same processor time.
func TestEqualVMsAreChosenByHash(t *testing.T) {
	vms := []VM{{Name: "vm-0"}, {Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	want := []string{"vm-2", "vm-3", "vm-2", "vm-3", "vm-3", "vm-2"}
	for i, owner := range want {
		if got, _ := Choose(rattancatalog.Endpoint{ID: fmt.Sprint("e", i)}, vms); got != owner {
			t.Errorf("endpoint e%d is owned by %s, want %s", i, got, owner)
		}
	}
}

// TestForward guards against each of many daemons opening connections of its own to an
// endpoint whose owner does not answer, and against statements sent in a circle.
func TestForward(t *testing.T) {
	tests := []struct {
		name, own string
		silent    []string
		want      string
	}{
		{"owner answers", "other", nil, "owner"},
		{"deputy stands in", "other", []string{"owner"}, "deputy"},
		{"nobody answers", "other", []string{"owner", "deputy"}, ""},
		{"the owner itself", "owner", nil, ""},
		{"the deputy forwards to the owner", "deputy", nil, "owner"},
		{"the deputy itself", "deputy", []string{"owner"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answers := func(vm string) bool { return !slices.Contains(test.silent, vm) }
			if got, ok := Forward([]string{"owner", "deputy"}, test.own, answers); got != test.want || ok != (test.want != "") {
				t.Errorf("forwarded to %q (%t), want %q", got, ok, test.want)
			}
		})
	}
}

// TestTenure guards against a new owner that opens connections while the endpoint still
// counts those of the former one, and against one that is held back for good.
func TestTenure(t *testing.T) {
	start := time.Unix(1000, 0)
	registered := func(vms ...string) func(string) bool {
		return func(vm string) bool {
			for _, name := range vms {
				if name == vm {
					return true
				}
			}
			return false
		}
	}
	tests := []struct {
		name         string
		isRegistered func(string) bool
		answers      bool
		after        time.Duration
		want         bool
	}{
		{"former owner dark", registered("new"), true, takeoverTime - time.Millisecond, false},
		{"former owner dropped", registered("new"), true, takeoverTime, true},
		{"former owner told", registered("new", "old"), true, handoverTime, true},
		{"former owner not yet told", registered("new", "old"), true, handoverTime - time.Millisecond, false},
		{"endpoint cut off", registered("new"), false, takeoverTime - time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tenures Tenures
			if tenures.Observe("e", "old", true, test.isRegistered, start) {
				t.Error("a daemon that has just started has all connections")
			}
			changed := start.Add(time.Minute)
			if !tenures.Observe("e", "old", true, test.isRegistered, changed) {
				t.Error("an old owner has not all connections")
			}
			tenures.Observe("e", "new", test.answers, test.isRegistered, changed)
			if got := tenures.Observe("e", "new", test.answers, test.isRegistered, changed.Add(test.after)); got != test.want {
				t.Errorf("settled: %t, want %t", got, test.want)
			}
		})
	}
}

// TestSettledByEndpoint guards against a new owner that waits for connections of a former
// one which was killed: the endpoint has dropped them and says so. It guards too against
// an answer for an owner that has changed meanwhile.
func TestSettledByEndpoint(t *testing.T) {
	budget := ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 86}
	own := budget.TakeoverConnections()
	for counted, want := range map[int]bool{own + budget.OwnerConnections(): false, own + 1: true, -1: false} {
		if got := budget.HasDropped(counted, own); got != want {
			t.Errorf("the endpoint counts %d, %d of them own: dropped %t, want %t", counted, own, got, want)
		}
	}
	now := time.Unix(1000, 0)
	none := func(string) bool { return false }
	var tenures Tenures
	tenures.Observe("e", "new", true, none, now)
	tenures.Settle("e", "old", now)
	if tenures.Observe("e", "new", true, none, now) {
		t.Error("settled by an answer for another owner")
	}
	tenures.Settle("e", "new", now)
	if !tenures.Observe("e", "new", true, none, now) {
		t.Error("not settled although the endpoint has dropped the former owner's connections")
	}
}

// TestCutEndpointIsNotSettled guards against a new owner with all connections in the
// moment in which a failure domain is back, with the former owner and its connections.
func TestCutEndpointIsNotSettled(t *testing.T) {
	var tenures Tenures
	start := time.Unix(1000, 0)
	none := func(string) bool { return false }
	tenures.Observe("e", "old", true, none, start.Add(-time.Minute))
	for after := time.Duration(0); after < 10*time.Second; after += 200 * time.Millisecond {
		if tenures.Observe("e", "new", false, none, start.Add(after)) {
			t.Fatalf("settled after %s although the endpoint does not answer", after)
		}
	}
	if tenures.Observe("e", "new", true, none, start.Add(10*time.Second)) {
		t.Error("settled in the moment in which the endpoint answers again")
	}
}

// TestScarceBudget guards against connections over an endpoint's limit when a new owner
// opens its own while the endpoint still counts all of the former owner's, and against a
// budget that changes where there is a connection for each account. The limits are those
// of the users' sites.
func TestScarceBudget(t *testing.T) {
	for _, site := range []ConnectionBudget{{MaxConnections: 72, Slots: 6, Accounts: 86}, {MaxConnections: 82, Slots: 5, Accounts: 87}, {MaxConnections: 40, Slots: 3, Accounts: 88}, {MaxConnections: 21, Slots: 3, Accounts: 8}} {
		if sum := site.OwnerConnections() + site.TakeoverConnections() + site.FallbackConnections(); sum > site.MaxConnections {
			t.Errorf("%d connections of an endpoint that accepts %d", sum, site.MaxConnections)
		}
		if site.OwnerConnections() < 3*site.InFlight() {
			t.Errorf("the owner has %d of %d connections, %d statements in flight", site.OwnerConnections(), site.MaxConnections, site.InFlight())
		}
		if site.Idle() != site.OwnerConnections() {
			t.Errorf("%d idle connections of %d", site.Idle(), site.OwnerConnections())
		}
	}
	ample := ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 25}
	if ample.OwnerConnections() != 52 || ample.Idle() != 25 {
		t.Errorf("with a connection for each account the owner has %d connections and keeps %d idle, want 52 and 25", ample.OwnerConnections(), ample.Idle())
	}
}

// TestPreferredMovesFewAccounts guards against accounts that change their replica, and
// with it their connections, because another replica came or went.
func TestPreferredMovesFewAccounts(t *testing.T) {
	chosen := make(map[string]int)
	for i := range 300 {
		account := fmt.Sprint("account-", i)
		all := Preferred(account, []string{"e1", "e2", "e3"})
		if rest := Preferred(account, []string{"e2", "e1"}); all != "e3" && rest != all {
			t.Errorf("%s moves from %s to %s without e3", account, all, rest)
		}
		chosen[all]++
	}
	for id, count := range chosen {
		if count < 60 || count > 140 {
			t.Errorf("%s is preferred by %d of 300 accounts", id, count)
		}
	}
	if got := Preferred("account", nil); got != "" {
		t.Errorf("%q is preferred of no endpoints", got)
	}
}
