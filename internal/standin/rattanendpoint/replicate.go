package rattanendpoint

import (
	"context"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Replicate implements EndpointService. A refused request has accepted false
// and the status from which the primary finds where to continue.
func (i *Instance) Replicate(_ context.Context, request *connect.Request[rattanv1.ReplicateRequest]) (*connect.Response[rattanv1.ReplicateResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	accepted := i.follow(request.Msg)
	return connect.NewResponse(&rattanv1.ReplicateResponse{Accepted: accepted, Status: i.status()}), nil
}

func (i *Instance) follow(request *rattanv1.ReplicateRequest) bool {
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
	i.noteArrivals(request.GetEntries())
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

// joinTerm enters the primary's term and cuts the log at the fork. Within a
// term the log only grows: a late message of the same term must not cut it.
func (i *Instance) joinTerm(request *rattanv1.ReplicateRequest) {
	i.stepDown()
	i.state.Term = request.GetTerm()
	if i.state.PromisedTerm < request.GetTerm() {
		i.state.PromisedTerm, i.state.PromisedBy = request.GetTerm(), ""
	}
	i.age = age{}
	clear(i.arrivals)
	i.truncate(i.state.fork(request.GetLineage(), request.GetLast().GetIndex()))
}

// noteArrivals keeps when each entry first arrived. The primary sends an entry
// again until it is accepted.
func (i *Instance) noteArrivals(entries []*rattanv1.LogEntry) {
	_, last := i.state.last()
	for _, entry := range entries {
		index := entry.GetPosition().GetIndex()
		if _, ok := i.arrivals[index]; !ok && index > last {
			i.arrivals[index] = i.clock.Now()
		}
	}
}

// lagPassed reports whether ReplicationLag has passed since the entry arrived.
func (i *Instance) lagPassed(index uint64) bool {
	if i.clock.Now().Sub(i.arrivals[index]) < i.controls.ReplicationLag {
		return false
	}
	delete(i.arrivals, index)
	return true
}
