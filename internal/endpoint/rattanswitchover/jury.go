package rattanswitchover

import "github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"

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
	return rattanrendezvous.Top(vms, endpoint, JurySize)
}
