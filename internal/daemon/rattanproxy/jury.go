package rattanproxy

import (
	"slices"
	"sync"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

// juries holds the juries of the endpoints for one snapshot of the store. It is safe
// for concurrent use.
type juries struct {
	proxy *Proxy

	mu sync.Mutex
	// snapshot and removed are what vms was computed from.
	snapshot   *rattancache.Snapshot
	removed    int
	vms        []string
	byEndpoint map[string][]string
}

// of returns the VMs whose daemons decide whether an endpoint is lost. VMs that have
// lost their registration a short while ago count as well: the few that still reach
// the store during a partition may be the ones that cannot reach the primary.
func (j *juries) of(snapshot *rattancache.Snapshot, endpoint string) []string {
	removed := j.proxy.cache.RemovedSince(j.proxy.boot.Now().Add(-recentDaemonWindow))
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.snapshot != snapshot || j.removed != len(removed) {
		j.snapshot, j.removed = snapshot, len(removed)
		j.vms = removed
		for name := range snapshot.VMs {
			j.vms = append(j.vms, name)
		}
		j.byEndpoint = make(map[string][]string)
	}
	jury, ok := j.byEndpoint[endpoint]
	if !ok {
		jury = rattanswitchover.Jury(endpoint, j.vms)
		j.byEndpoint[endpoint] = jury
	}
	return jury
}

// isJuror reports whether this daemon is on the jury of an endpoint.
func (j *juries) isJuror(snapshot *rattancache.Snapshot, endpoint string) bool {
	return slices.Contains(j.of(snapshot, endpoint), j.proxy.settings.VM())
}

// mayReport reports whether this daemon reports that an endpoint does not answer: as a
// juror, or as the owner of its connections, who notices first.
func (j *juries) mayReport(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) bool {
	owner, ok := j.proxy.owners.owner(snapshot, endpoint)
	return ok && owner == j.proxy.settings.VM() || j.isJuror(snapshot, endpoint.ID)
}
