package rattanswitchover

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

// A Request describes one change of a group's primary. Key, Record and Revision are
// those of the group's record in the store; Evacuated are the failure domains out of
// service.
type Request struct {
	Group    string
	Key      string
	Reason   Reason
	Record   rattangrant.PrimaryRecord
	Revision rattankv.Revision
	// Endpoints are those that may be promoted.
	Endpoints []rattancatalog.Endpoint
	// Unlisted are endpoints whose entry has disappeared from the store a short while ago.
	Unlisted []rattancatalog.Endpoint
	// Holders are all endpoints that may hold a part of the group's log.
	Holders   rattanholder.Holders
	Evacuated map[string]bool
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas int
	// Term is the newest known term of the group, 0 if none is.
	Term uint64
	// Era is the store's era, above whose numbers those of earlier eras never are.
	Era int64
}

// group returns what the request knows of the group.
func (r Request) group() rattansuccessor.Group {
	group := rattansuccessor.Group{
		Endpoints: r.endpoints(), Primary: r.Record.Primary, SyncReplicas: r.SyncReplicas,
		Unconfirmed: r.unconfirmedReplicas(), Evacuated: r.Evacuated, Unusable: make(map[string]bool), LostLogs: make(map[string]bool),
		Term: max(r.Term, r.Record.Term), TermHistory: r.Record.TermHistory,
	}
	known := append(slices.Clone(r.Endpoints), r.Unlisted...)
	for _, endpoint := range group.Endpoints {
		group.Unusable[endpoint.ID] = !contains(known, endpoint.ID)
		group.LostLogs[endpoint.ID] = r.Holders.HasLostLog(endpoint.ID)
	}
	return group
}

func contains(endpoints []rattancatalog.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(e rattancatalog.Endpoint) bool { return e.ID == id })
}

// endpoints returns all endpoints that may have a part of the group's log: those that are
// known to the store, and those that only the group's record names.
func (r Request) endpoints() []rattancatalog.Endpoint {
	known := append(slices.Clone(r.Endpoints), r.Unlisted...)
	endpoints := slices.DeleteFunc(slices.Clone(known), func(e rattancatalog.Endpoint) bool {
		return len(r.Holders) > 0 && !r.Holders.Contains(e.ID)
	})
	for _, holder := range r.Holders {
		if !contains(known, holder.ID) {
			endpoints = append(endpoints, holder.Endpoint(r.Group))
		}
	}
	return endpoints
}

// doubtful returns the endpoints that probably do not answer: those that may not be promoted
// or have no entry, and the primary if isUnreachable is true.
func (r Request) doubtful(isUnreachable bool) map[string]bool {
	ids := make(map[string]bool)
	for _, endpoint := range r.endpoints() {
		ids[endpoint.ID] = !contains(r.Endpoints, endpoint.ID)
	}
	if isUnreachable {
		ids[r.Record.Primary] = true
	}
	return ids
}
