package rattanusage

import "time"

const (
	// dateResolution is the resolution of the times that a TrueTime observes.
	dateResolution = time.Second
	// maxDrift is how much a VM's steady clock may gain or lose, as a part of the time.
	maxDrift = 0.0005
)

// A TrueTime tells the time of day of a VM whose clock may be off or may be set. It
// combines a steady clock with dates that another system has named: each response with a
// date, cut to whole seconds, bounds the offset between the two from both sides.
type TrueTime struct {
	isKnown bool
	// low and high bound the offset as of the steady time at.
	low, high time.Duration
	at        time.Time
}

// Observe records that another system named a date between two times of the steady clock.
func (t *TrueTime) Observe(date, sent, received time.Time) {
	low, high := date.Sub(received), date.Add(dateResolution).Sub(sent)
	knownLow, knownHigh := t.bounds(received)
	// Bounds that contradict each other mean that the other system's clock was set.
	if t.isKnown && max(low, knownLow) <= min(high, knownHigh) {
		low, high = max(low, knownLow), min(high, knownHigh)
	}
	t.isKnown, t.low, t.high, t.at = true, low, high, received
}

// bounds returns the bounds of the offset at a steady time, wider the older they are.
func (t *TrueTime) bounds(steady time.Time) (low, high time.Duration) {
	drift := time.Duration(maxDrift * float64(steady.Sub(t.at)))
	return t.low - drift, t.high + drift
}

// Now returns the true time from the steady clock and the VM's clock. The VM's clock counts
// while the dates do not refute it, since it is finer than they are.
func (t *TrueTime) Now(steady, wall time.Time) time.Time {
	if !t.isKnown {
		return wall
	}
	low, high := t.bounds(steady)
	if offset := wall.Round(0).Sub(steady); offset >= low && offset <= high {
		return wall
	}
	return steady.Add(low + (high-low)/2)
}
