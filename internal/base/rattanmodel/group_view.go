package rattanmodel

import "time"

// An EndpointView is what a daemon knows of one endpoint of a group.
type EndpointView struct {
	Name          string
	Address       string
	FailureDomain string
	// Position is the last position that the endpoint is known to hold.
	Position Position
	// Age bounds the age of the endpoint's data at Observed; valid when AgeKnown.
	Age        time.Duration
	AgeKnown   bool
	ObservedAt time.Time
	// Reachable is false while the daemon cannot reach the endpoint.
	Reachable bool
	// Drained is true while operators have taken the endpoint or its failure domain out.
	Drained bool
}

// A GroupView is what a daemon knows of a group. Primary is empty while no
// endpoint is known to be primary of Term.
type GroupView struct {
	Group       string
	Term        uint64
	Primary     string
	TermHistory TermHistory
	Endpoints   []EndpointView
}

// Endpoint returns the endpoint of that name.
func (v GroupView) Endpoint(name string) (EndpointView, bool) {
	for _, endpoint := range v.Endpoints {
		if endpoint.Name == name {
			return endpoint, true
		}
	}
	return EndpointView{}, false
}

// Majority returns the number of endpoints that make a majority of the group.
func (v GroupView) Majority() int {
	return len(v.Endpoints)/2 + 1
}
