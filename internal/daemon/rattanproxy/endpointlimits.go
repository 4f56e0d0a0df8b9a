package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanowner"
)

// limits returns this daemon's part of the connections that an endpoint accepts.
func (s *endpointSet) limits(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) rattanadmission.Limits {
	group, ok := snapshot.Catalog.Group(endpoint.Group)
	if !ok {
		return rattanadmission.Limits{Connections: 1, InFlight: 1}
	}
	budget := rattanowner.ConnectionBudget{
		MaxConnections: group.MaxConnections, Slots: endpoint.Slots, Accounts: snapshot.Catalog.AccountCount(),
	}
	if budget.IsScarce() {
		return s.scarceLimits(snapshot, endpoint, budget)
	}
	if owner, ok := s.proxy.owners.owner(snapshot, endpoint); ok && owner == s.proxy.settings.VM() {
		return rattanadmission.Limits{
			Connections: budget.OwnerConnections(), InFlight: budget.InFlight(), Idle: budget.Idle(), IsShared: snapshot.Catalog.IsShared(),
		}
	}
	// The connections left for daemons other than the owner are fewer than those
	// daemons, so none of them keeps an idle one.
	return rattanadmission.Limits{
		Connections: budget.FallbackConnections(), InFlight: budget.FallbackConnections(), Idle: rattanadmission.NoIdle,
		IsShared: snapshot.Catalog.IsShared(),
	}
}

// scarceLimits returns this daemon's part of an endpoint's connections where there are more
// accounts than connections.
func (s *endpointSet) scarceLimits(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint, budget rattanowner.ConnectionBudget) rattanadmission.Limits {
	role := s.role(snapshot, endpoint)
	if role.IsOwner && !role.IsSettled {
		s.checkDropped(endpoint.ID, budget)
	}
	part := budget.Part(role)
	if known, ok := s.parts[endpoint.ID]; part != known {
		s.parts[endpoint.ID] = part
		if ok || part.IsKept {
			s.proxy.logger.Info("connections_part", "endpoint", endpoint.ID, "connections", part.Connections, "kept", part.Idle)
		}
	}
	limits := rattanadmission.Limits{
		Connections: part.Connections, InFlight: part.InFlight, Idle: part.Idle, ByDemand: part.IsKept, IsShared: snapshot.Catalog.IsShared(),
	}
	if !part.IsKept {
		limits.Idle = rattanadmission.NoIdle
	}
	return limits
}

// role returns what this daemon is for an endpoint's connections.
func (s *endpointSet) role(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) rattanowner.Role {
	var role rattanowner.Role
	ranked := s.proxy.owners.ranked(snapshot, endpoint)
	if len(ranked) == 0 {
		return role
	}
	now, own, answers := s.proxy.clock.Now(), s.proxy.settings.VM(), true
	if upstream, ok := s.upstreams[endpoint.ID]; ok {
		answers = !upstream.IsSuspect()
		role.HasWaiting, role.Before = upstream.HasWaiting(), s.parts[endpoint.ID]
		role.IsRefused = now.Sub(upstream.RefusedAt()) < rattanowner.DarkConnectionTime
	}
	isRegistered := func(vm string) bool { _, ok := snapshot.VMs[vm]; return ok }
	role.IsSettled = s.tenures.Observe(endpoint.ID, ranked[0], answers, isRegistered, now)
	role.IsOwner = ranked[0] == own
	role.IsSuperseded = role.IsOwner && s.isSuperseded(snapshot, endpoint.ID)
	role.IsDeputy = len(ranked) > 1 && ranked[1] == own
	role.OwnerAnswers = !s.proxy.owners.isDoubtful(ranked[0])
	return role
}

// checkDropped asks an endpoint in the background whether it still counts connections of
// the owner before this daemon. The caller holds the lock.
func (s *endpointSet) checkDropped(id string, budget rattanowner.ConnectionBudget) {
	upstream, ok := s.upstreams[id]
	now := s.proxy.clock.Now()
	if !ok || upstream.IsSuspect() || now.Sub(s.checkedAt[id]) < refreshInterval {
		return
	}
	s.checkedAt[id] = now
	go func() {
		status, err := upstream.Status(statusTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil && budget.HasDropped(status.Connections, upstream.Held()) {
			s.tenures.Settle(id, s.proxy.settings.VM(), s.proxy.clock.Now())
		}
	}()
}

// isSuperseded reports whether another daemon is likely to own the connections to an
// endpoint without this one knowing: its registration has ended, and the others forward
// nothing to it any more.
func (s *endpointSet) isSuperseded(snapshot *rattancache.Snapshot, endpoint string) bool {
	if len(snapshot.VMs) < 2 {
		return false
	}
	_, until := s.proxy.registration.Lease()
	return s.proxy.boot.Now().After(until.Add(supersededAfter)) && s.proxy.forwarded.idleTime(endpoint) > supersededAfter
}
