package rattanload

import (
	"slices"
	"time"
)

// longestUnserved returns the longest time in which requests were waiting or refused and
// none was served. Time without any request does not count. The samples must be sorted
// by end.
func longestUnserved(samples []sample) time.Duration {
	// earliest[i] is the first arrival among the samples from i on.
	earliest := make([]time.Duration, len(samples)+1)
	earliest[len(samples)] = 1<<63 - 1
	for i := len(samples) - 1; i >= 0; i-- {
		earliest[i] = min(earliest[i+1], samples[i].arrival)
	}
	var longest, last time.Duration
	first := 0
	for i, s := range samples {
		if s.served || i == len(samples)-1 {
			longest = max(longest, s.end-max(last, earliest[first]))
		}
		if s.served {
			last, first = s.end, i+1
		}
	}
	return longest
}

// longestGap returns the longest time between two consecutive ends of served writes of a
// service, among those that overlap the interval. The time from the last such write to
// the end of the interval counts too.
func longestGap(samples []sample, service int, from, until time.Duration) time.Duration {
	var longest, last time.Duration
	for _, s := range samples {
		if !s.served || s.kind != kindWrite || s.service != service {
			continue
		}
		if s.end >= from && last < until {
			longest = max(longest, s.end-last)
		}
		last = s.end
	}
	if last < until {
		longest = max(longest, until-last)
	}
	return longest
}

// overRate returns by how many requests the served ones exceed burst + rate × w in the
// worst interval of length w. A request counts when it arrived and ended in the
// interval, so that it was certainly admitted there.
func overRate(account Account, samples []sample) float64 {
	done := filter(samples, func(s sample) bool { return s.served })
	starts := make([]time.Duration, 0, len(done))
	for _, s := range done {
		starts = append(starts, s.arrival)
	}
	slices.Sort(starts)
	// For each arrival, the tree has rate × arrival plus the number of requests that ended
	// so far and did not arrive earlier. The maximum belongs to the worst interval that
	// begins at an arrival and ends at the present end.
	tree := newMaxTree(len(starts), func(i int) float64 { return account.Rate * starts[i].Seconds() })
	worst := 0.0
	for _, s := range done {
		last, _ := slices.BinarySearch(starts, s.arrival)
		tree.addUpTo(last, 1)
		worst = max(worst, tree.highestUpTo(last)-account.Rate*s.end.Seconds()-account.Burst)
	}
	return worst
}
