// Package rattanquota limits the operations of a client account over all daemons: in
// any window of a given length at most its rate times the window plus its burst. The
// limit is divided into pools of equal size, whose owners, daemons in different
// failure domains, hand out tokens on request. A network partition therefore leaves a
// pool on each side. While the daemons reach each other, an operation is refused only
// when all pools are empty.
package rattanquota

import (
	"maps"
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
)

const (
	// maxPools is the largest number of pools of an account. There are fewer when the
	// fleet has fewer failure domains.
	maxPools = 8
	// minPoolOperations is the smallest part of a window's limit that is kept in a pool
	// of its own: of smaller ones, the remainders add up to a large part of the limit.
	minPoolOperations = 12
)

// PoolCount returns the largest number of pools of an account that may have a number
// of operations in a window.
func PoolCount(operations float64) int {
	return min(max(int(operations)/minPoolOperations, 1), maxPools)
}

// PoolOwners returns the VMs that own the pools of an account: in each failure
// domain the VM with the highest hash of its name and the account's, and of these
// at most count with the highest hashes. domains maps the name of each live VM to its
// failure domain.
func PoolOwners(account string, domains map[string]string, count int) []string {
	best := make(map[string]string)
	for vm, domain := range domains {
		highest, ok := best[domain]
		if !ok || rattanrendezvous.Weight(vm, account) > rattanrendezvous.Weight(highest, account) {
			best[domain] = vm
		}
	}
	return rattanrendezvous.Top(slices.Collect(maps.Values(best)), account, count)
}
