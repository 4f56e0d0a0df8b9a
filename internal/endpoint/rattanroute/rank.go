package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// catchUpWait is how long a read may wait at a replica for the session's
// position before the primary is the better choice.
const catchUpWait = 20 * time.Millisecond

// rank orders the replicas; a lower rank is tried first.
type rank int

const (
	reachedOwnDomain rank = iota
	reachedElsewhere
	expectedOwnDomain
	expectedElsewhere
	rankCount
	// unfit replicas are left out.
	unfit = rankCount
)

// ranker holds what is the same for all replicas of one decision.
type ranker struct {
	settings    *settings
	termHistory rattanmodel.TermHistory
	need        rattanmodel.Position
	// index is what a log must hold, by the view's term history.
	index uint64
	// known is false when the term of need is newer than the view.
	known bool
}

func newRanker(view *rattanmodel.GroupView, need rattanmodel.Position, s *settings) ranker {
	index, known := view.TermHistory.Resolve(need)
	return ranker{settings: s, termHistory: view.TermHistory, need: need, index: index, known: known}
}

func (r *ranker) rank(endpoint *rattanmodel.EndpointView) rank {
	if !r.fresh(endpoint) || r.diverged(endpoint.Position) {
		return unfit
	}
	own := endpoint.FailureDomain == r.settings.failureDomain
	reached := r.reached(endpoint.Position)
	switch {
	case reached && own:
		return reachedOwnDomain
	case reached:
		return reachedElsewhere
	case !r.reachesSoon(endpoint):
		return unfit
	case own:
		return expectedOwnDomain
	default:
		return expectedElsewhere
	}
}

// diverged reports whether a log that ends at position has entries past the end
// of an ended term. These were never acknowledged and must not be read.
func (r *ranker) diverged(position rattanmodel.Position) bool {
	index, known := r.termHistory.Resolve(position)
	return known && index < position.Index
}

// reached reports whether a log that ends at position holds all that is needed.
// Indexes increase over all terms, so the index alone tells.
func (r *ranker) reached(position rattanmodel.Position) bool {
	if !r.known {
		return position.Compare(r.need) >= 0
	}
	return position.Index >= r.index
}

// fresh reports whether the replica's data is young enough. An unknown age
// counts as too old.
func (r *ranker) fresh(endpoint *rattanmodel.EndpointView) bool {
	if r.settings.maxAge <= 0 {
		return true
	}
	if !endpoint.AgeKnown {
		return false
	}
	age := endpoint.Age + max(0, r.settings.now.Sub(endpoint.ObservedAt))
	return age <= r.settings.maxAge
}

func (r *ranker) reachesSoon(endpoint *rattanmodel.EndpointView) bool {
	if !r.known {
		return false
	}
	delay, known := r.settings.catchUp(*endpoint)
	return known && delay <= catchUpWait
}
