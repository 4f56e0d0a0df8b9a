package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanowner"
)

// rankedVMs is how many VMs are ranked for an endpoint: the owner and the one that stands
// in for it.
const rankedVMs = 2

// rankings hold the VMs for the endpoints' connections for one snapshot of the store. The
// caller serializes the calls.
type rankings struct {
	snapshot   *rattancache.Snapshot
	vms        []rattanowner.VM
	byEndpoint map[rankingKey][]string
}

type rankingKey struct {
	endpoint, failureDomain string
}

// of returns the VMs for the connections to an endpoint, the owner first.
func (r *rankings) of(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) []string {
	if r.snapshot != snapshot {
		r.snapshot = snapshot
		r.byEndpoint = make(map[rankingKey][]string)
		r.vms = make([]rattanowner.VM, 0, len(snapshot.VMs))
		for name, vm := range snapshot.VMs {
			if !vm.IsStopping {
				r.vms = append(r.vms, rattanowner.VM{Name: name, FailureDomain: vm.FailureDomain, ProcessorCores: vm.ProcessorCores})
			}
		}
	}
	key := rankingKey{endpoint.ID, endpoint.FailureDomain}
	ranked, ok := r.byEndpoint[key]
	if !ok {
		ranked = rattanowner.Rank(endpoint, r.vms, rankedVMs)
		r.byEndpoint[key] = ranked
	}
	return ranked
}
