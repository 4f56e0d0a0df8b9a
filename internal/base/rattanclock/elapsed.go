package rattanclock

import "time"

// Elapsed returns the time from start to now: the larger of the differences by the
// monotonic clock and by the wall clock. The monotonic clock stops while a VM is
// suspended and the wall clock may be set back, so with either alone a loan or lease
// could be held past its end.
func Elapsed(start, now time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0))
	return max(monotonic, wall)
}
