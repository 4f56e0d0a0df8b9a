package rattanshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxOwnersPerDomain is the largest number of daemons of a failure domain that hold
// base shares of one share.
const MaxOwnersPerDomain = 8

// rank returns the first limit names in the order of rendezvous hashing for key. Each
// name is scored by its own hash only, so that adding or removing a name does not
// change the order of the others.
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
		candidate := scored{name: name, score: xxhash.Sum64(buffer)}
		if len(first) == limit && compare(candidate, first[limit-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, candidate, compare)
		first = slices.Insert(first, i, candidate)
		first = first[:min(len(first), limit)]
	}
	ranked := make([]string, len(first))
	for i, s := range first {
		ranked[i] = s.name
	}
	return ranked
}

// Owners returns the VMs of roster that hold base shares of share, in the order in
// which they get the remainder of an uneven division.
func Owners(share string, roster Roster) []string {
	names := make([]string, len(roster.Members))
	for i, member := range roster.Members {
		names[i] = member.VM
	}
	return rank(share, names, MaxOwnersPerDomain)
}

// BaseShare returns the part of total that vm of domain holds, when domains are the
// configured failure domains and roster is that of domain. It is zero when vm is not
// one of the owners of the share.
func BaseShare(share string, total Amount, domains []string, domain string, roster Roster, vm string) Amount {
	integral := isConcurrencyShare(share)
	ofDomain := total.clamp().part(slices.Index(rank(share, domains, len(domains)), domain), len(domains), integral)
	owners := Owners(share, roster)
	return ofDomain.part(slices.Index(owners, vm), len(owners), integral)
}
