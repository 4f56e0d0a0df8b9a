// Package rattanplacement ranks the endpoints at which a read may run, by expected
// latency and by the positions that replicas are known to hold or to lack.
package rattanplacement

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

const (
	// remotePenalty is added to the cost of an endpoint in another failure domain,
	// for the network latency and the price of the traffic: a local endpoint may be
	// slower by this much.
	remotePenalty = 20 * time.Millisecond
	// primaryPenalty is added to the cost of the primary, to keep reads off it while
	// replicas have capacity: only the primary can run writes.
	primaryPenalty = 10 * time.Millisecond
	// minBehindPause is how long a replica that lacked a position is ranked as behind
	// for reads that need it or a later one. The pause doubles with each further
	// refusal, up to maxBehindPause.
	minBehindPause = 50 * time.Millisecond
	maxBehindPause = 300 * time.Millisecond
)

// A Candidate is an endpoint that may run a read.
type Candidate struct {
	ID string
	// IsLocal is true when the endpoint is in the daemon's failure domain.
	IsLocal   bool
	IsPrimary bool
	// IsSuspect is true when the endpoint did not answer lately.
	IsSuspect bool
	// Wait is the expected duration of a request there, including the wait for a
	// connection.
	Wait time.Duration
	// Behind is a position that the endpoint lacked at BehindSince.
	Behind      rattanmodel.Position
	BehindSince time.Time
	// BehindCount is how often in a row it lacked a requested position.
	BehindCount int
	// KnownPosition is the last position that the endpoint is known to hold.
	KnownPosition rattanmodel.Position
}

// Rank returns the ids of the candidates for a read that needs a minimum position, the
// best first. Endpoints that are expected to lack it come after the others, and
// suspect ones last.
func Rank(candidates []Candidate, minPosition rattanmodel.Position, now time.Time) []string {
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		if order := a.class(minPosition, now) - b.class(minPosition, now); order != 0 {
			return order
		}
		return int(a.cost() - b.cost())
	})
	ids := make([]string, 0, len(ranked))
	for _, c := range ranked {
		ids = append(ids, c.ID)
	}
	return ids
}

// class is 0 for endpoints expected to serve the read, 1 for those expected to
// be behind and 2 for those that may not answer.
func (c Candidate) class(minPosition rattanmodel.Position, now time.Time) int {
	switch {
	case c.IsSuspect:
		return 2
	case c.isBehind(minPosition, now):
		return 1
	default:
		return 0
	}
}

// isBehind reports whether the endpoint is expected to lack the minimum position still.
func (c Candidate) isBehind(minPosition rattanmodel.Position, now time.Time) bool {
	if c.IsPrimary || c.KnownPosition.Compare(minPosition) >= 0 || c.BehindSince.IsZero() {
		return false
	}
	return minPosition.Compare(c.Behind) >= 0 && now.Sub(c.BehindSince) < c.behindPause()
}

// behindPause returns how long the endpoint is ranked as behind after its last refusal.
func (c Candidate) behindPause() time.Duration {
	doublings := min(max(c.BehindCount-1, 0), 10)
	return min(minBehindPause<<doublings, maxBehindPause)
}

// cost returns the expected wait with the penalties, for the order within a class.
func (c Candidate) cost() time.Duration {
	cost := c.Wait
	if !c.IsLocal {
		cost += remotePenalty
	}
	if c.IsPrimary {
		cost += primaryPenalty
	}
	return cost
}
