package rattanendpoint

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// pushEntries is the largest number of entries in one push.
const pushEntries = 512

// pushLoop sends the log to a peer while the instance is primary. It retries after
// PushInterval or at the next change.
func (i *Instance) pushLoop(ctx context.Context, peer string) {
	// known is the peer's last status in the current term, nil while unknown.
	var known *rattanv1.EndpointStatus
	for ctx.Err() == nil {
		request, changed := i.nextPush(known)
		if request == nil {
			known = nil
			i.waitForChange(ctx, changed)
			continue
		}
		response, err := callPeer(ctx, i, peer, request, i.config.Dial(peer).Replicate)
		known = nil
		if err == nil {
			known = response.GetStatus()
			i.observePeer(known)
		}
		if !i.hasMore(request, known) {
			i.waitForChange(ctx, changed)
		}
	}
}

// nextPush returns the next request and the channel that is closed at the next
// change. The request is nil while the instance is not primary or is inactive. It
// has no entries while the peer's position is not known.
func (i *Instance) nextPush(known *rattanv1.EndpointStatus) (*rattanv1.ReplicateRequest, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.state.Primary || i.inactive() {
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

// hasMore reports whether the next push should follow at once: the peer lacks
// entries, and the last push made progress or only asked for the peer's position.
func (i *Instance) hasMore(request *rattanv1.ReplicateRequest, known *rattanv1.EndpointStatus) bool {
	if known.GetTerm() != request.GetTerm() {
		return false
	}
	reached := known.GetPosition().GetIndex()
	isProbe := len(request.GetEntries()) == 0
	progressed := reached > request.GetPrevious().GetIndex()
	return reached < request.GetLast().GetIndex() && (isProbe || progressed)
}

// observePeer steps down when a peer has joined a higher term. A promise of the
// peer for a higher term is not enough: it may come from a coordinator that did not
// get a majority.
func (i *Instance) observePeer(status *rattanv1.EndpointStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.Primary && status.GetTerm() > i.state.Term {
		i.stepDown()
	}
}

// waitForChange waits until the next change, but not longer than PushInterval.
func (i *Instance) waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-i.clock.After(i.config.PushInterval):
	case <-ctx.Done():
	}
}

// callPeer calls another instance within peerTimeout and under the controls: with
// CutTo the request does not reach the peer, with CutFrom its response is dropped.
func callPeer[Req, Res any](ctx context.Context, i *Instance, peer string, request *Req, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)) (*Res, error) {
	ctx, cancel := i.withTimeout(ctx, peerTimeout)
	defer cancel()
	if err := i.blockIfCut(ctx, func(c Controls) []string { return c.CutTo }, peer); err != nil {
		return nil, err
	}
	sent := connect.NewRequest(request)
	sent.Header().Set(PeerHeader, i.config.Name)
	response, err := method(ctx, sent)
	if cutErr := i.blockIfCut(ctx, func(c Controls) []string { return c.CutFrom }, peer); cutErr != nil {
		return nil, cutErr
	}
	if err != nil {
		return nil, err
	}
	return response.Msg, i.waitUnfrozen(ctx)
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
