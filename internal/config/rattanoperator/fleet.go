package rattanoperator

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// GetFleet returns all daemons and failure domains. Every team may call it.
func (s *Service) GetFleet(ctx context.Context, request *connect.Request[rattanv1.GetFleetRequest]) (*connect.Response[rattanv1.GetFleetResponse], error) {
	if _, err := s.authenticate(ctx, request.Header()); err != nil {
		return nil, err
	}
	snapshot := s.settings.Snapshot()
	response := &rattanv1.GetFleetResponse{Revision: snapshot.MaxRevision()}
	for _, daemon := range s.fleet.Daemons() {
		response.Daemons = append(response.Daemons, &rattanv1.Daemon{
			Vm: daemon.VM, FailureDomain: daemon.FailureDomain, Incarnation: daemon.Incarnation,
			State: daemon.State, SilentMs: uint64(daemon.Silent.Milliseconds()), Revision: daemon.Revision,
			PeerAddress: daemon.PeerAddress, Running: daemon.Running,
		})
	}
	slices.SortFunc(response.Daemons, func(a, b *rattanv1.Daemon) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	for _, domain := range snapshot.FailureDomains() {
		running, started := s.fleet.DomainLoad(domain.Name())
		response.FailureDomains = append(response.FailureDomains, &rattanv1.DomainState{
			Name: domain.Name(), Drained: domain.Drained(), Running: running, Started: started,
		})
	}
	return connect.NewResponse(response), nil
}

// GetGroups returns the team's groups, or all groups for team root.
func (s *Service) GetGroups(ctx context.Context, request *connect.Request[rattanv1.GetGroupsRequest]) (*connect.Response[rattanv1.GetGroupsResponse], error) {
	op, err := s.authenticate(ctx, request.Header())
	if err != nil {
		return nil, err
	}
	response := &rattanv1.GetGroupsResponse{}
	for _, group := range s.groups.Groups() {
		if team, _, _ := strings.Cut(group.Name, "/"); op.mayAccess(team) {
			response.Groups = append(response.Groups, wireGroup(group))
		}
	}
	slices.SortFunc(response.Groups, func(a, b *rattanv1.GroupState) int { return strings.Compare(a.GetGroup(), b.GetGroup()) })
	return connect.NewResponse(response), nil
}

func wireGroup(group Group) *rattanv1.GroupState {
	state := &rattanv1.GroupState{Group: group.Name, Term: group.Term, Primary: group.Primary, Phase: group.Phase}
	for _, endpoint := range group.Endpoints {
		state.Endpoints = append(state.Endpoints, &rattanv1.EndpointState{
			Name: endpoint.Name, FailureDomain: endpoint.FailureDomain, Role: endpoint.Role,
			Term: endpoint.Term, Index: endpoint.Index, Reachable: endpoint.Reachable,
			Drained: endpoint.Drained, Breaker: endpoint.Breaker, Running: endpoint.Running,
		})
	}
	return state
}

// SwitchPrimary runs a planned switchover of a group. The request has full names.
func (s *Service) SwitchPrimary(ctx context.Context, request *connect.Request[rattanv1.SwitchPrimaryRequest]) (*connect.Response[rattanv1.SwitchPrimaryResponse], error) {
	name, endpoint := request.Msg.GetGroup(), request.Msg.GetEndpoint()
	team, _, _ := strings.Cut(name, "/")
	if _, err := s.authorize(ctx, request.Header(), team); err != nil {
		return nil, err
	}
	group, found := s.settings.Snapshot().Group(name)
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no such group; accepted: <team>/<group>"))
	}
	if endpoint != "" && !slices.Contains(group.Endpoints(), endpoint) {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.New("the endpoint is not in the group; accepted: "+strings.Join(group.Endpoints(), ", ")))
	}
	switched, err := s.groups.Switchover(ctx, name, endpoint)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&rattanv1.SwitchPrimaryResponse{
		Term: switched.Term, Primary: switched.Primary, GapMs: uint32(switched.Gap.Milliseconds()),
	}), nil
}

// Dump returns this daemon's state as JSON. Only team root may call it.
func (s *Service) Dump(ctx context.Context, request *connect.Request[rattanv1.DumpRequest]) (*connect.Response[rattanv1.DumpResponse], error) {
	if _, err := s.authorize(ctx, request.Header(), rattansettings.RootTeam); err != nil {
		return nil, err
	}
	json, ok := s.dumper.Dump(request.Msg.GetPart())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the daemon's state has no such part"))
	}
	// The parts leave out their own secrets. Redact also hides keys and credentials
	// in text that callers have sent.
	return connect.NewResponse(&rattanv1.DumpResponse{Json: []byte(rattansettings.Redact(string(json)))}), nil
}
