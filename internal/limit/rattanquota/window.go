package rattanquota

import "time"

// A windowEntry is a number of operations that were counted at one time.
type windowEntry struct {
	at    time.Time
	count float64
}

// A slidingWindow counts the operations of the last length of time.
type slidingWindow struct {
	length  time.Duration
	entries []windowEntry
	sum     float64
}

// entryInterval is the time within which operations are counted in one entry, with
// the time of the latest. It bounds the number of entries.
const entryInterval = 5 * time.Millisecond

// expire drops the entries that have left the window at now.
func (w *slidingWindow) expire(now time.Time) {
	expired := 0
	for expired < len(w.entries) && now.Sub(w.entries[expired].at) >= w.length {
		w.sum -= w.entries[expired].count
		expired++
	}
	w.entries = w.entries[expired:]
	if len(w.entries) == 0 {
		w.entries, w.sum = nil, 0
	}
}

// add counts operations at now.
func (w *slidingWindow) add(count float64, now time.Time) {
	w.sum += count
	if last := len(w.entries) - 1; last > 0 && now.Sub(w.entries[last-1].at) < entryInterval {
		w.entries[last].at = now
		w.entries[last].count += count
		return
	}
	w.entries = append(w.entries, windowEntry{at: now, count: count})
}

// scale multiplies the counts by factor.
func (w *slidingWindow) scale(factor float64) {
	for i := range w.entries {
		w.entries[i].count *= factor
	}
	w.sum *= factor
}

// timeUntil returns the time from now until at most limit operations are in the
// window.
func (w *slidingWindow) timeUntil(limit float64, now time.Time) time.Duration {
	sum := w.sum
	for _, entry := range w.entries {
		if sum <= limit {
			return 0
		}
		sum -= entry.count
		if sum <= limit {
			return entry.at.Add(w.length).Sub(now)
		}
	}
	return 0
}
