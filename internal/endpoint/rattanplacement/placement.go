// Package rattanplacement decides at which endpoint a read runs.
package rattanplacement

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

const (
	// remoteCost stands for the longer way to another failure domain and the
	// price of its bytes: a nearer endpoint may be slower by this much.
	remoteCost = 20 * time.Millisecond
	// primaryCost keeps reads off the primary while replicas have room, since
	// only the primary can run writes.
	primaryCost = 10 * time.Millisecond
	// minBehind is how long a replica that lacked a position is not asked for it
	// or a later one; the time doubles with each further refusal, up to maxBehind.
	minBehind = 50 * time.Millisecond
	maxBehind = 300 * time.Millisecond
)

// A Candidate is an endpoint that may run a read.
type Candidate struct {
	ID string
	// IsLocal endpoints are in the daemon's failure domain.
	IsLocal   bool
	IsPrimary bool
	// IsSuspect endpoints did not answer lately.
	IsSuspect bool
	// Wait is the expected time of a request there, with its wait for a
	// connection.
	Wait time.Duration
	// Behind is a position that the endpoint lacked at BehindSince.
	Behind      rattanmodel.Position
	BehindSince time.Time
	// BehindCount is how often in a row it lacked one.
	BehindCount int
	// KnownPosition is the last position that the endpoint is known to hold.
	KnownPosition rattanmodel.Position
}

// Rank returns the ids of the candidates for a read with a floor, the best
// first. Endpoints that lack the floor come last, suspect ones after them.
func Rank(candidates []Candidate, floor rattanmodel.Position, now time.Time) []string {
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		if order := a.class(floor, now) - b.class(floor, now); order != 0 {
			return order
		}
		return int(a.cost() - b.cost())
	})
	ids := make([]string, 0, len(ordered))
	for _, c := range ordered {
		ids = append(ids, c.ID)
	}
	return ids
}

// class is 0 for endpoints expected to serve the read, 1 for those expected to
// be behind and 2 for those that may not answer.
func (c Candidate) class(floor rattanmodel.Position, now time.Time) int {
	switch {
	case c.IsSuspect:
		return 2
	case c.isBehind(floor, now):
		return 1
	default:
		return 0
	}
}

func (c Candidate) isBehind(floor rattanmodel.Position, now time.Time) bool {
	if c.IsPrimary || c.KnownPosition.Compare(floor) >= 0 || c.BehindSince.IsZero() {
		return false
	}
	return floor.Compare(c.Behind) >= 0 && now.Sub(c.BehindSince) < c.behindTime()
}

func (c Candidate) behindTime() time.Duration {
	doublings := min(max(c.BehindCount-1, 0), 10)
	return min(minBehind<<doublings, maxBehind)
}

func (c Candidate) cost() time.Duration {
	cost := c.Wait
	if !c.IsLocal {
		cost += remoteCost
	}
	if c.IsPrimary {
		cost += primaryCost
	}
	return cost
}
