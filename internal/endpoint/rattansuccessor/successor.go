// Package rattansuccessor decides which endpoint of a group leads it and which ones may
// lead it next, from the roles, terms and log positions that the endpoints report. It does
// no input or output.
package rattansuccessor

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A Status is the response of an endpoint to a status query.
type Status struct {
	Endpoint rattancatalog.Endpoint
	// Received is the last position in its log.
	Received rattanmodel.Position
	// Term is the newest term that the endpoint knows, for a primary the one that it
	// leads.
	Term      uint64
	IsPrimary bool
}

// A Group is what is known of a group without asking its endpoints.
type Group struct {
	// Endpoints are those that may have a part of the log, with and without an entry in the
	// store.
	Endpoints []rattancatalog.Endpoint
	// Primary is the recorded primary.
	Primary string
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas int
	// Unconfirmed is how many fewer replicas may hold commits that were acknowledged before
	// SyncReplicas was raised.
	Unconfirmed int
	// Evacuated are the failure domains out of service.
	Evacuated map[string]bool
	// Unusable are the endpoints that get no work: they are past their limit after they went
	// out of service, or the store no longer knows them.
	Unusable map[string]bool
	// LostLogs are the endpoints that were started again without what they held before.
	LostLogs map[string]bool
	// Term is the newest known term, 0 if none is.
	Term uint64
	// TermHistory holds the terms whose start is known.
	TermHistory rattanmodel.TermHistory
}

// A View is what is known of a group's endpoints at one time. It is immutable.
type View struct {
	group    Group
	statuses []Status
}

// New returns the view of a group of which some endpoints have answered a status query.
func New(group Group, statuses []Status) View { return View{group: group, statuses: statuses} }

// IsComplete reports whether all endpoints of the group have answered.
func (v View) IsComplete() bool { return len(v.Silent()) == 0 }

// Silent returns the ids of the endpoints of the group that have not answered.
func (v View) Silent() []string {
	var ids []string
	for _, endpoint := range v.group.Endpoints {
		if _, ok := v.status(endpoint.ID); !ok {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// Statuses returns the answers of the endpoints.
func (v View) Statuses() []Status { return slices.Clone(v.statuses) }

// NewestTerm returns the newest known term of the group.
func (v View) NewestTerm() uint64 {
	term := v.group.Term
	for _, status := range v.statuses {
		term = max(term, status.Term, status.Received.Term)
	}
	return term
}

// Leader returns the primary of the newest known term. An endpoint that calls itself the
// primary of an older term has been deposed and does not know it yet.
func (v View) Leader() (Status, bool) {
	newest := v.NewestTerm()
	for _, status := range v.statuses {
		if status.IsPrimary && status.Term == newest {
			return status, true
		}
	}
	return Status{}, false
}

// IsLeader reports whether an endpoint is the leader.
func (v View) IsLeader(status Status) bool {
	leader, ok := v.Leader()
	return ok && leader.Endpoint.ID == status.Endpoint.ID
}

// IsDeposed reports whether the recorded primary does not lead the group: an endpoint is in
// a newer term than that of the record, the recorded primary is a replica by its own answer,
// or another one leads.
func (v View) IsDeposed(recorded string) bool {
	if v.group.Term != 0 && v.NewestTerm() > v.group.Term {
		return true
	}
	if leader, ok := v.Leader(); ok {
		return leader.Endpoint.ID != recorded
	}
	status, ok := v.status(recorded)
	return ok && !status.IsPrimary
}

// HasTakenOver reports whether a promoted endpoint leads the group, by its present status.
// A promote takes effect some time after the platform's answer, with a term above all
// before. Until then a deposed primary still calls itself the primary of its old term. Only
// the leader of the view keeps its term.
func (v View) HasTakenOver(status Status) bool {
	if v.IsLeader(status) {
		return status.IsPrimary && status.Term >= v.NewestTerm()
	}
	return status.IsPrimary && status.Term > v.NewestTerm()
}

// HasCaughtUp reports whether an endpoint other than the given primary, which stays in
// service, holds all that the primary holds.
func (v View) HasCaughtUp(primary Status) bool {
	return slices.ContainsFunc(v.statuses, func(s Status) bool {
		return s.Endpoint.ID != primary.Endpoint.ID && !v.IsLeaving(s) && s.Received.Compare(primary.Received) >= 0
	})
}

// WithoutPrimary returns the view after an endpoint has stepped down.
func (v View) WithoutPrimary(id string) View {
	statuses := slices.Clone(v.statuses)
	for i := range statuses {
		if statuses[i].Endpoint.ID == id {
			statuses[i].IsPrimary = false
		}
	}
	return View{group: v.group, statuses: statuses}
}
