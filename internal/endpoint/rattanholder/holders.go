// Package rattanholder remembers which endpoints may hold a part of a group's log. An
// endpoint without an entry in the store gets no work, but it may hold commits that no
// other one has, so its silence alone does not take it out. The package does no input or
// output.
package rattanholder

import (
	"slices"
	"strings"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A Holder is what is stored of an endpoint that may hold a part of the group's log.
type Holder struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// StartedUnixMS is the start of its process in Unix milliseconds.
	StartedUnixMS int64 `json:"started_unix_ms,omitempty"`
	// HasLostLog is true when it was started again under its id, and has not been seen since
	// to hold all acknowledged commits.
	HasLostLog bool `json:"lost_log,omitempty"`
	// Term is the newest term of the group in which the endpoint was seen.
	Term uint64 `json:"term,omitempty"`
	// IsDraining is true once the endpoint has announced that it will shut down.
	IsDraining bool `json:"draining,omitempty"`
}

// Endpoint returns the holder as an endpoint of a group that has no entry in the store.
func (h Holder) Endpoint(group string) rattancatalog.Endpoint {
	return rattancatalog.Endpoint{
		ID: h.ID, Group: group, Address: h.Address, StartedUnixMS: h.StartedUnixMS, IsDraining: h.IsDraining,
	}
}

// Holders are the endpoints that may hold a part of a group's log.
type Holders []Holder

// An Observation is what a daemon knows of the endpoints of a group.
type Observation struct {
	// Listed are the endpoints that have an entry in the store.
	Listed []rattancatalog.Endpoint
	// Unlisted are endpoints whose entry has disappeared a short while ago.
	Unlisted []rattancatalog.Endpoint
	// Term is that of the group's record.
	Term uint64
	// Abandoned are the endpoints that operators have declared lost for good.
	Abandoned map[string]bool
}

// Observe returns the holders after an observation. Only these leave them:
//   - an endpoint whose address belongs to another one that started later, to which its
//     log was transferred;
//   - an endpoint that an operator has declared lost and that has no entry.
func (h Holders) Observe(o Observation) Holders {
	observed := slices.Clone(h)
	for _, endpoint := range o.Listed {
		observed = observed.add(endpoint, o.Term)
	}
	for _, endpoint := range o.Unlisted {
		observed = observed.add(endpoint, 0)
	}
	return slices.DeleteFunc(observed, func(holder Holder) bool {
		return o.Abandoned[holder.ID] && !contains(o.Listed, holder.ID)
	})
}

// add returns the holders with an endpoint that was seen in a term.
func (h Holders) add(endpoint rattancatalog.Endpoint, term uint64) Holders {
	seen := Holder{
		ID: endpoint.ID, Address: endpoint.Address, StartedUnixMS: endpoint.StartedUnixMS, Term: term, IsDraining: endpoint.IsDraining,
	}
	at := h.index(endpoint.ID)
	isReplacement := at < 0
	if isReplacement {
		at = slices.IndexFunc(h, func(holder Holder) bool { return holder.Address == endpoint.Address && endpoint.Address != "" })
	}
	if at < 0 {
		return append(h, seen)
	}
	known := h[at]
	isLater := endpoint.StartedUnixMS > known.StartedUnixMS
	if endpoint.StartedUnixMS < known.StartedUnixMS || isReplacement && !isLater {
		// The entry is older than what is known of the holder or of its address.
		return h
	}
	seen.HasLostLog = known.HasLostLog
	if !isReplacement {
		seen.Term = max(term, known.Term)
		seen.HasLostLog = known.HasLostLog || isLater && known.StartedUnixMS != 0
	}
	h[at] = seen
	return h
}

// HasLostLog reports whether an endpoint has lost what its process held before.
func (h Holders) HasLostLog(id string) bool {
	at := h.index(id)
	return at >= 0 && h[at].HasLostLog
}

// WithLogs returns the holders after some were seen to hold all acknowledged commits.
func (h Holders) WithLogs(ids []string) Holders {
	seen := slices.Clone(h)
	for i := range seen {
		seen[i].HasLostLog = seen[i].HasLostLog && !slices.Contains(ids, seen[i].ID)
	}
	return seen
}

// Without returns the holders but those with the given ids.
func (h Holders) Without(ids []string) Holders {
	return slices.DeleteFunc(slices.Clone(h), func(holder Holder) bool { return slices.Contains(ids, holder.ID) })
}

// Contains reports whether an endpoint is among the holders.
func (h Holders) Contains(id string) bool { return h.index(id) >= 0 }

// BeginTerm returns the holders after a promote that began a new term with all acknowledged
// commits, so that a log which was lost before does not matter any more. Present are the
// endpoints that have an entry or have answered. One that was seen neither now nor in the term
// which has ended holds nothing that the new term lacks.
func (h Holders) BeginTerm(present []rattancatalog.Endpoint, ended, begun uint64) Holders {
	var remaining Holders
	for _, holder := range h {
		at := slices.IndexFunc(present, func(e rattancatalog.Endpoint) bool { return e.ID == holder.ID })
		switch {
		case at >= 0:
			holder.Term, holder.HasLostLog = begun, false
		case holder.Term < ended:
			continue
		}
		remaining = append(remaining, holder)
	}
	return remaining
}

// Sorted returns the holders in the order of their ids.
func (h Holders) Sorted() Holders {
	sorted := slices.Clone(h)
	slices.SortFunc(sorted, func(a, b Holder) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}

// IsEqual reports whether two lists have the same holders in any order.
func (h Holders) IsEqual(other Holders) bool { return slices.Equal(h.Sorted(), other.Sorted()) }

func (h Holders) index(id string) int {
	return slices.IndexFunc(h, func(holder Holder) bool { return holder.ID == id })
}

func contains(endpoints []rattancatalog.Endpoint, id string) bool {
	return slices.ContainsFunc(endpoints, func(e rattancatalog.Endpoint) bool { return e.ID == id })
}
