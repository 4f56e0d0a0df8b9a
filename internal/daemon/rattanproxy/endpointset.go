package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfreshness"
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
	// histories are the known positions of the groups' primaries.
	histories map[string]*rattanfreshness.History
	wake      chan struct{}
}

func newEndpointSet(p *Proxy) *endpointSet {
	return &endpointSet{
		proxy:        p,
		upstreams:    make(map[string]*rattanupstream.Upstream),
		groups:       make(map[string][]*rattanupstream.Upstream),
		missingSince: make(map[string]time.Time),
		histories:    make(map[string]*rattanfreshness.History),
		wake:         make(chan struct{}, 1),
	}
}

// run updates the upstreams whenever the cached endpoints change, and at least
// every refreshInterval.
func (s *endpointSet) run(ctx context.Context) error {
	for ctx.Err() == nil {
		snapshot, changed := s.proxy.cache.Changed()
		s.update(snapshot)
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

func (s *endpointSet) update(snapshot *rattancache.Snapshot) {
	now := s.proxy.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, endpoint := range snapshot.Endpoints {
		delete(s.missingSince, id)
		limits := s.limits(snapshot, endpoint)
		if upstream, ok := s.upstreams[id]; ok {
			s.logDrainChange(upstream.Endpoint(), endpoint)
			upstream.Update(endpoint, limits)
			continue
		}
		s.upstreams[id] = rattanupstream.New(s.proxy.clock, s.proxy.platform.Dial, s.proxy.grants, endpoint, limits, s.wakeUp)
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
			upstream.Close()
		}
	}
	s.index(snapshot)
}

// logDrainChange logs when an endpoint begins to drain, or no longer does.
func (s *endpointSet) logDrainChange(before, after rattancatalog.Endpoint) {
	if before.IsDraining != after.IsDraining {
		s.proxy.logger.Info("endpoint_draining", "endpoint", after.ID, "group", after.Group, "draining", after.IsDraining)
	}
}

// index lists the endpoints of each group that may get new requests.
func (s *endpointSet) index(snapshot *rattancache.Snapshot) {
	groups := make(map[string][]*rattanupstream.Upstream)
	for _, upstream := range s.upstreams {
		endpoint := upstream.Endpoint()
		if endpoint.IsDraining || snapshot.Evacuated[endpoint.FailureDomain] {
			continue
		}
		groups[endpoint.Group] = append(groups[endpoint.Group], upstream)
	}
	s.groups = groups
}

// limits returns this daemon's part of the connections that an endpoint accepts.
func (s *endpointSet) limits(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) rattanadmission.Limits {
	group, ok := snapshot.Catalog.Group(endpoint.Group)
	if !ok {
		return rattanadmission.Limits{Connections: 1, InFlight: 1}
	}
	budget := rattanowner.ConnectionBudget{MaxConnections: group.MaxConnections, Slots: endpoint.Slots}
	owner, ok := s.proxy.owners.owner(snapshot, endpoint)
	if ok && owner == s.proxy.settings.VM() {
		return rattanadmission.Limits{Connections: budget.OwnerConnections(), InFlight: budget.InFlight(), Idle: budget.Idle()}
	}
	// The connections left for daemons other than the owner are fewer than those
	// daemons, so none of them keeps an idle one.
	return rattanadmission.Limits{Connections: budget.FallbackConnections(), InFlight: budget.FallbackConnections(), Idle: rattanadmission.NoIdle}
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
