package rattanendpoint

import (
	"context"
	"slices"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	wrongTerm = rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_WRONG_TERM
	promised  = rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_PROMISED
)

// Fence implements EndpointService. The instance promises a term to one
// coordinator only; a repeated call of that coordinator succeeds without effect.
// With a new promise, the instance steps down as primary of a lower term.
func (i *Instance) Fence(_ context.Context, request *connect.Request[rattanv1.FenceRequest]) (*connect.Response[rattanv1.FenceResponse], error) {
	term, coordinator := request.Msg.GetTerm(), request.Msg.GetCoordinator()
	if coordinator == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("coordinator name is empty"))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	repeated := term == i.state.PromisedTerm && coordinator == i.state.PromisedBy
	if term <= i.state.PromisedTerm && !repeated {
		return nil, i.endpointFaultLocked(promised, "term %d is promised to %q, term %d refused", i.state.PromisedTerm, i.state.PromisedBy, term)
	}
	if !repeated {
		i.state.PromisedTerm, i.state.PromisedBy = term, coordinator
		i.stepDown()
	}
	return connect.NewResponse(&rattanv1.FenceResponse{Status: i.status()}), nil
}

// Promote implements EndpointService. It starts a term by writing an empty
// entry, so that the term has a position that a majority can confirm.
func (i *Instance) Promote(_ context.Context, request *connect.Request[rattanv1.PromoteRequest]) (*connect.Response[rattanv1.PromoteResponse], error) {
	term, coordinator := request.Msg.GetTerm(), request.Msg.GetCoordinator()
	i.mu.Lock()
	defer i.mu.Unlock()
	if term != i.state.PromisedTerm || coordinator != i.state.PromisedBy {
		return nil, i.endpointFaultLocked(promised, "term %d is promised to %q, cannot promote to term %d for %q", i.state.PromisedTerm, i.state.PromisedBy, term, coordinator)
	}
	if got := i.countMembers(request.Msg.GetFenced()); got < i.config.majority() {
		return nil, i.endpointFaultLocked(wrongTerm, "%d instances of the group are fenced, want at least %d", got, i.config.majority())
	}
	if i.state.Term == term && !i.state.Primary {
		return nil, i.endpointFaultLocked(wrongTerm, "term %d already has primary %q", term, i.state.Following)
	}
	if i.state.Term < term {
		i.state.Term = term
		i.state.Primary = true
		i.state.Following = i.config.Name
		i.age = age{}
		i.append(&rattanv1.LogEntry{})
	}
	return connect.NewResponse(&rattanv1.PromoteResponse{Status: i.status()}), nil
}

// countMembers returns how many instances of the group are in names.
func (i *Instance) countMembers(names []string) int {
	members := append([]string{i.config.Name}, i.config.Peers...)
	return len(slices.DeleteFunc(members, func(member string) bool { return !slices.Contains(names, member) }))
}

// stepDown ends the role of primary: open transactions roll back and the instance
// commits nothing more in the term. The caller holds mu.
func (i *Instance) stepDown() {
	i.state.Primary = false
	i.state.Following = ""
	for _, connection := range i.connections {
		connection.rollBack()
	}
	i.notify()
}
