package rattanproxy

import (
	"context"
	"slices"
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
	// forwardTimeout is how long a connection owner that no longer answers delays a
	// forwarded statement that may be retried elsewhere.
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
	// rankings are those of one snapshot.
	rankings rankings
	// next numbers the forwarded transactions of this daemon.
	next uint64
}

var _ rattandispatch.Owners = (*owners)(nil)

func newOwners(p *Proxy) *owners {
	return &owners{proxy: p, unresponsiveUntil: make(map[string]time.Time)}
}

// owner returns the VM that owns the connections to an endpoint.
func (o *owners) owner(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) (string, bool) {
	if ranked := o.ranked(snapshot, endpoint); len(ranked) > 0 {
		return ranked[0], true
	}
	return "", false
}

// ranked returns the VM that owns the connections to an endpoint and the one that stands
// in for it.
func (o *owners) ranked(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rankings.of(snapshot, endpoint)
}

// remote returns the owner of an endpoint's connections and its address, or false
// when this daemon runs the statement itself. Where connections are scarce, another daemon
// stands in for an owner that does not answer or has failed: there are none for each
// daemon.
func (o *owners) remote(upstream *rattanupstream.Upstream, failed []string) (vm, address string, ok bool) {
	snapshot := o.proxy.cache.Snapshot()
	endpoint := upstream.Endpoint()
	ranked := o.ranked(snapshot, endpoint)
	if !o.isScarce(snapshot, endpoint) {
		ranked = ranked[:min(1, len(ranked))]
	}
	vm, ok = rattanowner.Forward(ranked, o.proxy.settings.VM(), func(vm string) bool {
		return !o.isUnresponsive(vm) && !slices.Contains(failed, vm)
	})
	return vm, snapshot.VMs[vm].Address, ok
}

// isOwned reports whether this daemon owns the connections to an endpoint.
func (o *owners) isOwned(upstream *rattanupstream.Upstream) bool {
	owner, ok := o.owner(o.proxy.cache.Snapshot(), upstream.Endpoint())
	return ok && owner == o.proxy.settings.VM()
}

// Expect implements rattandispatch.Owners.
func (o *owners) Expect(upstream *rattanupstream.Upstream) rattandispatch.Expectation {
	vm, _, ok := o.remote(upstream, nil)
	if !ok {
		return rattandispatch.Expectation{Load: upstream.Load()}
	}
	return o.proxy.loads.expect(upstream, vm)
}

// isScarce reports whether there are more accounts than connections to an endpoint.
func (o *owners) isScarce(snapshot *rattancache.Snapshot, endpoint rattancatalog.Endpoint) bool {
	if snapshot.Catalog == nil {
		return false
	}
	group, ok := snapshot.Catalog.Group(endpoint.Group)
	budget := rattanowner.ConnectionBudget{
		MaxConnections: group.MaxConnections, Slots: endpoint.Slots, Accounts: snapshot.Catalog.AccountCount(),
	}
	return ok && budget.IsScarce()
}

// Read implements rattandispatch.Owners. After an owner that did not answer it goes to the
// daemon that stands in for it, or to the endpoint.
func (o *owners) Read(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	statement.IsRepeat = o.proxy.usage.hasBegun(statement)
	result, err := o.read(upstream, statement)
	o.proxy.usage.recordAttempt(statement, result, err)
	return result, err
}

func (o *owners) read(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	var failed failedCalls
	for {
		vm, address, ok := o.remote(upstream, failed.vms)
		if !ok {
			result, err := upstream.Read(statement)
			return result, failed.orLater(err)
		}
		result, err := o.readThrough(vm, address, upstream, statement)
		if !failed.add(vm, err) {
			return result, failed.orLater(err)
		}
	}
}

func (o *owners) readThrough(vm, address string, upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_READ, upstream.Endpoint().ID, statement)
	result, err := o.forward(upstream, vm, address, request, statement.Deadline)
	if err == nil {
		upstream.ObserveForwarded(result)
	}
	return result, err
}

// Write implements rattandispatch.Owners.
func (o *owners) Write(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	statement.IsRepeat = o.proxy.usage.hasBegun(statement)
	result, err := o.write(upstream, statement)
	o.proxy.usage.recordAttempt(statement, result, err)
	return result, err
}

func (o *owners) write(upstream *rattanupstream.Upstream, statement rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	var failed []string
	for {
		vm, address, ok := o.remote(upstream, failed)
		if !ok {
			return upstream.Write(statement)
		}
		request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_WRITE, upstream.Endpoint().ID, statement)
		result, err := o.forward(upstream, vm, address, request, statement.Deadline)
		var callErr *ownerCallError
		if !errors.As(err, &callErr) {
			return result, err
		}
		if !callErr.isNotRun {
			return result, errors.Wrap(rattanupstream.ErrTimeout, callErr.Error())
		}
		failed = append(failed, vm)
	}
}

// Begin implements rattandispatch.Owners.
func (o *owners) Begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	begin.First.IsRepeat = o.proxy.usage.hasBegun(begin.First)
	transaction, result, err := o.begin(upstream, begin)
	o.proxy.usage.recordAttempt(begin.First, result, err)
	return transaction, result, err
}

func (o *owners) begin(upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	var failed failedCalls
	for {
		vm, address, ok := o.remote(upstream, failed.vms)
		if !ok {
			transaction, result, err := upstream.Begin(begin)
			return transaction, result, failed.orLater(err)
		}
		transaction, result, err := o.beginThrough(vm, address, upstream, begin)
		if !failed.add(vm, err) {
			return transaction, result, failed.orLater(err)
		}
	}
}

func (o *owners) beginThrough(vm, address string, upstream *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	transaction := &remoteTransaction{owners: o, upstream: upstream, vm: vm, address: address, name: o.transactionName()}
	request := newWorkRequest(rattanv1.WorkKind_WORK_KIND_BEGIN, upstream.Endpoint().ID, begin.First)
	request.Transaction = transaction.name
	request.ReadsOnly, request.AtPrimary = begin.IsReadOnly, begin.AtPrimary
	result, err := o.forward(upstream, vm, address, request, begin.First.Deadline)
	var callErr *ownerCallError
	switch {
	case errors.As(err, &callErr):
		if !callErr.isNotRun {
			transaction.Abort()
		}
		return nil, result, err
	case err != nil:
		return nil, result, err
	}
	upstream.ObserveForwarded(result)
	if !result.OK() {
		return nil, result, nil
	}
	return transaction, result, nil
}

func (o *owners) isUnresponsive(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proxy.clock.Now().Before(o.unresponsiveUntil[vm])
}

// isDoubtful reports whether a VM did not answer lately. It stays so for a while after the
// VM is used again, so that a daemon that stands in for it keeps its connections meanwhile.
func (o *owners) isDoubtful(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proxy.clock.Now().Before(o.unresponsiveUntil[vm].Add(ownerBackoff))
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

// Unwrap returns the cause.
func (e *ownerCallError) Unwrap() error { return e.cause }

// failedCalls are the calls to connection owners that failed for one statement.
type failedCalls struct {
	vms []string
	// mayHaveRun is the error of a call after which the owner may have run the statement,
	// nil if there is none.
	mayHaveRun *ownerCallError
}

// add records the error of a call, if it is an *ownerCallError, and reports whether it is.
func (f *failedCalls) add(vm string, err error) bool {
	var callErr *ownerCallError
	if !errors.As(err, &callErr) {
		return false
	}
	f.vms = append(f.vms, vm)
	if !callErr.isNotRun {
		f.mayHaveRun = callErr
	}
	return true
}

// orLater returns the error of the last attempt: ErrTimeout, which leaves open whether the
// statement has run, if an owner may have run it before.
func (f *failedCalls) orLater(last error) error {
	if last == nil || f.mayHaveRun == nil {
		return last
	}
	return errors.Wrapf(rattanupstream.ErrTimeout, "%s, then %s", f.mayHaveRun, last)
}

// ownerProbeDelay is how long a connection owner may take to answer before this
// daemon probes the endpoint itself: the network path to both may be down.
const ownerProbeDelay = 150 * time.Millisecond

// forward sends a statement to a connection owner and waits for the response until a
// time. It waits for a statement that may be retried elsewhere only while the owner's
// daemon answers: such a statement may wait long at an owner that is well.
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
		if isRepeatable(request.GetKind()) {
			o.cancelWhenSilent(ctx, cancel, address)
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
		if rattanlink.IsUnsendable(err) {
			o.proxy.observeUnsendable(vm, request, err)
			return rattanstatement.Result{}, callErr
		}
		if isOutside {
			o.proxy.isolation.recordLate(vm, now)
		}
		o.markUnresponsive(vm, callErr)
		return rattanstatement.Result{}, callErr
	}
	if isOutside {
		o.proxy.isolation.recordAnswer(vm, now)
	}
	response := reply.GetWorkResponse()
	o.proxy.loads.observePath(vm, o.proxy.boot.Now().Sub(sent), time.Duration(response.GetTookUs())*time.Microsecond)
	result, err := decodeWorkResponse(request.GetKind(), response)
	var untrusted *untrustedResponseError
	if errors.As(err, &untrusted) {
		o.proxy.observeUntrustedResponse(vm, request, untrusted.reason)
		return result, err
	}
	completeLoad(response, o.proxy.cache.Snapshot().VMs[vm].Incarnation)
	o.proxy.loads.learnResponse(response, upstream.Endpoint().ID)
	o.proxy.applyObservation(response, upstream.Endpoint().Group, sent)
	return result, err
}

// isRepeatable reports whether a request that may have run may run again elsewhere.
func isRepeatable(kind rattanv1.WorkKind) bool {
	return kind == rattanv1.WorkKind_WORK_KIND_READ || kind == rattanv1.WorkKind_WORK_KIND_BEGIN
}

// cancelWhenSilent ends a call when the daemon at address does not answer a ping in the
// rest of forwardTimeout.
func (o *owners) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, address string) {
	const patience = forwardTimeout - ownerProbeDelay
	for ctx.Err() == nil {
		pingCtx, pingCancel := context.WithTimeout(ctx, patience)
		answers := o.proxy.peers.Answers(pingCtx, address)
		// Without a session there is no answer at once; one may be opening.
		<-pingCtx.Done()
		pingCancel()
		if !answers {
			cancel()
		}
	}
}

func (o *owners) transactionName() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return transactionName(o.proxy.settings.VM(), o.proxy.registration.incarnation, o.next)
}
