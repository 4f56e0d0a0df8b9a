package rattanfailover

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Member is one endpoint of a group, from the settings.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	Drained       bool
}

// A Tracker holds the view of every group: its members from the settings and what
// was observed of them. A view never goes back to a lower term. It is safe for
// concurrent use.
type Tracker struct {
	clock  rattanclock.Clock
	mu     sync.Mutex
	groups map[string]*trackedGroup
	// groupOf maps every configured endpoint to its group.
	groupOf map[string]string
}

type trackedGroup struct {
	view rattanmodel.GroupView
	// observed has the highest terms that each endpoint has reported.
	observed map[string]observedTerms
	// higherPromiseSince is when a member was first observed to have promised a
	// higher term than the known primary's, and so to refuse the primary; zero while
	// no member has.
	higherPromiseSince time.Time
}

type observedTerms struct{ term, promised uint64 }

// NewTracker returns a Tracker without groups.
func NewTracker(clock rattanclock.Clock) *Tracker {
	return &Tracker{clock: clock, groups: map[string]*trackedGroup{}, groupOf: map[string]string{}}
}

// SetGroup adds a group or replaces its members. The term stays, and so does what
// was observed of members that remain.
func (t *Tracker) SetGroup(group string, members ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[group]
	if tracked == nil {
		tracked = &trackedGroup{view: rattanmodel.GroupView{Group: group}, observed: map[string]observedTerms{}}
		t.groups[group] = tracked
	}
	endpoints := make([]rattanmodel.EndpointView, 0, len(members))
	for _, old := range tracked.view.Endpoints {
		delete(t.groupOf, old.Name)
	}
	for _, member := range members {
		endpoint, _ := tracked.view.Endpoint(member.Name)
		endpoint.Name, endpoint.Address = member.Name, member.Address
		endpoint.FailureDomain, endpoint.Drained = member.FailureDomain, member.Drained
		endpoints = append(endpoints, endpoint)
		t.groupOf[member.Name] = group
	}
	tracked.view.Endpoints = endpoints
	if _, ok := tracked.view.Endpoint(tracked.view.Primary); !ok {
		tracked.view.Primary = ""
	}
}

// RemoveGroup removes a group that is no longer in the settings.
func (t *Tracker) RemoveGroup(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.groups[group]; tracked != nil {
		for _, endpoint := range tracked.view.Endpoints {
			delete(t.groupOf, endpoint.Name)
		}
		delete(t.groups, group)
	}
}

// View returns the view of a group. It has no endpoints when the group is unknown.
func (t *Tracker) View(group string) rattanmodel.GroupView {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[group]
	if tracked == nil {
		return rattanmodel.GroupView{Group: group}
	}
	view := tracked.view
	view.Endpoints = slices.Clone(view.Endpoints)
	view.TermHistory = slices.Clone(view.TermHistory)
	return view
}

// Observe records a status that an endpoint has just sent. The endpoint is named
// as in the settings; the names inside the status are not trusted. The age in the
// view counts from now and not from when the endpoint measured it. It is only a
// hint for the choice of a replica: the endpoint itself checks the age for a read.
func (t *Tracker) Observe(endpoint string, status *rattanv1.EndpointStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[t.groupOf[endpoint]]
	if tracked == nil || status == nil {
		return
	}
	at := slices.IndexFunc(tracked.view.Endpoints, func(e rattanmodel.EndpointView) bool { return e.Name == endpoint })
	view := &tracked.view.Endpoints[at]
	view.Reachable = true
	seen := tracked.observed[endpoint]
	if status.GetTerm() < seen.term || status.GetPromisedTerm() < seen.promised {
		// A delayed response: the endpoint has reported a higher term since.
		return
	}
	position := rattanmodel.PositionFromWire(status.GetPosition())
	if status.GetTerm() > seen.term {
		// An endpoint that joins a term may truncate its log, so its position may
		// go back.
		view.Position = position
	}
	view.Position = view.Position.Max(position)
	view.Age = time.Duration(status.GetAgeMs()) * time.Millisecond
	view.AgeKnown, view.ObservedAt = status.GetAgeKnown(), t.clock.Now()
	tracked.observed[endpoint] = observedTerms{term: status.GetTerm(), promised: status.GetPromisedTerm()}
	tracked.observePrimary(endpoint, status)
	tracked.updateHigherPromise(t.clock.Now())
}

// ObserveFailure records that a call to an endpoint failed.
func (t *Tracker) ObserveFailure(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[t.groupOf[endpoint]]
	if tracked == nil {
		return
	}
	for i := range tracked.view.Endpoints {
		if tracked.view.Endpoints[i].Name == endpoint {
			tracked.view.Endpoints[i].Reachable = false
		}
	}
}

func (g *trackedGroup) observePrimary(endpoint string, status *rattanv1.EndpointStatus) {
	isPrimary := status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
	switch {
	case isPrimary && status.GetTerm() >= g.view.Term:
		g.view.Term, g.view.Primary = status.GetTerm(), endpoint
		g.view.TermHistory = rattanmodel.TermHistoryFromWire(status.GetLineage())
	case !isPrimary && status.GetTerm() > g.view.Term:
		// A replica has joined a term whose primary has not been seen yet.
		g.view.Term, g.view.Primary = status.GetTerm(), ""
		g.view.TermHistory = rattanmodel.TermHistoryFromWire(status.GetLineage())
	case !isPrimary && endpoint == g.view.Primary:
		// The primary was fenced. The term stays until a higher one begins.
		g.view.Primary = ""
	}
}

// Merge merges a view of another daemon or, as a hint, of the platform. Only a
// higher term changes the primary. A position is only raised, and only when both
// positions are of the same term.
func (t *Tracker) Merge(view rattanmodel.GroupView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[view.Group]
	if tracked == nil || view.Term < tracked.view.Term {
		return
	}
	if view.Term > tracked.view.Term {
		tracked.view.Term, tracked.view.TermHistory = view.Term, slices.Clone(view.TermHistory)
		tracked.view.Primary = ""
		if _, ok := tracked.view.Endpoint(view.Primary); ok {
			tracked.view.Primary = view.Primary
		}
		tracked.updateHigherPromise(t.clock.Now())
	}
	for i := range tracked.view.Endpoints {
		mine := &tracked.view.Endpoints[i]
		if theirs, ok := view.Endpoint(mine.Name); ok && theirs.Position.Term == mine.Position.Term {
			mine.Position = mine.Position.Max(theirs.Position)
		}
	}
}

func (g *trackedGroup) updateHigherPromise(now time.Time) {
	ahead := false
	for _, endpoint := range g.view.Endpoints {
		ahead = ahead || g.view.Primary != "" && g.observed[endpoint.Name].promised > g.view.Term
	}
	switch {
	case !ahead:
		g.higherPromiseSince = time.Time{}
	case g.higherPromiseSince.IsZero():
		g.higherPromiseSince = now
	}
}

// HigherPromiseDuration returns for how long a member has refused the current
// primary because it has promised a higher term to a coordinator that did not
// complete its promotion. It is 0 when no member has.
func (t *Tracker) HigherPromiseDuration(group string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.groups[group]
	if tracked == nil || tracked.higherPromiseSince.IsZero() {
		return 0
	}
	return t.clock.Now().Sub(tracked.higherPromiseSince)
}
