// Package rattanowner decides which daemon owns the connections to an endpoint, and
// how many connections the owner and other daemons may have. All daemons forward their
// reads to the owner, so that one connection of each client account stays open, the
// endpoint's own queue stays short, and one daemon sees all requests that wait for
// the endpoint.
package rattanowner

import (
	"cmp"
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A VM is a VM whose daemon is live.
type VM struct {
	Name          string
	FailureDomain string
	// ProcessorCores is the processor time of the daemon, in cores, or 0 when it is not
	// known.
	ProcessorCores float64
}

// defaultProcessorCores is the processor time of a VM that does not tell its own.
const defaultProcessorCores = 1

// Choose returns the owner of an endpoint, the first of Rank. It returns false when there
// is no daemon.
func Choose(endpoint rattancatalog.Endpoint, vms []VM) (string, bool) {
	if ranked := Rank(endpoint, vms, 1); len(ranked) > 0 {
		return ranked[0], true
	}
	return "", false
}

// Forward returns the first of the ranked daemons that answers, to which a daemon forwards
// its statements. It returns false when the daemon itself comes before that, or none
// answers: the daemon then runs them itself.
func Forward(ranked []string, own string, answers func(vm string) bool) (string, bool) {
	for _, vm := range ranked {
		if vm == own {
			return "", false
		}
		if answers(vm) {
			return vm, true
		}
	}
	return "", false
}

// Rank returns the first n daemons for the connections to an endpoint: the owner, and
// those that stand in for one that does not answer. They are those of the endpoint's
// failure domain, or of all when it has none, by a hash of VM name and endpoint id. A VM
// of twice the processor time is the owner of twice as many endpoints.
func Rank(endpoint rattancatalog.Endpoint, vms []VM, n int) []string {
	type scored struct {
		name  string
		score float64
	}
	var local, all []scored
	for _, vm := range vms {
		cores := vm.ProcessorCores
		if cores <= 0 {
			cores = defaultProcessorCores
		}
		entry := scored{name: vm.Name, score: rattanrendezvous.Score(vm.Name, endpoint.ID, cores)}
		all = append(all, entry)
		if vm.FailureDomain == endpoint.FailureDomain {
			local = append(local, entry)
		}
	}
	if len(local) > 0 {
		all = local
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, n)
	for _, entry := range all[:min(n, len(all))] {
		names = append(names, entry.name)
	}
	return names
}
