package rattanswitchover

// LeaderRank returns a VM's rank among those that may take the failover leadership, 0 for
// the first. cores holds the processor time of each VM's daemon. Those with the most of it
// come first: a leader that is slow to answer while all daemons start is replaced.
func LeaderRank(vm string, cores map[string]float64) int {
	rank := 0
	for name, other := range cores {
		if other > cores[vm] || other == cores[vm] && name < vm {
			rank++
		}
	}
	return rank
}
