package rattanfailover

import (
	"slices"
	"strconv"

	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
)

// Monitors returns the daemons that monitor a group: up to perDomain of the live
// daemons of each failure domain, chosen by rendezvous hashing. When a daemon joins
// or leaves, only the choices that it affects change.
func Monitors(group string, domains []string, live []Daemon, perDomain int) []Daemon {
	var monitors []Daemon
	for _, domain := range domains {
		var inDomain []Daemon
		for _, daemon := range live {
			if daemon.FailureDomain == domain {
				inDomain = append(inDomain, daemon)
			}
		}
		sortByWeight(inDomain, group)
		monitors = append(monitors, inDomain[:min(perDomain, len(inDomain))]...)
	}
	return monitors
}

// Rank returns the daemon's rank among the monitors that would replace the primary
// of a term, or -1 if it is not one of them. The monitor of rank 0 starts first.
// The term is part of the hash, so that another monitor is likely to start first
// when the primary of the next term fails as well.
func Rank(group string, term uint64, monitors []Daemon, name string) int {
	ranked := slices.Clone(monitors)
	sortByWeight(ranked, group+"/"+strconv.FormatUint(term, 10))
	return slices.IndexFunc(ranked, func(d Daemon) bool { return d.Name == name })
}

// sortByWeight sorts daemons by descending rendezvous weight for key, then by name.
func sortByWeight(daemons []Daemon, key string) {
	rattanrendezvous.Sort(daemons, key, func(d Daemon) string { return d.Name })
}
