// Package rattanswitchover moves a group's primary to another endpoint. One daemon,
// the holder of the failover duty, runs it.
package rattanswitchover

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// A Reason says why a group needs another primary.
type Reason string

// The reasons.
const (
	// ReasonNone means that the primary stays.
	ReasonNone Reason = ""
	// ReasonInitial means that no primary has been recorded yet.
	ReasonInitial Reason = "first"
	// ReasonResume means that another holder began a switch and did not end it.
	ReasonResume Reason = "resume"
	// ReasonUnreachable means that most daemons cannot reach the primary.
	ReasonUnreachable Reason = "unreachable"
	// ReasonLeaving means that the primary is draining or has left.
	ReasonLeaving Reason = "leaving"
	// ReasonEvacuated means that the primary's failure domain is out of service.
	ReasonEvacuated Reason = "evacuated"
)

// A GroupState is what the decision on one group rests on.
type GroupState struct {
	Record    rattangrant.PrimaryRecord
	HasRecord bool
	// Endpoints are the registered endpoints of the group.
	Endpoints []rattancatalog.Endpoint
	// Evacuated are the failure domains out of service.
	Evacuated map[string]bool
	// IsPrimaryGone is true when the primary's entry has been missing for so long
	// that the primary counts as gone.
	IsPrimaryGone bool
	// Reporters is the number of live daemons that cannot reach the primary,
	// Daemons that of all live ones.
	Reporters, Daemons int
}

// Decide returns why the group needs another primary now.
func Decide(s GroupState) Reason {
	switch {
	case !s.HasRecord || s.Record.Primary == "" && !s.Record.IsSwitching:
		return ReasonInitial
	case s.Record.IsSwitching:
		return ReasonResume
	case s.Reporters > 0 && 2*s.Reporters >= s.Daemons:
		return ReasonUnreachable
	}
	at := slices.IndexFunc(s.Endpoints, func(e rattancatalog.Endpoint) bool { return e.ID == s.Record.Primary })
	if at < 0 {
		if s.IsPrimaryGone {
			return ReasonLeaving
		}
		return ReasonNone
	}
	if !hasSuccessor(s, s.Record.Primary) {
		return ReasonNone
	}
	switch {
	case s.Endpoints[at].IsDraining:
		return ReasonLeaving
	case s.Evacuated[s.Endpoints[at].FailureDomain]:
		return ReasonEvacuated
	default:
		return ReasonNone
	}
}

// hasSuccessor reports whether another endpoint could lead the group for longer
// than the present primary.
func hasSuccessor(s GroupState, primary string) bool {
	return slices.ContainsFunc(s.Endpoints, func(e rattancatalog.Endpoint) bool {
		return e.ID != primary && !e.IsDraining && !s.Evacuated[e.FailureDomain]
	})
}

// A Status is what an endpoint of the group answered.
type Status struct {
	Endpoint rattancatalog.Endpoint
	// Received is the last position in its log.
	Received  rattanmodel.Position
	Term      uint64
	IsPrimary bool
}

// RankCandidates returns the endpoints in the order in which they are to be promoted:
// those that stay before those that leave, and among them the one with the most
// of the log first, since what it lacks is lost.
func RankCandidates(statuses []Status, evacuated map[string]bool) []Status {
	ordered := slices.Clone(statuses)
	leaving := func(s Status) int {
		if s.Endpoint.IsDraining || evacuated[s.Endpoint.FailureDomain] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ordered, func(a, b Status) int {
		if order := leaving(a) - leaving(b); order != 0 {
			return order
		}
		return b.Received.Compare(a.Received)
	})
	return ordered
}
