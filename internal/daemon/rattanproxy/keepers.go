package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandispatch"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanowner"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// forwardTimeout limits a statement through another daemon that may be tried
	// elsewhere after it.
	forwardTimeout = 350 * time.Millisecond
	// forwardSlack is how much longer than the owner the sender waits.
	forwardSlack = 20 * time.Millisecond
	// silentKeeperPause is how long a daemon that did not answer is not used as
	// an owner.
	silentKeeperPause = 2 * time.Second
)

// owners runs statements through the daemons that keep the endpoints' connections.
type owners struct {
	proxy *Proxy

	mu     sync.Mutex
	silent map[string]time.Time
	next   uint64
}

var _ rattandispatch.Owners = (*owners)(nil)

func newOwners(p *Proxy) *owners {
	return &owners{proxy: p, silent: make(map[string]time.Time)}
}

// owner returns the VM that keeps the connections of an endpoint.
func (k *owners) owner(view *rattancache.Snapshot, endpoint rattancatalog.Endpoint) (string, bool) {
	vms := make([]rattanowner.VM, 0, len(view.VMs))
	for name, vm := range view.VMs {
		if !vm.IsStopping {
			vms = append(vms, rattanowner.VM{Name: name, FailureDomain: vm.FailureDomain})
		}
	}
	return rattanowner.Choose(endpoint, vms)
}

// remote returns the address of the owner of an endpoint, or false when this
// daemon runs the statement itself.
func (k *owners) remote(upstream *rattanupstream.Upstream) (vm, address string, ok bool) {
	view := k.proxy.cache.Snapshot()
	owner, ok := k.owner(view, upstream.Endpoint())
	if !ok || owner == k.proxy.settings.VM() || k.isSilent(owner) {
		return "", "", false
	}
	return owner, view.VMs[owner].Address, true
}

// Read implements rattandispatch.Owners.
func (k *owners) Read(upstream *rattanupstream.Upstream, task rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	vm, address, ok := k.remote(upstream)
	if !ok {
		return upstream.Read(task)
	}
	start := k.proxy.clock.Now()
	request := workRequest(rattanv1.WorkKind_WORK_KIND_READ, upstream.Endpoint().ID, task)
	result, err := k.forward(upstream, vm, address, request, k.soon(task.Deadline))
	var lost *keeperLostError
	if errors.As(err, &lost) {
		return upstream.Read(task)
	}
	if err == nil {
		upstream.ObserveForwarded(result, task.MinPosition, k.proxy.clock.Now().Sub(start))
	}
	return result, err
}

// Write implements rattandispatch.Owners.
func (k *owners) Write(upstream *rattanupstream.Upstream, task rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	vm, address, ok := k.remote(upstream)
	if !ok {
		return upstream.Write(task)
	}
	request := workRequest(rattanv1.WorkKind_WORK_KIND_WRITE, upstream.Endpoint().ID, task)
	result, err := k.forward(upstream, vm, address, request, task.Deadline)
	var lost *keeperLostError
	if !errors.As(err, &lost) {
		return result, err
	}
	if lost.isUnsent {
		return upstream.Write(task)
	}
	return result, errors.Wrap(rattanupstream.ErrTimeout, lost.Error())
}

// Begin implements rattandispatch.Owners.
func (k *owners) Begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	vm, address, ok := k.remote(upstream)
	if !ok {
		return upstream.Begin(begin)
	}
	held := &remoteTransaction{owners: k, upstream: upstream, vm: vm, address: address, name: k.transactionName()}
	request := workRequest(rattanv1.WorkKind_WORK_KIND_BEGIN, upstream.Endpoint().ID, begin.First)
	request.Transaction = held.name
	request.ReadsOnly, request.AtPrimary = begin.IsReadOnly, begin.AtPrimary
	result, err := k.forward(upstream, vm, address, request, k.soon(begin.First.Deadline))
	var lost *keeperLostError
	switch {
	case errors.As(err, &lost):
		if !lost.isUnsent {
			held.Abort()
		}
		return upstream.Begin(begin)
	case err != nil:
		return nil, result, err
	}
	upstream.ObserveForwarded(result, begin.First.MinPosition, 0)
	if !result.OK() {
		return nil, result, nil
	}
	return held, result, nil
}

func (k *owners) soon(deadline time.Time) time.Time {
	if soon := k.proxy.clock.Now().Add(forwardTimeout); soon.Before(deadline) {
		return soon
	}
	return deadline
}

func (k *owners) isSilent(vm string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.proxy.clock.Now().Before(k.silent[vm])
}

func (k *owners) noteSilent(vm string, err error) {
	now := k.proxy.clock.Now()
	k.mu.Lock()
	isKnown := now.Before(k.silent[vm])
	k.silent[vm] = now.Add(silentKeeperPause)
	k.mu.Unlock()
	if !isKnown {
		k.proxy.logger.Info("keeper_silent", "keeper", vm, "error", err)
	}
}

// A keeperLostError says that the daemon that keeps an endpoint's connections
// did not answer.
type keeperLostError struct {
	cause error
	// isUnsent is true when the statement has certainly not reached it, or it
	// has certainly not run it.
	isUnsent bool
}

// Error implements the error interface.
func (e *keeperLostError) Error() string { return "the keeper did not answer: " + e.cause.Error() }

// lateKeeper is after how long without an answer the endpoint behind an owner is
// probed from here: the path to both may be cut.
const lateKeeper = 150 * time.Millisecond

// forward sends a statement to an owner and waits for the answer until a time.
func (k *owners) forward(upstream *rattanupstream.Upstream, vm, address string, request *rattanv1.WorkRequest, until time.Time) (rattanstatement.Result, error) {
	now := k.proxy.clock.Now()
	remaining := max(until.Sub(now), 0)
	request.DeadlineMs = uint32(remaining.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), remaining+forwardSlack)
	defer cancel()
	late := time.AfterFunc(lateKeeper, upstream.ObserveTimeout)
	defer late.Stop()
	sent := k.proxy.boot.Now()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkRequest{WorkRequest: request}}
	answer, err := k.proxy.peers.Call(ctx, address, frame)
	if err != nil {
		lost := &keeperLostError{cause: err, isUnsent: rattanlink.IsUnsent(err)}
		k.noteSilent(vm, lost)
		return rattanstatement.Result{}, lost
	}
	k.proxy.noteObservation(answer.GetWorkResponse(), upstream.Endpoint().Group, sent)
	return decodeWork(answer.GetWorkResponse())
}

func (k *owners) transactionName() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	return transactionName(k.proxy.settings.VM(), k.proxy.register.incarnation, k.next)
}
