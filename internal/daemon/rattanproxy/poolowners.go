package rattanproxy

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/limit/rattanquota"
)

// A poolOwner is a VM that owns a pool of an account.
type poolOwner struct {
	vm, address string
}

// poolOwners holds the owners of the accounts' pools for one snapshot of the store.
// The caller serializes the calls.
type poolOwners struct {
	// vm is the name of this daemon's VM.
	vm string
	// window is the time over which the accounts' limits count.
	window   time.Duration
	snapshot *rattancache.Snapshot
	// vms are the registered VMs. When this daemon's lease and those of most others have
	// ended, as in an outage of the store, they are those that were registered before.
	vms     map[string]rattancache.VMRecord
	domains map[string]string
	// since is when the VMs or their failure domains last changed, so that another VM may
	// have become an owner.
	since time.Time
	// unregistered is the total time for which this daemon was not registered, as of the
	// last call of recordUnregistered.
	unregistered time.Duration
	byAccount    map[string][]string
}

func (o *poolOwners) update(snapshot *rattancache.Snapshot, now time.Time) {
	if o.snapshot == snapshot {
		return
	}
	o.snapshot = snapshot
	o.byAccount = make(map[string][]string)
	if o.vms != nil && len(snapshot.VMs) == 0 || o.haveMostLeasesEnded(snapshot) {
		return
	}
	o.vms = snapshot.VMs
	domains := make(map[string]string, len(o.vms))
	for name, vm := range o.vms {
		domains[name] = vm.FailureDomain
	}
	if !maps.Equal(domains, o.domains) {
		o.domains, o.since = domains, now
	}
}

// recordUnregistered records the total time for which this daemon was not registered. While
// it was not, another VM may have been an owner without this daemon's knowledge.
func (o *poolOwners) recordUnregistered(total time.Duration, now time.Time) {
	if total != o.unregistered {
		o.unregistered, o.since = total, now
	}
}

// haveMostLeasesEnded reports whether a snapshot lacks this daemon and more than half of
// the VMs that were registered before. Those that it has may be just the last whose
// leases end.
func (o *poolOwners) haveMostLeasesEnded(snapshot *rattancache.Snapshot) bool {
	if _, wasRegistered := o.vms[o.vm]; !wasRegistered {
		return false
	}
	if _, isRegistered := snapshot.VMs[o.vm]; isRegistered {
		return false
	}
	left := 0
	for name := range o.vms {
		if _, ok := snapshot.VMs[name]; ok {
			left++
		}
	}
	return 2*left < len(o.vms)
}

// of returns the VMs that own an account's pools.
func (o *poolOwners) of(account rattancatalog.Account, snapshot *rattancache.Snapshot, now time.Time) []string {
	o.update(snapshot, now)
	owners, ok := o.byAccount[account.Name]
	if !ok {
		count := rattanquota.PoolCount(account.Rate*o.window.Seconds() + account.Burst)
		owners = rattanquota.PoolOwners(account.Name, o.domains, count)
		o.byAccount[account.Name] = owners
	}
	return owners
}

// nearestFirst returns the owners of an account's pools, those in a failure domain
// first.
func (o *poolOwners) nearestFirst(account rattancatalog.Account, snapshot *rattancache.Snapshot, domain string, now time.Time) []poolOwner {
	var near, far []poolOwner
	for _, vm := range o.of(account, snapshot, now) {
		owner := poolOwner{vm: vm, address: o.vms[vm].Address}
		if o.domains[vm] == domain {
			near = append(near, owner)
		} else {
			far = append(far, owner)
		}
	}
	return slices.Concat(near, far)
}
