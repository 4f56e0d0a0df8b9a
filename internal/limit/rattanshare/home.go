package rattanshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomeDaemons is the largest number of daemons of a failure domain that hold
// home shares of one share.
const HomeDaemons = 8

// rank returns names in rendezvous order for key: each name's place depends only
// on its own hash, so that a name that comes or goes moves no other.
func rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	order := make([]scored, 0, len(names))
	digest := xxhash.New()
	for _, name := range names {
		digest.Reset()
		// Writing to a digest does not fail. The zero byte separates key and name.
		_, _ = digest.WriteString(key)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(name)
		order = append(order, scored{name: name, score: digest.Sum64()})
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(order))
	for i, s := range order {
		ranked[i] = s.name
	}
	return ranked
}

// Homes returns the VMs of roster that hold home shares of share, in the order
// in which they get the remainder of an uneven division.
func Homes(share string, roster Roster) []string {
	names := make([]string, len(roster.Members))
	for i, member := range roster.Members {
		names[i] = member.VM
	}
	ranked := rank(share, names)
	return ranked[:min(len(ranked), HomeDaemons)]
}

// HomeShare returns the part of total that vm of domain holds, when domains are
// the configured failure domains and roster is that of domain. It is nothing
// when vm is not a home daemon of the share.
func HomeShare(share string, total Amount, domains []string, domain string, roster Roster, vm string) Amount {
	whole := isWhole(share)
	ofDomain := total.clamp().part(slices.Index(rank(share, domains), domain), len(domains), whole)
	homes := Homes(share, roster)
	return ofDomain.part(slices.Index(homes, vm), len(homes), whole)
}
