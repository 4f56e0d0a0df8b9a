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
	// forwardTimeout limits a forwarded statement that may be retried elsewhere.
	forwardTimeout = 350 * time.Millisecond
	// forwardSlack is how much longer than the connection owner the sender waits.
	forwardSlack = 20 * time.Millisecond
	// ownerBackoff is how long a daemon that did not answer is not used as a
	// connection owner.
	ownerBackoff = 2 * time.Second
)

// owners forwards statements to the daemons that own the connections to the
// endpoints.
type owners struct {
	proxy *Proxy

	mu sync.Mutex
	// unresponsiveUntil is until when a VM that did not answer is not used.
	unresponsiveUntil map[string]time.Time
	// next numbers the forwarded transactions of this daemon.
	next uint64
	// chosen are the owners of endpoints by a snapshot.
	chosen   map[rattancatalog.Endpoint]string
	snapshot *rattancache.Snapshot
}

var _ rattandispatch.Owners = (*owners)(nil)

func newOwners(p *Proxy) *owners {
	return &owners{proxy: p, unresponsiveUntil: make(map[string]time.Time)}
}

// owner returns the VM that owns the connections to an endpoint.
func (o *owners) owner(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snapshot != snapshot {
		o.snapshot, o.chosen = snapshot, make(map[rattancatalog.Endpoint]string)
	}
	owner, ok := o.chosen[endpoint]
	if !ok {
		owner, _ = chooseOwner(snapshot, endpoint)
		o.chosen[endpoint] = owner
	}
	return owner, owner != ""
}

func chooseOwner(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) (string, bool) {
	vms := make([]rattanowner.VM, 0, len(snapshot.VMs))
	for name, vm := range snapshot.VMs {
		if !vm.IsStopping {
			vms = append(vms, rattanowner.VM{Name: name, FailureDomain: vm.FailureDomain})
		}
	}
	return rattanowner.Choose(endpoint, vms)
}

// remote returns the owner of an endpoint's connections and its address, or false
// when this daemon runs the statement itself.
func (o *owners) remote(upstream *rattanupstream.Upstream) (vm, address string, ok bool) {
	snapshot := o.proxy.cache.Snapshot()
	owner, ok := o.owner(snapshot, upstream.Endpoint())
	if !ok || owner == o.proxy.settings.VM() || o.isUnresponsive(owner) {
		return "", "", false
	}
	return owner, snapshot.VMs[owner].Address, true
}

// isOwned reports whether this daemon owns the connections to an endpoint.
func (o *owners) isOwned(upstream *rattanupstream.Upstream) bool {
	owner, ok := o.owner(o.proxy.cache.Snapshot(), upstream.Endpoint())
	return ok && owner == o.proxy.settings.VM()
}

// Expect implements rattandispatch.Owners.
func (o *owners) Expect(upstream *rattanupstream.Upstream) rattandispatch.Expectation {
	vm, _, ok := o.remote(upstream)
	if !ok {
		return rattandispatch.Expectation{Load: upstream.Load()}
	}
	return o.proxy.loads.expect(upstream, vm)
}

// Read implements rattandispatch.Owners.
func (o *owners) Read(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	vm, address, ok := o.remote(upstream)
	if !ok {
		return upstream.Read(statement)
	}
	request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_READ, upstream.Endpoint().ID, statement)
	result, err := o.forward(upstream, vm, address, request, o.forwardDeadline(statement.Deadline))
	var callErr *ownerCallError
	if errors.As(err, &callErr) {
		return upstream.Read(statement)
	}
	if err == nil {
		upstream.ObserveForwarded(result)
	}
	return result, err
}

// Write implements rattandispatch.Owners.
func (o *owners) Write(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	vm, address, ok := o.remote(upstream)
	if !ok {
		return upstream.Write(statement)
	}
	request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_WRITE, upstream.Endpoint().ID, statement)
	result, err := o.forward(upstream, vm, address, request, statement.Deadline)
	var callErr *ownerCallError
	if !errors.As(err, &callErr) {
		return result, err
	}
	if callErr.isNotRun {
		return upstream.Write(statement)
	}
	return result, errors.Wrap(rattanupstream.ErrTimeout, callErr.Error())
}

// Begin implements rattandispatch.Owners.
func (o *owners) Begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	vm, address, ok := o.remote(upstream)
	if !ok {
		return upstream.Begin(begin)
	}
	transaction := &remoteTransaction{owners: o, upstream: upstream, vm: vm, address: address, name: o.transactionName()}
	request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_BEGIN, upstream.Endpoint().ID, begin.First)
	request.Transaction = transaction.name
	request.ReadsOnly, request.AtPrimary = begin.IsReadOnly, begin.AtPrimary
	result, err := o.forward(upstream, vm, address, request, o.forwardDeadline(begin.First.Deadline))
	var callErr *ownerCallError
	switch {
	case errors.As(err, &callErr):
		if !callErr.isNotRun {
			transaction.Abort()
		}
		return upstream.Begin(begin)
	case err != nil:
		return nil, result, err
	}
	upstream.ObserveForwarded(result)
	if !result.OK() {
		return nil, result, nil
	}
	return transaction, result, nil
}

func (o *owners) forwardDeadline(deadline time.Time) time.Time {
	if early := o.proxy.clock.Now().Add(forwardTimeout); early.Before(deadline) {
		return early
	}
	return deadline
}

func (o *owners) isUnresponsive(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proxy.clock.Now().Before(o.unresponsiveUntil[vm])
}

func (o *owners) markUnresponsive(vm string, err error) {
	now := o.proxy.clock.Now()
	o.mu.Lock()
	isKnown := now.Before(o.unresponsiveUntil[vm])
	o.unresponsiveUntil[vm] = now.Add(ownerBackoff)
	o.mu.Unlock()
	if !isKnown {
		o.proxy.logger.Info("keeper_silent", "keeper", vm, "error", err)
	}
}

// An ownerCallError says that the call to a connection owner failed, or that the
// owner does not know the endpoint or transaction.
type ownerCallError struct {
	cause error
	// isNotRun is true when the owner has certainly not run the statement.
	isNotRun bool
}

// Error implements the error interface.
func (e *ownerCallError) Error() string {
	return "call to the connection owner failed: " + e.cause.Error()
}

// ownerProbeDelay is how long a connection owner may take to answer before this
// daemon probes the endpoint itself: the network path to both may be down.
const ownerProbeDelay = 150 * time.Millisecond

// forward sends a statement to a connection owner and waits for the response
// until a time.
func (o *owners) forward(upstream *rattanupstream.Upstream, vm, address string, request *rattanv1.WorkRequest, until time.Time) (rattanstatement.Result, error) {
	now := o.proxy.clock.Now()
	remaining := max(until.Sub(now), 0)
	request.DeadlineMs = uint32(remaining.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), remaining+forwardSlack)
	defer cancel()
	isOutside := o.proxy.isOutside(vm)
	probe := time.AfterFunc(ownerProbeDelay, func() {
		upstream.ObserveTimeout()
		if isOutside {
			o.proxy.isolation.recordLate(vm, now)
		}
	})
	defer probe.Stop()
	defer o.proxy.loads.begin(upstream.Endpoint().ID)()
	sent := o.proxy.boot.Now()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkRequest{WorkRequest: request}}
	reply, err := o.proxy.peers.Call(ctx, address, frame)
	if isOutside && !rattanlink.IsUnsent(err) {
		o.proxy.egress.recordWork(upstream, frame, reply)
	}
	if err != nil {
		callErr := &ownerCallError{cause: err, isNotRun: rattanlink.IsUnsent(err)}
		o.markUnresponsive(vm, callErr)
		return rattanstatement.Result{}, callErr
	}
	if isOutside {
		o.proxy.isolation.recordAnswer(vm, now)
	}
	response := reply.GetWorkResponse()
	o.proxy.loads.observePath(vm, o.proxy.boot.Now().Sub(sent), time.Duration(response.GetTookUs())*time.Microsecond)
	completeLoad(response, o.proxy.cache.Snapshot().VMs[vm].Incarnation)
	o.proxy.loads.learnResponse(response, upstream.Endpoint().ID)
	o.proxy.applyObservation(response, upstream.Endpoint().Group, sent)
	return decodeWorkResponse(response)
}

func (o *owners) transactionName() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return transactionName(o.proxy.settings.VM(), o.proxy.registration.incarnation, o.next)
}
