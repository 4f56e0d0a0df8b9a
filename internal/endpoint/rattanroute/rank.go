package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// catchUpWait is how long a read may wait at a replica until it reaches the minimum
// position. For a longer wait the primary is the better choice.
const catchUpWait = 20 * time.Millisecond

// rank orders the replicas; a lower rank is tried first.
type rank int

const (
	reachedLocal rank = iota
	reachedRemote
	expectedLocal
	expectedRemote
	rankCount
	// excluded replicas must not serve the read.
	excluded = rankCount
)

// ranker ranks the replicas for one decision.
type ranker struct {
	settings    *settings
	termHistory rattanmodel.TermHistory
	minPosition rattanmodel.Position
	// index is the index that a log must have reached, by the view's term history.
	index uint64
	// known is false when the term of minPosition is newer than the view.
	known bool
}

func newRanker(view *rattanmodel.GroupView, minPosition rattanmodel.Position, s *settings) ranker {
	index, known := view.TermHistory.Resolve(minPosition)
	return ranker{settings: s, termHistory: view.TermHistory, minPosition: minPosition, index: index, known: known}
}

func (r *ranker) rank(endpoint *rattanmodel.EndpointView) rank {
	if !r.isFresh(endpoint) || r.hasDiverged(endpoint.Position) {
		return excluded
	}
	isLocal := endpoint.FailureDomain == r.settings.failureDomain
	hasReached := r.hasReached(endpoint.Position)
	switch {
	case hasReached && isLocal:
		return reachedLocal
	case hasReached:
		return reachedRemote
	case !r.reachesSoon(endpoint):
		return excluded
	case isLocal:
		return expectedLocal
	default:
		return expectedRemote
	}
}

// hasDiverged reports whether a log that ends at position has entries past the end of
// an ended term. These were never acknowledged and must not be read.
func (r *ranker) hasDiverged(position rattanmodel.Position) bool {
	index, known := r.termHistory.Resolve(position)
	return known && index < position.Index
}

// hasReached reports whether a log that ends at position holds all up to the minimum
// position. Indexes increase across terms, so comparing the index is enough.
func (r *ranker) hasReached(position rattanmodel.Position) bool {
	if !r.known {
		return position.Compare(r.minPosition) >= 0
	}
	return position.Index >= r.index
}

// isFresh reports whether the replica's data is not older than the maximum age. An
// unknown age counts as too old.
func (r *ranker) isFresh(endpoint *rattanmodel.EndpointView) bool {
	if r.settings.maxAge <= 0 {
		return true
	}
	if !endpoint.AgeKnown {
		return false
	}
	age := endpoint.Age + max(0, r.settings.now.Sub(endpoint.ObservedAt))
	return age <= r.settings.maxAge
}

// reachesSoon reports whether the replica is expected to reach the minimum position
// within catchUpWait.
func (r *ranker) reachesSoon(endpoint *rattanmodel.EndpointView) bool {
	if !r.known {
		return false
	}
	delay, known := r.settings.catchUp(*endpoint)
	return known && delay <= catchUpWait
}
