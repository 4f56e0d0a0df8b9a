package rattandaemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattanoperator"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
)

// operatorHandler returns the handler of the OperatorService.
func (d *Daemon) operatorHandler() http.Handler {
	view := &operatorView{daemon: d, load: &fleetLoad{clock: d.clock, query: d.queryLoads}}
	service := rattanoperator.New(rattanoperator.Dependencies{
		Clock:    d.clock,
		Store:    d.store,
		Settings: view,
		Keyring:  d.keyring,
		Fleet:    view,
		Groups:   view,
		Dumper:   view,
	}, rattanoperator.WithBootstrapCredential(d.process.Daemon().BootstrapCredential()))
	mux := http.NewServeMux()
	mux.Handle(service.Handler())
	return mux
}

// An operatorView provides this daemon's state to the OperatorService.
type operatorView struct {
	daemon *Daemon
	load   *fleetLoad
}

var (
	_ rattanoperator.SettingsSource = (*operatorView)(nil)
	_ rattanoperator.Fleet          = (*operatorView)(nil)
	_ rattanoperator.Groups         = (*operatorView)(nil)
	_ rattanoperator.Dumper         = (*operatorView)(nil)
)

// Snapshot implements rattanoperator.SettingsSource.
func (v *operatorView) Snapshot() *rattansettings.Snapshot { return v.daemon.configuration.snapshot() }

// Daemons implements rattanoperator.Fleet.
func (v *operatorView) Daemons() []rattanoperator.Daemon {
	members := v.daemon.members.Members()
	daemons := make([]rattanoperator.Daemon, 0, len(members))
	for _, member := range members {
		daemons = append(daemons, rattanoperator.Daemon{
			VM:            member.VM,
			FailureDomain: member.FailureDomain,
			Incarnation:   member.Incarnation,
			State:         displayedState(member),
			Live:          member.Live,
			Silent:        member.SinceHeartbeat,
			Revision:      member.Revisions.Settings,
			PeerAddress:   member.Addresses.Peer,
			Running:       member.Running,
		})
	}
	return daemons
}

// displayedState returns the state of a daemon for operators: "silent" if it is
// neither live nor leaving.
func displayedState(member rattanmember.Member) string {
	if !member.Live && member.State != rattanmember.Leaving {
		return "silent"
	}
	return string(member.State)
}

// InForce implements rattanoperator.Fleet. A daemon that published the same digest
// of revisions as this daemon's has the same documents in force.
func (v *operatorView) InForce(vm, team string, revision uint64) bool {
	snapshot := v.Snapshot()
	if snapshot.Revision(team) < revision {
		return false
	}
	if vm == v.daemon.self.VM {
		return true
	}
	member, ok := v.daemon.members.Member(vm)
	return ok && member.Revisions.Digest == snapshot.Digest()
}

// DomainLoad implements rattanoperator.Fleet.
func (v *operatorView) DomainLoad(failureDomain string) (running, started uint32) {
	load := v.load.domain(failureDomain)
	return load.running, load.started
}

// Groups implements rattanoperator.Groups.
func (v *operatorView) Groups() []rattanoperator.Group {
	var groups []rattanoperator.Group
	for _, settings := range v.Snapshot().Groups() {
		view := v.daemon.groups.View(settings.Name())
		group := rattanoperator.Group{Name: view.Group, Term: view.Term, Primary: view.Primary, Phase: phase(view)}
		for _, endpoint := range view.Endpoints {
			group.Endpoints = append(group.Endpoints, v.endpoint(view, endpoint))
		}
		groups = append(groups, group)
	}
	return groups
}

func phase(view rattanmodel.GroupView) string {
	if view.Primary == "" {
		return "no_primary"
	}
	return "serving"
}

func (v *operatorView) endpoint(view rattanmodel.GroupView, endpoint rattanmodel.EndpointView) rattanoperator.Endpoint {
	shown := rattanoperator.Endpoint{
		Name:          endpoint.Name,
		FailureDomain: endpoint.FailureDomain,
		Role:          "replica",
		Term:          endpoint.Position.Term,
		Index:         endpoint.Position.Index,
		Reachable:     endpoint.Reachable,
		Drained:       endpoint.Drained,
	}
	if endpoint.Name == view.Primary {
		shown.Role = "primary"
	}
	if found, ok := v.daemon.endpoints.Find(endpoint.Name); ok {
		shown.Breaker = found.Pool().Breaker().String()
		shown.Running = uint32(found.Running())
	}
	return shown
}

// Switchover implements rattanoperator.Groups.
func (v *operatorView) Switchover(ctx context.Context, group, endpoint string) (rattanoperator.SwitchoverResult, error) {
	promotion, err := v.daemon.groups.Switchover(ctx, group, endpoint)
	if err != nil {
		// The operator may try again: the group still has a primary.
		return rattanoperator.SwitchoverResult{}, connect.NewError(connect.CodeUnavailable, err)
	}
	return rattanoperator.SwitchoverResult{Term: promotion.Term, Primary: promotion.Primary, Gap: promotion.Took}, nil
}

// Dump implements rattanoperator.Dumper.
func (v *operatorView) Dump(part string) ([]byte, bool) { return v.daemon.dump(part) }
