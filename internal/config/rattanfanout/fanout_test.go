package rattanfanout

import (
	"fmt"
	"slices"
	"testing"
)

func newFleet(sizes ...int) Fleet {
	fleet := make(Fleet)
	for domain, size := range sizes {
		for i := range size {
			fleet[fmt.Sprintf("vm-%d-%d", domain, i)] = VM{FailureDomain: fmt.Sprint(domain), ProcessorCores: 0.2}
		}
	}
	return fleet
}

func usable(string) bool { return true }

// TestWatchersDoNotGrowWithTheFleet guards against store calls in proportion to the
// VMs: 295 daemons that watched the store cost a quarter of a day's worth.
func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, test := range []struct {
		name  string
		fleet Fleet
		want  int
	}{
		{"small", newFleet(3, 2, 2), 7},
		{"one failure domain is large", newFleet(3, 9, 2), 7},
		{"91 VMs", newFleet(30, 30, 31), 6},
		{"295 VMs", newFleet(62, 55, 58, 63, 57), 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			direct := 0
			for name, vm := range test.fleet {
				if _, ok := test.fleet.Source(name, vm.FailureDomain, usable); !ok {
					direct++
				}
			}
			if direct != test.want || test.fleet.Count() != test.want {
				t.Errorf("%d daemons watch the store and Count is %d, want %d", direct, test.fleet.Count(), test.want)
			}
		})
	}
}

// TestSource guards against a daemon that gets changes from another failure domain,
// from itself, or from one that cannot be used, and against watchers of which one has
// all the work.
func TestSource(t *testing.T) {
	fleet := newFleet(62, 55)
	load := make(map[string]int)
	for vm, record := range fleet {
		domain := record.FailureDomain
		source, ok := fleet.Source(vm, domain, usable)
		if !ok {
			continue
		}
		if source == vm || fleet[source].FailureDomain != domain || !slices.Contains(fleet.Watchers(domain), source) {
			t.Fatalf("%s gets changes from %s", vm, source)
		}
		load[source]++
		other, ok := fleet.Source(vm, domain, func(watcher string) bool { return watcher != source })
		if !ok || other == source {
			t.Fatalf("%s has no second source", vm)
		}
		if _, ok := fleet.Source(vm, domain, func(string) bool { return false }); ok {
			t.Fatalf("%s has a source although none can be used", vm)
		}
	}
	for source, count := range load {
		if count > 40 {
			t.Errorf("%s serves %d of 115 daemons", source, count)
		}
	}
}

// TestLargeVMsWatch guards against watchers with little processor time: on VMs of 0.19
// cores they did not answer for a second after a change of the configuration.
func TestLargeVMsWatch(t *testing.T) {
	fleet := newFleet(59)
	want := []string{"vm-0-17", "vm-0-40"}
	for _, vm := range want {
		fleet[vm] = VM{FailureDomain: "0", ProcessorCores: 0.8}
	}
	watchers := fleet.Watchers("0")
	slices.Sort(watchers)
	if !slices.Equal(watchers, want) {
		t.Errorf("the watchers are %q, want the largest VMs %q", watchers, want)
	}
}
