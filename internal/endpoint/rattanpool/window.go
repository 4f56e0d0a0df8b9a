package rattanpool

import "time"

const (
	// slowStart is how long the in-flight limit takes to rise on return to service.
	slowStart = 5 * time.Second
	// cutFactor lowers the limit when the endpoint reports a queue.
	cutFactor = 0.8
	// cutInterval is the least time between two cuts, so that the answers of one
	// congested moment count once.
	cutInterval = 50 * time.Millisecond
)

// window is the adaptive in-flight limit: it rises by one per limit's worth of
// answers while the endpoint reports no queue, and falls by a factor while it
// reports one longer than half its slots.
type window struct {
	limit    float64
	lastCut  time.Time
	restarts time.Time
}

// restart begins the slow start.
func (w *window) restart(now time.Time) {
	w.restarts = now
	w.limit = 1
}

// current returns the limit, between 1 and slots.
func (w *window) current(now time.Time, slots int) int {
	limit := min(max(w.limit, 1), float64(slots))
	return int(min(limit, w.ceiling(now, slots)))
}

// ceiling returns the upper bound that the slow start sets, from 1 to slots.
func (w *window) ceiling(now time.Time, slots int) float64 {
	if w.restarts.IsZero() {
		return float64(slots)
	}
	passed := float64(now.Sub(w.restarts)) / float64(slowStart)
	return 1 + min(max(passed, 0), 1)*float64(slots-1)
}

// observe adapts the limit to the queue that the endpoint reported. Saturated
// says whether the limit was reached: an unused limit does not rise.
func (w *window) observe(now time.Time, queued, slots int, saturated bool) {
	switch {
	case 2*queued > slots:
		if now.Sub(w.lastCut) >= cutInterval {
			w.limit = max(1, w.limit*cutFactor)
			w.lastCut = now
		}
	case queued == 0 && saturated:
		w.limit = min(float64(slots), w.limit+1/max(w.limit, 1))
	}
}
