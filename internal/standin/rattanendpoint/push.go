package rattanendpoint

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// pushEntries is the largest number of entries in one push.
const pushEntries = 512

// pushLoop sends the log to a peer while the instance is primary.
func (i *Instance) pushLoop(ctx context.Context, peer string) {
	// known is the peer's last status in the current term, nil while unknown.
	var known *rattanv1.EndpointStatus
	for ctx.Err() == nil {
		request, changed := i.nextPush(known)
		if request == nil {
			known = nil
			i.sleepOrChange(ctx, changed)
			continue
		}
		answer, err := callPeer(ctx, i, peer, request, i.config.Dial(peer).Replicate)
		known = nil
		if err == nil {
			known = answer.GetStatus()
			i.observePeer(known)
		}
		if !i.hasMore(request, known) {
			i.sleepOrChange(ctx, changed)
		}
	}
}

// nextPush returns the next request, nil while the instance is not primary, and
// the channel that is closed at the next change.
func (i *Instance) nextPush(known *rattanv1.EndpointStatus) (*rattanv1.ReplicateRequest, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.state.Primary || i.idle() {
		return nil, i.changed
	}
	request := &rattanv1.ReplicateRequest{
		Term:     i.state.Term,
		Primary:  i.config.Name,
		Previous: i.state.lastPosition(),
		Lineage:  i.state.termHistory(),
		Last:     i.state.lastPosition(),
	}
	if known.GetTerm() == i.state.Term {
		from := min(known.GetPosition().GetIndex(), uint64(len(i.state.Log)))
		to := min(from+pushEntries, uint64(len(i.state.Log)))
		request.Previous = &rattanv1.Position{Term: i.state.termAt(from), Index: from}
		request.Entries = i.state.Log[from:to]
	}
	return request, i.changed
}

// hasMore reports whether the next push should follow at once: the last one
// made progress and the peer lacks more entries.
func (i *Instance) hasMore(request *rattanv1.ReplicateRequest, known *rattanv1.EndpointStatus) bool {
	if known.GetTerm() != request.GetTerm() {
		return false
	}
	reached := known.GetPosition().GetIndex()
	first := len(request.GetEntries()) == 0
	progressed := reached > request.GetPrevious().GetIndex()
	return reached < request.GetLast().GetIndex() && (first || progressed)
}

// observePeer steps down when a peer is a member of a higher term. A promise
// alone is no reason: a coordinator without a majority may have left it.
func (i *Instance) observePeer(status *rattanv1.EndpointStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.Primary && status.GetTerm() > i.state.Term {
		i.stepDown()
	}
}

// sleepOrChange waits for the push interval or the next change.
func (i *Instance) sleepOrChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-i.clock.After(i.config.PushInterval):
	case <-ctx.Done():
	}
}

// callPeer calls another instance within peerTimeout and under the controls: a
// cut peer hears nothing, and its answers do not arrive.
func callPeer[Req, Res any](ctx context.Context, i *Instance, peer string, request *Req, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)) (*Res, error) {
	ctx, cancel := i.withTimeout(ctx, peerTimeout)
	defer cancel()
	if err := i.passCut(ctx, func(c Controls) []string { return c.CutTo }, peer); err != nil {
		return nil, err
	}
	sent := connect.NewRequest(request)
	sent.Header().Set(PeerHeader, i.config.Name)
	answer, err := method(ctx, sent)
	if cut := i.passCut(ctx, func(c Controls) []string { return c.CutFrom }, peer); cut != nil {
		return nil, cut
	}
	if err != nil {
		return nil, err
	}
	return answer.Msg, i.waitThawed(ctx)
}

// withTimeout is context.WithTimeout on the instance's clock.
func (i *Instance) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := i.clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
