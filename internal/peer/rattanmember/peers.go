package rattanmember

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
)

// LivePeers returns the live daemons without this one, in the order of their
// failure domains and VM names.
func (r *Registry) LivePeers() []rattangossip.Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	peers := make([]rattangossip.Peer, 0, len(r.daemons))
	for _, name := range r.domainNames() {
		domain := r.domains[name]
		domain.rebuild(r.daemons)
		for _, d := range domain.members {
			if d.identity.VM != r.self.VM && r.live(d, now) {
				peers = append(peers, d.peer())
			}
		}
	}
	return peers
}

// UnreachablePeers returns the known daemons that are neither live nor leaving,
// and the seeds at which no known daemon listens.
func (r *Registry) UnreachablePeers() []rattangossip.Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	known := map[string]bool{r.self.Addresses.Peer: true}
	var peers []rattangossip.Peer
	for vm, d := range r.daemons {
		if vm == r.self.VM {
			continue
		}
		known[d.identity.Addresses.Peer] = true
		if !r.live(d, now) && d.state != Leaving {
			peers = append(peers, d.peer())
		}
	}
	for _, seed := range r.seeds {
		if !known[seed] {
			peers = append(peers, rattangossip.Peer{Address: seed})
		}
	}
	slices.SortFunc(peers, func(a, b rattangossip.Peer) int {
		return cmp.Or(strings.Compare(a.VM, b.VM), strings.Compare(a.Address, b.Address))
	})
	return peers
}

// Seeds returns the seed addresses; see WithSeeds.
func (r *Registry) Seeds() []string {
	return r.seeds
}

func (d *daemon) peer() rattangossip.Peer {
	return rattangossip.Peer{
		VM:            d.identity.VM,
		Incarnation:   d.identity.Incarnation,
		FailureDomain: d.identity.FailureDomain,
		Address:       d.identity.Addresses.Peer,
	}
}
