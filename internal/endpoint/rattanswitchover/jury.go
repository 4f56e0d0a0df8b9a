package rattanswitchover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// JurySize is the largest number of daemons that decide whether a primary is lost.
const JurySize = 15

// Jury returns the VMs whose daemons decide whether an endpoint is lost: all of a small
// fleet, else those with the highest hashes of VM name and endpoint id. In a large fleet,
// reports and probes by all daemons would load the store and the endpoint just when
// the endpoint fails.
func Jury(endpoint string, vms []string) []string {
	if len(vms) <= JurySize {
		return vms
	}
	type candidate struct {
		vm   string
		hash uint64
	}
	candidates := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		candidates = append(candidates, candidate{vm: vm, hash: xxhash.Sum64String(vm + "\x00" + endpoint)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.vm, b.vm))
	})
	jury := make([]string, 0, JurySize)
	for _, juror := range candidates[:JurySize] {
		jury = append(jury, juror.vm)
	}
	return jury
}
