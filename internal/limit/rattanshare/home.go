package rattanshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxOwnersPerDomain is the largest number of daemons of a failure domain that hold
// home shares of one share.
const MaxOwnersPerDomain = 8

// rank returns the first limit names in rendezvous order for key: each name's
// place depends only on its own hash, so that a name that comes or goes moves no
// other.
func rank(key string, names []string, limit int) []string {
	type scored struct {
		name  string
		score uint64
	}
	compare := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	}
	first := make([]scored, 0, min(limit, len(names))+1)
	buffer := make([]byte, 0, 128)
	for _, name := range names {
		// The zero byte separates key and name.
		buffer = append(append(append(buffer[:0], key...), 0), name...)
		one := scored{name: name, score: xxhash.Sum64(buffer)}
		if len(first) == limit && compare(one, first[limit-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, one, compare)
		first = slices.Insert(first, i, one)
		first = first[:min(len(first), limit)]
	}
	ranked := make([]string, len(first))
	for i, s := range first {
		ranked[i] = s.name
	}
	return ranked
}

// Owners returns the VMs of roster that hold home shares of share, in the order
// in which they get the remainder of an uneven division.
func Owners(share string, roster Roster) []string {
	names := make([]string, len(roster.Members))
	for i, member := range roster.Members {
		names[i] = member.VM
	}
	return rank(share, names, MaxOwnersPerDomain)
}

// BaseShare returns the part of total that vm of domain holds, when domains are
// the configured failure domains and roster is that of domain. It is nothing
// when vm is not a home daemon of the share.
func BaseShare(share string, total Amount, domains []string, domain string, roster Roster, vm string) Amount {
	whole := isWhole(share)
	ofDomain := total.clamp().part(slices.Index(rank(share, domains, len(domains)), domain), len(domains), whole)
	homes := Owners(share, roster)
	return ofDomain.part(slices.Index(homes, vm), len(homes), whole)
}
