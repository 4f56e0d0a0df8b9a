package rattanendpoint

import (
	"context"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Status returns the current status of the instance, as GetStatus does.
func (i *Instance) Status() *rattanv1.EndpointStatus {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status()
}

func (i *Instance) status() *rattanv1.EndpointStatus {
	role := rattanv1.EndpointRole_ENDPOINT_ROLE_REPLICA
	if i.state.Primary {
		role = rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
	}
	dataAge, known := i.dataAge()
	return &rattanv1.EndpointStatus{
		Name:            i.config.Name,
		Group:           i.config.Group,
		FailureDomain:   i.config.FailureDomain,
		Role:            role,
		Term:            i.state.Term,
		PromisedTerm:    i.state.PromisedTerm,
		PromisedBy:      i.state.PromisedBy,
		Position:        i.state.lastPosition(),
		Lineage:         i.state.termHistory(),
		Queued:          uint32(len(i.slots.waiting)),
		SlotsUsed:       uint32(i.config.Slots - i.slots.free),
		Slots:           uint32(i.config.Slots),
		Connections:     uint32(len(i.connections)),
		ConnectionLimit: uint32(i.config.Connections),
		AgeMs:           milliseconds(dataAge),
		AgeKnown:        known,
		Primary:         i.state.Following,
	}
}

// GetStatus implements EndpointService.
func (i *Instance) GetStatus(context.Context, *connect.Request[rattanv1.GetStatusRequest]) (*connect.Response[rattanv1.GetStatusResponse], error) {
	return connect.NewResponse(&rattanv1.GetStatusResponse{Status: i.Status()}), nil
}
