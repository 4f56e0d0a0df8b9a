package rattanpool

import "time"

const (
	// slowStartDuration is how long the in-flight limit takes to rise to the
	// endpoint's slots on return to service.
	slowStartDuration = 5 * time.Second
	// decreaseFactor is the factor by which the limit falls when the endpoint reports
	// a queue.
	decreaseFactor = 0.8
	// minDecreaseInterval is the least time between two decreases, so that several
	// responses about the same queue lower the limit only once.
	minDecreaseInterval = 50 * time.Millisecond
)

// window is the adaptive in-flight limit (additive increase, multiplicative
// decrease). While the limit is reached and the endpoint reports no queue, it rises
// by one per as many responses as the limit. When the endpoint reports a queue
// longer than half its slots, it falls by decreaseFactor.
type window struct {
	limit          float64
	lastDecrease   time.Time
	slowStartBegan time.Time
}

// beginSlowStart lowers the limit to 1 and lets it rise over slowStartDuration.
func (w *window) beginSlowStart(now time.Time) {
	w.slowStartBegan = now
	w.limit = 1
}

// current returns the limit, between 1 and slots.
func (w *window) current(now time.Time, slots int) int {
	limit := min(max(w.limit, 1), float64(slots))
	return int(min(limit, w.slowStartLimit(now, slots)))
}

// slowStartLimit returns the upper bound during the slow start, from 1 to slots.
func (w *window) slowStartLimit(now time.Time, slots int) float64 {
	if w.slowStartBegan.IsZero() {
		return float64(slots)
	}
	passed := float64(now.Sub(w.slowStartBegan)) / float64(slowStartDuration)
	return 1 + min(max(passed, 0), 1)*float64(slots-1)
}

// observe adapts the limit to the queue length that the endpoint reported.
// saturated says whether the limit was reached: an unused limit does not rise.
func (w *window) observe(now time.Time, queued, slots int, saturated bool) {
	switch {
	case 2*queued > slots:
		if now.Sub(w.lastDecrease) >= minDecreaseInterval {
			w.limit = max(1, w.limit*decreaseFactor)
			w.lastDecrease = now
		}
	case queued == 0 && saturated:
		w.limit = min(float64(slots), w.limit+1/max(w.limit, 1))
	}
}
