package rattanproxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandrain"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfreshness"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattaninventory"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanowner"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

const (
	// missingGrace is how long an endpoint whose entry has disappeared is still
	// used: entries that expired while the store was unavailable are back within two
	// seconds of its return.
	missingGrace = 2500 * time.Millisecond
	// refreshInterval separates two checks for endpoints that have disappeared or
	// do not answer.
	refreshInterval = 200 * time.Millisecond
	// statusTimeout limits the request for the connections that an endpoint counts.
	statusTimeout = 150 * time.Millisecond
	// supersededAfter is how long after the end of its registration, and after the last
	// forwarded statement, a daemon assumes that another one is the owner.
	supersededAfter = 1 * time.Second
)

// An endpointSet holds the upstreams of all endpoints. It implements
// rattandispatch.Endpoints.
type endpointSet struct {
	proxy *Proxy

	mu sync.Mutex
	// upstreams are those of all endpoints, by id; groups lists those that may get
	// new requests, by group.
	upstreams map[string]*rattanupstream.Upstream
	groups    map[string][]*rattanupstream.Upstream
	// missingSince is since when an endpoint's entry has been missing.
	missingSince map[string]time.Time
	// drains decides until when endpoints that go out of service get new statements.
	drains *rattandrain.Tracker
	// tenures tell whether this daemon may use all connections of an owner.
	tenures rattanowner.Tenures
	// parts are this daemon's parts of the connections where they are scarce, by id of
	// the endpoint.
	parts map[string]rattanowner.Part
	// checkedAt is when an endpoint was last asked for its connections.
	checkedAt map[string]time.Time
	// histories are the known positions of the groups' primaries.
	histories map[string]*rattanfreshness.History
	// replicas are the known positions of all endpoints.
	replicas *rattanfreshness.Replicas
	wake     chan struct{}
}

func newEndpointSet(p *Proxy) *endpointSet {
	return &endpointSet{
		proxy:        p,
		upstreams:    make(map[string]*rattanupstream.Upstream),
		groups:       make(map[string][]*rattanupstream.Upstream),
		missingSince: make(map[string]time.Time),
		drains: rattandrain.New(rattandrain.Limits{
			Draining: p.settings.DrainLimit(), Evacuated: p.settings.EvacuationLimit(),
		}),
		parts:     make(map[string]rattanowner.Part),
		checkedAt: make(map[string]time.Time),
		histories: make(map[string]*rattanfreshness.History),
		replicas:  rattanfreshness.NewReplicas(),
		wake:      make(chan struct{}, 1),
	}
}

// run updates the upstreams whenever the cached endpoints change, and at least
// every refreshInterval.
func (s *endpointSet) run(ctx context.Context) error {
	report := newQueueReport(s.proxy)
	for ctx.Err() == nil {
		report.update(s.all())
		s.proxy.cache.Refresh()
		// Read before the snapshot, which is then complete as of that time.
		confirmedAt := s.proxy.grants.SyncedAt()
		snapshot, changed := s.proxy.cache.Changed()
		s.update(snapshot, confirmedAt)
		s.proxy.loads.prune(func(id string) bool { return !s.isRemoved(id) }, func(vm string) bool {
			_, ok := snapshot.VMs[vm]
			return ok
		})
		s.probeReported(snapshot)
		s.proxy.registration.setUnreachable(s.unreachable(snapshot))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.wake:
		case <-s.proxy.clock.After(refreshInterval):
		}
	}
	s.closeAll()
	return nil
}

func (s *endpointSet) wakeUp() { notify(s.wake) }

// update updates the upstreams to a snapshot that the store has confirmed to be
// complete as of confirmedAt.
func (s *endpointSet) update(snapshot *rattancache.Snapshot, confirmedAt time.Time) {
	now := s.proxy.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, endpoint := range snapshot.Endpoints {
		delete(s.missingSince, id)
		limits := s.limits(snapshot, endpoint)
		if upstream, ok := s.upstreams[id]; ok {
			upstream.Update(endpoint, limits)
			continue
		}
		s.upstreams[id] = rattanupstream.New(s.proxy.clock, s.proxy.platform.Dial, s.proxy.grants, endpoint, limits, s.proxy.metrics.count, s.wakeUp)
		s.upstreams[id].SetAnswerObserver(s.proxy)
		if s.proxy.usage != nil {
			s.upstreams[id].SetRunCounter(s.proxy.usage)
		}
		s.proxy.logger.Info("endpoint_found", "endpoint", id, "group", endpoint.Group, "failure_domain", endpoint.FailureDomain,
			"draining", endpoint.IsDraining)
	}
	for id, upstream := range s.upstreams {
		if _, ok := snapshot.Endpoints[id]; ok {
			continue
		}
		since, ok := s.missingSince[id]
		if !ok {
			s.missingSince[id] = now
		} else if now.Sub(since) > missingGrace {
			s.proxy.logger.Info("endpoint_gone", "endpoint", id)
			delete(s.upstreams, id)
			delete(s.missingSince, id)
			s.drains.Forget(id)
			s.replicas.Forget(id)
			s.tenures.Forget(id)
			delete(s.parts, id)
			delete(s.checkedAt, id)
			upstream.Close()
		}
	}
	s.limitNewStatements(snapshot, confirmedAt)
	s.index(snapshot)
}

// limitNewStatements sets until when each endpoint gets new statements.
func (s *endpointSet) limitNewStatements(snapshot *rattancache.Snapshot, confirmedAt time.Time) {
	for id, upstream := range s.upstreams {
		endpoint := upstream.Endpoint()
		isEvacuated := snapshot.Evacuated[endpoint.FailureDomain]
		_, wasLimited := s.drains.Deadline(id)
		s.drains.Observe(endpoint, isEvacuated, confirmedAt)
		deadline, isLimited := s.drains.Deadline(id)
		// The tracker's times are those of the boot clock.
		remaining := deadline.Sub(s.proxy.boot.Now())
		if isLimited != wasLimited {
			s.proxy.logger.Info("endpoint_leaving", "endpoint", id, "group", endpoint.Group, "leaving", isLimited,
				"draining", endpoint.IsDraining, "evacuated", isEvacuated, "new_statements_ms", max(remaining, 0).Milliseconds())
		}
		if !isLimited {
			upstream.SetNewStatementsUntil(time.Time{})
			continue
		}
		upstream.SetNewStatementsUntil(s.proxy.clock.Now().Add(remaining))
	}
}

// index lists the endpoints of each group that may get new requests.
func (s *endpointSet) index(snapshot *rattancache.Snapshot) {
	candidates := make(map[string][]rattandrain.Candidate)
	for id, upstream := range s.upstreams {
		endpoint := upstream.Endpoint()
		candidates[endpoint.Group] = append(candidates[endpoint.Group], rattandrain.Candidate{
			ID: id, IsLeaving: endpoint.IsDraining || snapshot.Evacuated[endpoint.FailureDomain],
			AcceptsNew: upstream.AcceptsNewStatements(), Answers: !upstream.IsSuspect(),
		})
	}
	s.groups = make(map[string][]*rattanupstream.Upstream, len(candidates))
	for group, list := range candidates {
		for _, id := range rattandrain.Usable(list) {
			s.groups[group] = append(s.groups[group], s.upstreams[id])
		}
	}
}

// openAhead opens connections ahead of demand at the endpoints whose scarce connections
// this daemon owns.
func (s *endpointSet) openAhead(ctx context.Context) error {
	for s.proxy.sleep(ctx, rattaninventory.AheadInterval) {
		s.mu.Lock()
		for _, upstream := range s.upstreams {
			if upstream.IsByDemand() {
				go upstream.OpenAhead()
			}
		}
		s.mu.Unlock()
	}
	return nil
}

// Upstreams implements rattandispatch.Endpoints.
func (s *endpointSet) Upstreams(group string) []*rattanupstream.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[group]
}

// Upstream implements rattandispatch.Endpoints.
func (s *endpointSet) Upstream(id string) (*rattanupstream.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstream, ok := s.upstreams[id]
	return upstream, ok
}

// all returns a copy of the upstreams of all endpoints, by id.
func (s *endpointSet) all() map[string]*rattanupstream.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.upstreams)
}

// IsLocal implements rattandispatch.Endpoints.
func (s *endpointSet) IsLocal(endpoint rattancatalog.Endpoint) bool {
	return endpoint.FailureDomain == s.proxy.settings.FailureDomain()
}

// History implements rattandispatch.Endpoints.
func (s *endpointSet) History(group string) *rattanfreshness.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	history, ok := s.histories[group]
	if !ok {
		history = &rattanfreshness.History{}
		s.histories[group] = history
	}
	return history
}

// Replicas implements rattandispatch.Endpoints.
func (s *endpointSet) Replicas() *rattanfreshness.Replicas { return s.replicas }

// unreachable returns the endpoints that do not answer this daemon and on which it
// reports.
func (s *endpointSet) unreachable(snapshot *rattancache.Snapshot) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, upstream := range s.upstreams {
		if upstream.IsSuspect() && s.proxy.juries.mayReport(snapshot, upstream.Endpoint()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reachable returns how many endpoints answer, and how many there are.
func (s *endpointSet) reachable() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, upstream := range s.upstreams {
		if !upstream.IsSuspect() {
			count++
		}
	}
	return count, len(s.upstreams)
}

// probeReported probes the endpoints that another daemon reports as unreachable, if
// this daemon is on their jury, so that the jurors soon agree on whether an endpoint is
// lost.
func (s *endpointSet) probeReported(snapshot *rattancache.Snapshot) {
	for _, vm := range snapshot.VMs {
		for _, id := range vm.Unreachable {
			if upstream, ok := s.Upstream(id); ok && !upstream.IsSuspect() && s.proxy.juries.isJuror(snapshot, id) {
				upstream.ObserveTimeout()
			}
		}
	}
}

// probeAll probes every endpoint to find out which ones answer.
func (s *endpointSet) probeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, upstream := range s.upstreams {
		upstream.ObserveTimeout()
	}
}

// isRemoved reports whether an endpoint has no upstream: its entry has been
// missing for longer than missingGrace, or never existed.
func (s *endpointSet) isRemoved(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.upstreams[id]
	return !ok
}

// unlisted returns the endpoints of a group that have no entry in a snapshot and are still
// used.
func (s *endpointSet) unlisted(snapshot *rattancache.Snapshot, group string) []rattancatalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var endpoints []rattancatalog.Endpoint
	for id, upstream := range s.upstreams {
		endpoint := upstream.Endpoint()
		if _, isListed := snapshot.Endpoints[id]; !isListed && endpoint.Group == group {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// acceptsNewStatements reports whether an endpoint may get new statements. One that is
// not yet known may.
func (s *endpointSet) acceptsNewStatements(id string) bool {
	upstream, ok := s.Upstream(id)
	return !ok || upstream.AcceptsNewStatements()
}

func (s *endpointSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, upstream := range s.upstreams {
		upstream.Close()
	}
}

// State returns the state of all upstreams, for dumps.
func (s *endpointSet) State() []rattanupstream.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]rattanupstream.State, 0, len(s.upstreams))
	for _, upstream := range s.upstreams {
		states = append(states, upstream.State())
	}
	return states
}
