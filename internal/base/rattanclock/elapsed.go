package rattanclock

import "time"

// Elapsed returns the time from start to now: the larger of the differences of
// the monotonic and of the wall clock. The monotonic clock stands still while a
// VM is suspended and the wall clock may be set back, so neither alone is safe
// for the end of a loan or lease.
func Elapsed(start, now time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0))
	return max(monotonic, wall)
}
