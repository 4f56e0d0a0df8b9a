// Package rattandrain decides until when an endpoint that goes out of service may
// still get new statements. An endpoint goes out of service when it drains, or when
// its failure domain is evacuated. Both have to be respected by every daemon within a
// time limit after the store acknowledged them, whether or not another endpoint can
// take over: the limit counts from the last time at which the store confirmed that the
// endpoint stayed, so a daemon that learns of it late stops no later.
package rattandrain

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// sendMargin is how long before the limit a daemon stops sending new statements: the
// first statement of a transaction follows the answer to its begin.
const sendMargin = 500 * time.Millisecond

// Limits are how long an endpoint may get new statements after the store acknowledged
// that it goes out of service.
type Limits struct {
	// Draining applies when the endpoint drains, Evacuated when its failure domain is
	// evacuated.
	Draining, Evacuated time.Duration
}

// A Tracker tracks the endpoints of one daemon. It is not safe for concurrent use.
type Tracker struct {
	limits    Limits
	endpoints map[string]*observation
}

// observation is what is known of one endpoint. The times are when the store last
// confirmed that the endpoint did not drain or was not evacuated, zero for never.
type observation struct {
	startedUnixMS           int64
	isDraining, isEvacuated bool
	notDraining             time.Time
	notEvacuated            time.Time
}

// New returns a Tracker that knows no endpoint.
func New(limits Limits) *Tracker {
	return &Tracker{limits: limits, endpoints: make(map[string]*observation)}
}

// Observe records an endpoint as the daemon's copy of the store holds it. The store
// has confirmed that the copy was complete at confirmedAt; the zero time means that it
// has not yet.
func (t *Tracker) Observe(endpoint rattancatalog.Endpoint, isEvacuated bool, confirmedAt time.Time) {
	o, ok := t.endpoints[endpoint.ID]
	if !ok || o.startedUnixMS != endpoint.StartedUnixMS {
		o = &observation{startedUnixMS: endpoint.StartedUnixMS}
		t.endpoints[endpoint.ID] = o
	}
	o.isDraining, o.isEvacuated = endpoint.IsDraining, isEvacuated
	if !o.isDraining {
		o.notDraining = confirmedAt
	}
	if !o.isEvacuated {
		o.notEvacuated = confirmedAt
	}
}

// Forget drops an endpoint that is gone.
func (t *Tracker) Forget(id string) { delete(t.endpoints, id) }

// Deadline returns when the daemon stops sending new statements to an endpoint, or
// false if the endpoint stays in service.
func (t *Tracker) Deadline(id string) (time.Time, bool) {
	o, ok := t.endpoints[id]
	if !ok || !o.isDraining && !o.isEvacuated {
		return time.Time{}, false
	}
	drained := o.notDraining.Add(t.limits.Draining - sendMargin)
	evacuated := o.notEvacuated.Add(t.limits.Evacuated - sendMargin)
	switch {
	case !o.isEvacuated:
		return drained, true
	case !o.isDraining || evacuated.Before(drained):
		return evacuated, true
	default:
		return drained, true
	}
}
