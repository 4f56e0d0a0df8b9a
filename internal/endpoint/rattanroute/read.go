// Package rattanroute decides which endpoint of a group serves a read or a
// write. Its functions have no state and do no input or output.
package rattanroute

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// maxReplicas is the maximum number of replicas among the candidates of one read. A
// read that three replicas could not serve goes to the primary.
const maxReplicas = 3

// ReadCandidates returns the endpoints that may serve a read at minPosition or later,
// best first: replicas known to have reached it, then replicas expected to reach it
// within 20 ms, in both cases those of the daemon's failure domain first, and the
// primary last. Endpoints that are unreachable, drained or blocked are excluded, so
// the result may be empty.
func ReadCandidates(view rattanmodel.GroupView, minPosition rattanmodel.Position, options ...Option) []Candidate {
	s := newSettings(options)
	chosen, primary := choose(&view, newRanker(&view, minPosition, &s), &s)
	candidates := make([]Candidate, 0, maxReplicas+1)
	for r := range rankCount {
		for _, endpoint := range chosen[r].rotated() {
			if len(candidates) == maxReplicas {
				break
			}
			candidate := Candidate{Endpoint: *endpoint, MinPosition: minPosition, MaxAge: s.maxAge}
			if r >= expectedLocal {
				candidate.MaxWait = catchUpWait
			}
			candidates = append(candidates, candidate)
		}
	}
	if primary != nil {
		candidates = append(candidates, Candidate{Endpoint: *primary, Primary: true, MinPosition: minPosition})
	}
	return candidates
}

// WriteTarget returns the endpoint for a write of the view's term: the primary. The
// second result is false when no primary is known or it may not get new requests.
func WriteTarget(view rattanmodel.GroupView, options ...Option) (rattanmodel.EndpointView, bool) {
	s := newSettings(options)
	for i := range view.Endpoints {
		endpoint := &view.Endpoints[i]
		if endpoint.Name == view.Primary && view.Primary != "" {
			return *endpoint, s.isUsable(endpoint, true)
		}
	}
	return rattanmodel.EndpointView{}, false
}

// choose groups the usable replicas by rank and returns them with the primary, which is
// nil when it is unknown or not usable.
func choose(view *rattanmodel.GroupView, ranker ranker, s *settings) (chosen [rankCount]selection, primary *rattanmodel.EndpointView) {
	for r := range chosen {
		chosen[r].spread = s.spread
	}
	for i := range view.Endpoints {
		endpoint := &view.Endpoints[i]
		isPrimary := endpoint.Name == view.Primary
		if !s.isUsable(endpoint, isPrimary) {
			continue
		}
		if isPrimary {
			primary = endpoint
			continue
		}
		if r := ranker.rank(endpoint); r != excluded {
			chosen[r].add(endpoint)
		}
	}
	return chosen, primary
}
