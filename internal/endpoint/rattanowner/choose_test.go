package rattanowner

import (
	"fmt"
	"slices"
	"testing"

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
