// Package rattanfreshness decides which position an endpoint must hold so that
// a read on it is fresh enough.
package rattanfreshness

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

const (
	// memory is how long observations are kept, longer than any staleness that
	// routes commonly allow.
	memory = 10 * time.Second
	// spacing thins out the observations: a position asked for this shortly
	// after the one before replaces nothing and adds nothing.
	spacing = 20 * time.Millisecond
)

// An observation says that the primary's log reached position, asked at a time:
// every commit acknowledged before that time is within the position.
type observation struct {
	position rattanmodel.Position
	asked    time.Time
}

// A History holds the recent positions of a group's primary. It is safe for
// concurrent use.
type History struct {
	mu           sync.Mutex
	observations []observation
	// termStart is the first position observed in the newest term.
	termStart rattanmodel.Position
}

// Observe records the position that the primary gave in an answer to a question
// sent at asked. The daemon must have held a grant for that primary then.
func (h *History) Observe(position rattanmodel.Position, asked time.Time) {
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
		if asked.Sub(last.asked) < spacing || position.Compare(last.position) < 0 {
			return
		}
	}
	h.observations = append(h.observations, observation{position: position, asked: asked})
	h.prune(asked)
}

func (h *History) prune(now time.Time) {
	old := 0
	for old < len(h.observations)-1 && now.Sub(h.observations[old].asked) > memory {
		old++
	}
	h.observations = append(h.observations[:0], h.observations[old:]...)
}

// MinPosition returns the lowest known position that contains every commit that was
// acknowledged more than staleness before now. It returns false when no
// observation is that young.
func (h *History) MinPosition(now time.Time, staleness time.Duration) (rattanmodel.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.observations {
		if now.Sub(o.asked) <= staleness {
			return o.position, true
		}
	}
	return rattanmodel.Position{}, false
}

// Resolve returns the position that stands for p now. A position of an ended term
// may have been rolled back in part; what was kept of it is within every
// position of the newest term.
func (h *History) Resolve(p rattanmodel.Position) rattanmodel.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Term < h.termStart.Term && p != (rattanmodel.Position{}) {
		return h.termStart
	}
	return p
}

// Newest returns the youngest observation and when it was asked for.
func (h *History) Newest() (rattanmodel.Position, time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.observations) == 0 {
		return rattanmodel.Position{}, time.Time{}, false
	}
	last := h.observations[len(h.observations)-1]
	return last.position, last.asked, true
}
