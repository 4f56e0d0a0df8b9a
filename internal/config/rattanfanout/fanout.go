// Package rattanfanout decides which daemons watch the shared store and from which
// daemons the others get its changes. The store counts each watch as a call, so in a
// large fleet only a few daemons of each failure domain watch it, and the calls grow
// with the failure domains and not with the VMs.
package rattanfanout

import (
	"cmp"
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
)

const (
	// watchersPerDomain is the number of daemons of a failure domain that watch the
	// store. A second one replaces the first when that fails.
	watchersPerDomain = 2
	// minDomainSize is the number of daemons in a failure domain below which all of
	// them watch the store.
	minDomainSize = 4
	// watcherKey is the key by which watchers are chosen.
	watcherKey = "watcher"
)

// A VM is a registered VM.
type VM struct {
	FailureDomain string
	// ProcessorCores is the processor time that its daemon may use, in cores.
	ProcessorCores float64
}

// A Fleet is the set of registered VMs by their names.
type Fleet map[string]VM

// Watchers returns the VMs of a failure domain that watch the store: those with the most
// processor time, since each change goes from them to all others at once.
func (f Fleet) Watchers(domain string) []string {
	var vms []string
	for name, vm := range f {
		if vm.FailureDomain == domain {
			vms = append(vms, name)
		}
	}
	rattanrendezvous.Sort(vms, watcherKey, func(vm string) string { return vm })
	slices.SortStableFunc(vms, func(a, b string) int {
		return cmp.Compare(f[b].ProcessorCores, f[a].ProcessorCores)
	})
	if len(vms) >= minDomainSize {
		vms = vms[:watchersPerDomain]
	}
	return vms
}

// Count returns the number of daemons that watch the store.
func (f Fleet) Count() int {
	sizes := make(map[string]int)
	for _, vm := range f {
		sizes[vm.FailureDomain]++
	}
	count := 0
	for _, size := range sizes {
		if size >= minDomainSize {
			size = watchersPerDomain
		}
		count += size
	}
	return count
}

// Source returns the daemon from which a VM gets the changes of the store. It returns
// false when the VM watches the store itself: as one of its failure domain's watchers,
// or because it can use none of them. isUsable reports whether a watcher may be used.
func (f Fleet) Source(vm, domain string, isUsable func(watcher string) bool) (string, bool) {
	watchers := f.Watchers(domain)
	if slices.Contains(watchers, vm) {
		return "", false
	}
	// Half of the VMs begin with each watcher.
	first := int(rattanrendezvous.Weight(vm, watcherKey) % watchersPerDomain)
	for i := range watchers {
		watcher := watchers[(first+i)%len(watchers)]
		if isUsable(watcher) {
			return watcher, true
		}
	}
	return "", false
}
