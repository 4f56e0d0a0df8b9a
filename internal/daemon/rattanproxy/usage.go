package rattanproxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/limit/rattanusage"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// usageInterval separates two exchanges of counts, so that a daemon that is killed
	// loses no more than that.
	usageInterval = 1 * time.Second
	// usageTimeout limits one message with counts.
	usageTimeout = 800 * time.Millisecond
	// usageBackoff is how long a daemon that did not take counts is not a collector.
	usageBackoff = 3 * time.Second
	// usageSettleTime is how long after the end of a window its counts still change: a
	// request counts when it is answered.
	usageSettleTime = 1300 * time.Millisecond
	// usageFlushTimeout limits the last exchange, which takes from the time that is kept
	// for the unregistration.
	usageFlushTimeout = 200 * time.Millisecond
	// attemptMemory is how long an attempt that failed is remembered: longer than a caller
	// waits for its request.
	attemptMemory = 10 * time.Second
	// relayMemory is how long a daemon that is no longer the collector of another one still
	// passes on what it got from it.
	relayMemory = 10 * time.Second
)

// usage counts the requests that this daemon sends to endpoints, and gives the counts of
// the fleet to the daemon that reports them. Each daemon gives its own to the collector of
// its failure domain; a collector passes them on to the collectors of the other failure
// domains, which keep copies, and all that it has to the holder of the duty if that is in
// its failure domain.
type usage struct {
	proxy  *Proxy
	length time.Duration

	mu     sync.Mutex
	ledger *rattanusage.Ledger
	clock  rattanusage.TrueTime
	// relayed holds the incarnations whose counts this daemon passes on to other failure
	// domains, with the time at which it last got some from them.
	relayed map[string]time.Time
	// passed is the ledger's state up to which another daemon has its changes, by that
	// daemon's incarnation.
	passed map[string]uint64
	// unusableUntil is until when each VM that did not take counts is not a collector.
	unusableUntil map[string]time.Time

	// begun holds the callers' requests with an attempt that ran and did not succeed, with
	// the time of the attempt. Another attempt is no other request.
	begun map[requestKey]time.Time

	reports usageReports
}

var _ rattanupstream.RunCounter = (*usage)(nil)

// A requestKey identifies a caller's request: the callers choose the ids of their statements,
// so two accounts may choose the same one.
type requestKey struct{ account, statementID string }

// requestKeyOf returns the key of a statement.
func requestKeyOf(statement rattanupstream.StatementRequest) requestKey {
	return requestKey{account: statement.Account, statementID: statement.StatementID}
}

// newUsage returns nil unless the settings ask for usage reports.
func newUsage(p *Proxy) *usage {
	if p.settings.UsageWindow() == 0 {
		return nil
	}
	u := &usage{
		proxy: p, length: p.settings.UsageWindow(), begun: make(map[requestKey]time.Time),
		ledger:  rattanusage.NewLedger(rattanusage.WindowAt(p.clock.Now(), p.settings.UsageWindow())),
		relayed: make(map[string]time.Time), passed: make(map[string]uint64), unusableUntil: make(map[string]time.Time),
	}
	if p.platform.ObserveDates != nil {
		p.platform.ObserveDates(u.observeDate)
	}
	return u
}

func (u *usage) observeDate(date time.Time, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	received := u.proxy.boot.Now()
	u.clock.Observe(date, received.Add(-took), received)
}

// now returns the true time. The caller holds u.mu.
func (u *usage) now() time.Time { return u.clock.Now(u.proxy.boot.Now(), u.proxy.clock.Now()) }

// CountRun implements rattanupstream.RunCounter.
func (u *usage) CountRun(account string, sentAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := u.now().Add(-u.proxy.clock.Now().Sub(sentAt))
	if !u.ledger.Add(rattanusage.WindowAt(at, u.length), u.proxy.registration.incarnation, account, 1) {
		u.proxy.metrics.count("usage_counted_late")
	}
}

// hasBegun reports whether an attempt of a caller's request has run at an endpoint. Without
// usage reports it returns false.
func (u *usage) hasBegun(statement rattanupstream.StatementRequest) bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.begun[requestKeyOf(statement)]
	return ok
}

// recordAttempt records the outcome of an attempt of a caller's request. Without usage
// reports it does nothing.
func (u *usage) recordAttempt(statement rattanupstream.StatementRequest, result rattanstatement.Result, err error) {
	hasRun := errors.Is(err, rattanupstream.ErrTimeout) || err == nil && !result.OK() && rattanupstream.HasRun(result.Code)
	if u == nil || !hasRun {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begun[requestKeyOf(statement)] = u.proxy.clock.Now()
}

// run exchanges counts until ctx ends.
func (u *usage) run(ctx context.Context) error {
	for u.proxy.sleep(ctx, usageInterval) {
		u.complete(usageSettleTime)
		u.exchange(ctx)
	}
	return nil
}

// flush gives the last counts of a daemon that stops to others.
func (u *usage) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), usageFlushTimeout)
	defer cancel()
	u.complete(0)
	u.exchange(ctx)
}

// complete declares this daemon's counts complete up to the last window that ended a
// settle time ago, and drops old windows.
func (u *usage) complete(settle time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, local := u.now(), u.proxy.clock.Now()
	maps.DeleteFunc(u.begun, func(_ requestKey, at time.Time) bool { return local.Sub(at) > attemptMemory })
	u.ledger.Forget(rattanusage.KeepFrom(now, u.length))
	u.ledger.Complete(u.proxy.registration.incarnation, rattanusage.WindowAt(now.Add(-settle), u.length)-1)
}

// A usageTarget is a daemon that gets counts.
type usageTarget struct {
	vm, incarnation, address string
	// isCopy is true when it need not pass them on outside its failure domain.
	isCopy bool
	// matches selects the incarnations whose counts it gets.
	matches func(incarnation string) bool
}

// exchange gives to other daemons what they lack.
func (u *usage) exchange(ctx context.Context) {
	var sending sync.WaitGroup
	for _, target := range u.targets(u.proxy.cache.Snapshot()) {
		sending.Go(func() { u.pass(ctx, target) })
	}
	sending.Wait()
}

// targets returns the daemons that get counts from this one.
func (u *usage) targets(snapshot *rattancache.Snapshot) []usageTarget {
	u.mu.Lock()
	defer u.mu.Unlock()
	own, domain := u.proxy.settings.VM(), u.proxy.settings.FailureDomain()
	vms := make([]rattanusage.VM, 0, len(snapshot.VMs))
	domains := make(map[string]bool)
	for name, vm := range snapshot.VMs {
		vms = append(vms, rattanusage.VM{Name: name, FailureDomain: vm.FailureDomain, ProcessorCores: vm.ProcessorCores})
		domains[vm.FailureDomain] = true
	}
	now := u.proxy.clock.Now()
	maps.DeleteFunc(u.relayed, func(_ string, at time.Time) bool { return now.Sub(at) > relayMemory })
	isUsable := func(name string) bool { return !snapshot.VMs[name].IsStopping && !now.Before(u.unusableUntil[name]) }
	var targets []usageTarget
	add := func(vm string, isCopy bool, matches func(string) bool) {
		record, ok := snapshot.VMs[vm]
		if ok && vm != own {
			targets = append(targets, usageTarget{
				vm: vm, incarnation: record.Incarnation, address: record.Address, isCopy: isCopy, matches: matches,
			})
		}
	}
	collector, _ := rattanusage.Collector(vms, domain, isUsable)
	if collector != own {
		add(collector, false, func(incarnation string) bool { return incarnation == u.proxy.registration.incarnation })
	}
	if collector == own || len(u.relayed) > 0 {
		for other := range domains {
			if vm, ok := rattanusage.Collector(vms, other, isUsable); ok && other != domain {
				add(vm, true, u.isFromDomain)
			}
		}
		if snapshot.HasLeader && snapshot.VMs[snapshot.Leader.VM].FailureDomain == domain {
			add(snapshot.Leader.VM, true, func(string) bool { return true })
		}
	}
	return targets
}

// isFromDomain reports whether this daemon passes on an incarnation's counts to other
// failure domains. The caller holds u.mu.
func (u *usage) isFromDomain(incarnation string) bool {
	_, isRelayed := u.relayed[incarnation]
	return isRelayed || incarnation == u.proxy.registration.incarnation
}

// pass gives to another daemon what it lacks.
func (u *usage) pass(ctx context.Context, target usageTarget) {
	u.mu.Lock()
	// What a daemon has got as one kind of target is not all that it gets as another.
	key := target.incarnation
	if !target.isCopy {
		key += "/collector"
	}
	changes := u.ledger.ChangesAfter(u.passed[key], target.matches)
	u.mu.Unlock()
	if changes.IsEmpty() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	_, err := u.proxy.peers.Call(callCtx, target.address, u.frame(changes, target.isCopy))
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.unusableUntil[target.vm] = u.proxy.clock.Now().Add(usageBackoff)
		u.proxy.metrics.count("usage_pass_failed")
		return
	}
	u.passed[key] = changes.State
}

func (u *usage) frame(changes rattanusage.Changes, isCopy bool) *rattanv1.PeerFrame {
	request := &rattanv1.UsageRequest{
		Incarnation: u.proxy.registration.incarnation, CompleteThrough: changes.CompleteThrough, IsCopy: isCopy,
	}
	for _, counts := range changes.Counts {
		request.Counts = append(request.Counts, &rattanv1.UsageCounts{
			Window: counts.Window, Incarnation: counts.Incarnation, Requests: counts.Requests,
		})
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_UsageRequest{UsageRequest: request}}
}

// handle takes over counts from another daemon.
func (u *usage) handle(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetUsageRequest()
	changes := rattanusage.Changes{CompleteThrough: request.GetCompleteThrough()}
	for _, counts := range request.GetCounts() {
		changes.Counts = append(changes.Counts, rattanusage.Counts{
			Window: counts.GetWindow(), Incarnation: counts.GetIncarnation(), Requests: counts.GetRequests(),
		})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Merge(changes)
	if !request.GetIsCopy() {
		u.relayed[request.GetIncarnation()] = u.proxy.clock.Now()
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_UsageResponse{UsageResponse: &rattanv1.UsageResponse{}}}, nil
}

// A usageState is the state of the usage reports for dumps.
type usageState struct {
	// Counts holds the number of counts by window.
	Counts  map[int64]int `json:"counts"`
	Window  int64         `json:"window"`
	Through int64         `json:"decided_through"`
	Unsent  int           `json:"unsent"`
	// ClockOffset is how far the VM's clock is behind the true time.
	ClockOffset string `json:"clock_offset"`
}

func (u *usage) state() *usageState {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	state := u.reports.state()
	state.Counts, state.Window = u.ledger.Windows(), rattanusage.WindowAt(now, u.length)
	state.ClockOffset = now.Round(0).Sub(u.proxy.clock.Now().Round(0)).String()
	return state
}
