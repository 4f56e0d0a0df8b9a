// Package rattanswitchover decides when a group needs another primary and runs the
// switchover to it. One daemon, the failover leader, runs switchovers.
package rattanswitchover

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
)

// A Reason says why a group needs another primary.
type Reason string

// Reasons for a switchover.
const (
	// ReasonNone means that the primary stays.
	ReasonNone Reason = ""
	// ReasonInitial means that no primary has been recorded yet.
	ReasonInitial Reason = "first"
	// ReasonResume means that a switchover has begun and has not ended; its failover
	// leader may have been another daemon.
	ReasonResume Reason = "resume"
	// ReasonUnreachable means that at least half of the jury cannot reach the primary.
	ReasonUnreachable Reason = "unreachable"
	// ReasonLeaving means that the primary is draining or has left.
	ReasonLeaving Reason = "leaving"
	// ReasonDeposed means that another endpoint was promoted, or that the primary became a
	// replica, without a record of it.
	ReasonDeposed Reason = "deposed"
	// ReasonEvacuated means that the primary's failure domain is out of service.
	ReasonEvacuated Reason = "evacuated"
)

// A GroupState is the state of one group on which Decide is based.
type GroupState struct {
	Record    rattangrant.PrimaryRecord
	HasRecord bool
	// IsLost is true when the store was restored from an older copy and lacks Record.
	// It has to be written again before anything else.
	IsLost bool
	// Endpoints are the registered endpoints of the group.
	Endpoints []rattancatalog.Endpoint
	// Unlisted are the endpoints of the group whose entry has disappeared from the store a
	// short while ago.
	Unlisted []rattancatalog.Endpoint
	// Holders are all endpoints that may hold a part of the group's log.
	Holders rattanholder.Holders
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas int
	// Evacuated are the failure domains out of service.
	Evacuated map[string]bool
	// Unusable are the endpoints that get no new statements any more, since their
	// limit after they went out of service has passed.
	Unusable map[string]bool
	// IsPrimaryGone is true when the primary's entry has been missing from the store
	// for so long that the primary counts as gone.
	IsPrimaryGone bool
	// IsDeposed is true when the endpoints report a newer term than that of the record, or
	// that the recorded primary does not lead the group.
	IsDeposed bool
	// Reporters is the number of jurors that cannot reach the primary, Daemons the
	// number of all jurors.
	Reporters, Daemons int
}

// Decide returns why the group needs a switchover now, or ReasonNone.
func Decide(s GroupState) Reason {
	switch {
	case s.IsLost:
		return ReasonNone
	case !s.HasRecord || s.Record.Primary == "" && !s.Record.IsSwitching:
		return ReasonInitial
	case s.Record.IsSwitching:
		return ReasonResume
	case s.IsDeposed:
		return ReasonDeposed
	case s.Reporters > 0 && 2*s.Reporters >= s.Daemons && s.hasOtherCandidate():
		return ReasonUnreachable
	}
	at := s.primaryIndex()
	if at < 0 {
		if s.IsPrimaryGone {
			return ReasonLeaving
		}
		return ReasonNone
	}
	if !hasSuccessor(s, s.Record.Primary) {
		return ReasonNone
	}
	return s.departure(at)
}

// Candidates returns the endpoints that may be the primary: those that may get new
// statements, and the present primary. Where replicas hold each commit before it is
// acknowledged, any of them may be the only one that does, and leads until another one has
// caught up.
func (s GroupState) Candidates() []rattancatalog.Endpoint {
	if s.SyncReplicas > 0 {
		return s.Endpoints
	}
	return slices.DeleteFunc(slices.Clone(s.Endpoints), func(e rattancatalog.Endpoint) bool {
		return s.Unusable[e.ID] && e.ID != s.Record.Primary
	})
}

// hasOtherCandidate reports whether an endpoint other than the primary may be promoted.
// Without one, the primary keeps its role until it answers again.
func (s GroupState) hasOtherCandidate() bool {
	return slices.ContainsFunc(s.Endpoints, func(e rattancatalog.Endpoint) bool { return e.ID != s.Record.Primary && !s.Unusable[e.ID] })
}

// Blocked returns why the primary should be replaced although no other endpoint can
// become the primary, or ReasonNone. Decide then returns ReasonNone.
func Blocked(s GroupState) Reason {
	at := s.primaryIndex()
	if !s.HasRecord || s.Record.IsSwitching || at < 0 || hasSuccessor(s, s.Record.Primary) {
		return ReasonNone
	}
	return s.departure(at)
}

// primaryIndex returns the index of the primary among the endpoints, or -1.
func (s GroupState) primaryIndex() int {
	return slices.IndexFunc(s.Endpoints, func(e rattancatalog.Endpoint) bool { return e.ID == s.Record.Primary })
}

// departure returns why the endpoint at an index goes out of service, or ReasonNone.
func (s GroupState) departure(at int) Reason {
	switch {
	case s.Endpoints[at].IsDraining:
		return ReasonLeaving
	case s.Evacuated[s.Endpoints[at].FailureDomain]:
		return ReasonEvacuated
	default:
		return ReasonNone
	}
}

// hasSuccessor reports whether another endpoint can become the primary and stay it:
// it neither drains nor is in an evacuated failure domain.
func hasSuccessor(s GroupState, primary string) bool {
	return slices.ContainsFunc(s.Endpoints, func(e rattancatalog.Endpoint) bool {
		return e.ID != primary && !e.IsDraining && !s.Evacuated[e.FailureDomain]
	})
}
