// Package rattanfreshness decides which minimum position an endpoint must hold so that
// a read there observes the staleness bound of its route.
package rattanfreshness

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

const (
	// retention is how long observations are kept, longer than any staleness that
	// routes commonly allow.
	retention = 10 * time.Second
	// minInterval limits the number of observations: a position whose request was sent
	// sooner than this after the last recorded one is not recorded.
	minInterval = 20 * time.Millisecond
)

// An observation is the position of the primary's log in the response to a request
// that was sent at sentAt. It contains every commit acknowledged before sentAt.
type observation struct {
	position rattanmodel.Position
	sentAt   time.Time
}

// A History holds the recent positions of a group's primary. It is safe for
// concurrent use.
type History struct {
	mu           sync.Mutex
	observations []observation
	// termStart is the first position observed in the newest term.
	termStart rattanmodel.Position
}

// Observe records the position in the primary's response to a request sent at sentAt.
// The daemon must have held a grant for that primary then.
func (h *History) Observe(position rattanmodel.Position, sentAt time.Time) {
	if position == (rattanmodel.Position{}) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if position.Term > h.termStart.Term {
		h.termStart = position
	}
	if n := len(h.observations); n > 0 {
		last := h.observations[n-1]
		if sentAt.Sub(last.sentAt) < minInterval || position.Compare(last.position) < 0 {
			return
		}
	}
	h.observations = append(h.observations, observation{position: position, sentAt: sentAt})
	h.prune(sentAt)
}

// prune removes observations older than the retention, except the newest one.
func (h *History) prune(now time.Time) {
	expired := 0
	for expired < len(h.observations)-1 && now.Sub(h.observations[expired].sentAt) > retention {
		expired++
	}
	h.observations = append(h.observations[:0], h.observations[expired:]...)
}

// MinPosition returns the lowest observed position that contains every commit
// acknowledged more than staleness before now. It returns false when no observation
// is recent enough.
func (h *History) MinPosition(now time.Time, staleness time.Duration) (rattanmodel.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, observed := range h.observations {
		if now.Sub(observed.sentAt) <= staleness {
			return observed.position, true
		}
	}
	return rattanmodel.Position{}, false
}

// Resolve returns the position to wait for instead of p. The commits up to a position
// of an ended term may have been rolled back in part, so an endpoint may never reach
// it. What remains of them is contained in every position of the newest term, so
// Resolve returns the first one observed in that term. Other positions are unchanged.
func (h *History) Resolve(p rattanmodel.Position) rattanmodel.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Term < h.termStart.Term && p != (rattanmodel.Position{}) {
		return h.termStart
	}
	return p
}

// Newest returns the newest observed position and when its request was sent.
func (h *History) Newest() (rattanmodel.Position, time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.observations) == 0 {
		return rattanmodel.Position{}, time.Time{}, false
	}
	last := h.observations[len(h.observations)-1]
	return last.position, last.sentAt, true
}
