package rattanfailover

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Monitors returns the daemons that watch a group: perDomain of those that live
// in each of the failure domains, chosen by rendezvous hash. A change of the
// live daemons moves only the choices that it affects.
func Monitors(group string, domains []string, live []Daemon, perDomain int) []Daemon {
	var monitors []Daemon
	for _, domain := range domains {
		var inDomain []Daemon
		for _, daemon := range live {
			if daemon.FailureDomain == domain {
				inDomain = append(inDomain, daemon)
			}
		}
		byWeight(inDomain, group)
		monitors = append(monitors, inDomain[:min(perDomain, len(inDomain))]...)
	}
	return monitors
}

// Rank returns the place of the daemon among the monitors that would replace
// the primary of a term: 0 starts first. The term is part of the hash, so that
// the first place moves on when a promotion does not hold.
func Rank(group string, term uint64, monitors []Daemon, name string) int {
	ranked := slices.Clone(monitors)
	byWeight(ranked, group+"/"+strconv.FormatUint(term, 10))
	return slices.IndexFunc(ranked, func(d Daemon) bool { return d.Name == name })
}

// byWeight sorts by descending rendezvous weight for key, then by name.
func byWeight(daemons []Daemon, key string) {
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(weight(b.Name, key), weight(a.Name, key)), cmp.Compare(a.Name, b.Name))
	})
}

func weight(name, key string) uint64 {
	return xxhash.Sum64String(name + "\x00" + key)
}
