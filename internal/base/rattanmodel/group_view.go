package rattanmodel

import "time"

// An EndpointView is the state of one endpoint of a group as a daemon last observed
// it.
type EndpointView struct {
	Name          string
	Address       string
	FailureDomain string
	// Position is the last position that the endpoint is known to hold.
	Position Position
	// Age is an upper bound on the age of the endpoint's data at ObservedAt. It is
	// valid only when AgeKnown is true.
	Age      time.Duration
	AgeKnown bool
	// ObservedAt is when the daemon received the endpoint's latest status.
	ObservedAt time.Time
	// Reachable is false while the daemon cannot reach the endpoint.
	Reachable bool
	// Drained is true while the endpoint or its failure domain is taken out by
	// operators.
	Drained bool
}

// A GroupView is the state of a group as a daemon last observed it.
type GroupView struct {
	Group string
	Term  uint64
	// Primary is the endpoint that is the primary of Term. It is empty while the
	// daemon knows of none.
	Primary     string
	TermHistory TermHistory
	Endpoints   []EndpointView
}

// Endpoint returns the view of the endpoint with the given name and whether the group
// has one.
func (v GroupView) Endpoint(name string) (EndpointView, bool) {
	for _, endpoint := range v.Endpoints {
		if endpoint.Name == name {
			return endpoint, true
		}
	}
	return EndpointView{}, false
}

// Majority returns the smallest number of endpoints that is a majority of the group.
func (v GroupView) Majority() int {
	return len(v.Endpoints)/2 + 1
}
