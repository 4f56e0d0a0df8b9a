package rattanmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
)

// WatchersPerDomain is the number of daemons of each failure domain that watch a
// key prefix of the shared store. The others get the changes by gossip.
const WatchersPerDomain = 2

// Watchers returns the daemons that hold the watch called name: in each failure
// domain the perDomain live ones with the highest rendezvous hash. Daemons that see
// the same daemons live choose the same watchers.
func (r *Registry) Watchers(name string, perDomain int) []Member {
	var watchers []Member
	byDomain := r.LiveByDomain()
	for _, members := range byDomain {
		watchers = append(watchers, TopRendezvous(name, members, perDomain)...)
	}
	slices.SortFunc(watchers, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return watchers
}

// IsWatcher reports whether this daemon is one of name's Watchers.
func (r *Registry) IsWatcher(name string, perDomain int) bool {
	own := TopRendezvous(name, r.LiveByDomain()[r.self.FailureDomain], perDomain)
	return slices.ContainsFunc(own, func(m Member) bool { return m.VM == r.self.VM })
}

// TopRendezvous returns up to count members with the highest rendezvous hash for
// name, highest first. The hash covers the VM and not the incarnation, so that a
// restart does not change the choice.
func TopRendezvous(name string, members []Member, count int) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(name, b.VM), rank(name, a.VM)), strings.Compare(a.VM, b.VM))
	})
	return ranked[:min(count, len(ranked))]
}

// rank returns the rendezvous hash of a VM for name.
func rank(name, vm string) uint64 {
	buffer := binary.AppendUvarint(nil, uint64(len(name)))
	buffer = append(buffer, name...)
	return xxhash.Sum64(append(buffer, vm...))
}

// A Confirmation says which live daemons have a revision in force.
type Confirmation struct {
	Confirmed []string
	Missing   []string
	// Domains are the failure domains with a daemon among Confirmed.
	Domains []string
}

// Confirmed returns which live daemons have all settings up to revision in force,
// in the order of their VM names.
func (r *Registry) Confirmed(revision uint64) Confirmation {
	var c Confirmation
	for _, m := range r.Live() {
		if m.Revisions.Settings < revision {
			c.Missing = append(c.Missing, m.VM)
			continue
		}
		c.Confirmed = append(c.Confirmed, m.VM)
		if !slices.Contains(c.Domains, m.FailureDomain) {
			c.Domains = append(c.Domains, m.FailureDomain)
		}
	}
	return c
}

// IsMajority reports whether domains has more than half of the failure domains in
// all.
func IsMajority(domains, all []string) bool {
	count := 0
	for _, name := range all {
		if slices.Contains(domains, name) {
			count++
		}
	}
	return count > len(all)/2
}

// ObserveExchange records the failure domain of a peer that has answered; see
// rattangossip.WithExchangeObserver.
func (r *Registry) ObserveExchange(result rattangossip.ExchangeResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if old, ok := r.answeredAt[result.FailureDomain]; !ok || result.SentAt.After(old) {
		r.answeredAt[result.FailureDomain] = result.SentAt
	}
}

// ReachableDomains returns the failure domains of which a daemon has answered a
// request that was sent within the given time. This daemon's own failure domain
// is always among them.
func (r *Registry) ReachableDomains(within time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	reachable := []string{r.self.FailureDomain}
	for name, sent := range r.answeredAt {
		if name != r.self.FailureDomain && rattanclock.Elapsed(sent, now) <= within {
			reachable = append(reachable, name)
		}
	}
	slices.Sort(reachable)
	return reachable
}

// MajorityReachable reports whether ReachableDomains has more than half of all,
// the configured failure domains.
func (r *Registry) MajorityReachable(all []string, within time.Duration) bool {
	return IsMajority(r.ReachableDomains(within), all)
}
