package rattanendpoint

import (
	"context"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Replicate implements EndpointService. When a request is refused, the response
// has accepted set to false, and the primary takes from its status where to
// continue.
func (i *Instance) Replicate(_ context.Context, request *connect.Request[rattanv1.ReplicateRequest]) (*connect.Response[rattanv1.ReplicateResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	accepted := i.replicate(request.Msg)
	return connect.NewResponse(&rattanv1.ReplicateResponse{Accepted: accepted, Status: i.status()}), nil
}

// replicate joins the primary's term if that is higher, and appends the entries
// that continue the log. It returns false when the request is refused. The caller
// holds mu.
func (i *Instance) replicate(request *rattanv1.ReplicateRequest) bool {
	if request.GetTerm() < i.state.PromisedTerm || i.controls.ReplicationStopped {
		return false
	}
	if request.GetTerm() == i.state.Term && i.state.Primary {
		return false
	}
	if request.GetTerm() > i.state.Term {
		i.joinTerm(request)
	}
	i.state.Following = request.GetPrimary()
	previous := request.GetPrevious()
	if i.state.termAt(previous.GetIndex()) != previous.GetTerm() {
		return false
	}
	i.recordArrivals(request.GetEntries())
	for _, entry := range request.GetEntries() {
		if _, index := i.state.last(); entry.GetPosition().GetIndex() != index+1 {
			continue
		}
		if !i.lagPassed(entry.GetPosition().GetIndex()) {
			break
		}
		i.accept(entry)
	}
	return true
}

// joinTerm joins the primary's term and truncates the log after the last entry
// that it shares with the primary's log. This happens only on joining: within a
// term the log only grows, and a late message of the same term must not truncate
// it.
func (i *Instance) joinTerm(request *rattanv1.ReplicateRequest) {
	i.stepDown()
	i.state.Term = request.GetTerm()
	if i.state.PromisedTerm < request.GetTerm() {
		i.state.PromisedTerm, i.state.PromisedBy = request.GetTerm(), ""
	}
	i.age = age{}
	clear(i.arrivals)
	i.truncate(i.state.lastCommonIndex(request.GetLineage(), request.GetLast().GetIndex()))
}

// recordArrivals records when each entry first arrived, for lagPassed. The primary
// sends an entry again until it is accepted.
func (i *Instance) recordArrivals(entries []*rattanv1.LogEntry) {
	_, last := i.state.last()
	for _, entry := range entries {
		index := entry.GetPosition().GetIndex()
		if _, ok := i.arrivals[index]; !ok && index > last {
			i.arrivals[index] = i.clock.Now()
		}
	}
}

// lagPassed reports whether ReplicationLag has passed since the entry arrived, and
// then removes the time of arrival.
func (i *Instance) lagPassed(index uint64) bool {
	if i.clock.Now().Sub(i.arrivals[index]) < i.controls.ReplicationLag {
		return false
	}
	delete(i.arrivals, index)
	return true
}
