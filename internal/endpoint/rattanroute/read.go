// Package rattanroute decides which endpoint of a group serves a read or a
// write. Its functions have no state and do no input or output.
package rattanroute

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// maxReplicas bounds the replicas that one read is offered. A read that three
// replicas could not serve goes to the primary.
const maxReplicas = 3

// ReadCandidates returns the endpoints that may serve a read which needs the position
// need, best first: replicas known to have reached it, then replicas expected to
// reach it within 20 ms, in both cases those of the own failure domain first,
// and the primary last. Endpoints that are unreachable, drained or blocked are
// left out, so the result may be empty.
func ReadCandidates(view rattanmodel.GroupView, need rattanmodel.Position, options ...Option) []Candidate {
	s := newSettings(options)
	chosen, primary := choose(&view, newRanker(&view, need, &s), &s)
	candidates := make([]Candidate, 0, maxReplicas+1)
	for r := range rankCount {
		for _, endpoint := range chosen[r].inOrder() {
			if len(candidates) == maxReplicas {
				break
			}
			candidate := Candidate{Endpoint: *endpoint, MinPosition: need, MaxAge: s.maxAge}
			if r >= expectedOwnDomain {
				candidate.MaxWait = catchUpWait
			}
			candidates = append(candidates, candidate)
		}
	}
	if primary != nil {
		candidates = append(candidates, Candidate{Endpoint: *primary, Primary: true, MinPosition: need})
	}
	return candidates
}

// WriteTarget returns the endpoint for a write of the view's term: the primary. The
// second result is false when no primary is known or it may not get new work.
func WriteTarget(view rattanmodel.GroupView, options ...Option) (rattanmodel.EndpointView, bool) {
	s := newSettings(options)
	for i := range view.Endpoints {
		endpoint := &view.Endpoints[i]
		if endpoint.Name == view.Primary && view.Primary != "" {
			return *endpoint, s.usable(endpoint, true)
		}
	}
	return rattanmodel.EndpointView{}, false
}

func choose(view *rattanmodel.GroupView, ranker ranker, s *settings) (chosen [rankCount]selection, primary *rattanmodel.EndpointView) {
	for r := range chosen {
		chosen[r].spread = s.spread
	}
	for i := range view.Endpoints {
		endpoint := &view.Endpoints[i]
		isPrimary := endpoint.Name == view.Primary
		if !s.usable(endpoint, isPrimary) {
			continue
		}
		if isPrimary {
			primary = endpoint
			continue
		}
		if r := ranker.rank(endpoint); r != unfit {
			chosen[r].add(endpoint)
		}
	}
	return chosen, primary
}
