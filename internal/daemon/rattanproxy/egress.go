package rattanproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanegress"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// egress decides which reads may leave the failure domain, and counts what does.
type egress struct {
	proxy *Proxy

	mu     sync.Mutex
	policy *rattanegress.Policy
	// outside are the addresses of the VMs of other failure domains in a snapshot.
	outside  map[string]bool
	snapshot *rattancache.Snapshot
}

func newEgress(p *Proxy) *egress {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &egress{proxy: p, policy: rattanegress.New(p.settings.EgressBudget(), random, p.clock.Now())}
}

var _ rattanplacement.Egress = (*egress)(nil)

// Allows implements rattanplacement.Egress. It reports whether a read of a group may leave the failure domain, given its
// expected completions at the best endpoints inside and outside.
func (e *egress) Allows(group string, local, remote time.Duration) bool {
	comparison := rattanegress.Comparison{Local: local, Remote: remote, HasReport: e.hasReport(group)}
	e.mu.Lock()
	decision := e.policy.Decide(group, comparison, e.proxy.clock.Now())
	e.mu.Unlock()
	if change := decision.Change; change != nil {
		e.proxy.logger.Info("egress_changed", "group", change.Group, "share", change.Share, "reason", change.Reason,
			"local_ms", local.Milliseconds(), "remote_ms", remote.Milliseconds())
	}
	return decision.IsAllowed
}

// hasReport reports whether the load of an endpoint of a group in another failure domain
// is known.
func (e *egress) hasReport(group string) bool {
	for _, upstream := range e.proxy.endpoints.Upstreams(group) {
		if !e.proxy.endpoints.IsLocal(upstream.Endpoint()) && e.proxy.loads.isKnown(upstream.Endpoint()) {
			return true
		}
	}
	return false
}

// recordWork counts the bytes of a group's work that was sent to another failure domain.
func (e *egress) recordWork(upstream *rattanupstream.Upstream, request, response *rattanv1.PeerFrame) {
	group := upstream.Endpoint().Group
	hasChoice := isRead(request.GetWorkRequest()) && e.hasLocalEndpoint(group)
	bytes := rattanlink.RequestBytes(request) + rattanlink.ResponseBytes(response)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.policy.Sent(group, int64(bytes), hasChoice, e.proxy.clock.Now())
}

// isRead reports whether replicas may serve a request. A read without a minimum position
// needs the primary.
func isRead(request *rattanv1.WorkRequest) bool {
	switch request.GetKind() {
	case rattanv1.WorkKind_WORK_KIND_READ:
		return rattanmodel.PositionFromWire(request.GetFloor()) != rattanmodel.Position{}
	case rattanv1.WorkKind_WORK_KIND_BEGIN:
		return request.GetReadsOnly() && !request.GetAtPrimary()
	default:
		return false
	}
}

// hasLocalEndpoint reports whether a group has an endpoint in this daemon's failure
// domain that answers and gets new statements.
func (e *egress) hasLocalEndpoint(group string) bool {
	for _, upstream := range e.proxy.endpoints.Upstreams(group) {
		if e.proxy.endpoints.IsLocal(upstream.Endpoint()) && !upstream.IsSuspect() {
			return true
		}
	}
	return false
}

// observeExchange counts the bytes of a call to a daemon of another failure domain.
func (e *egress) observeExchange(exchange rattanlink.Exchange) {
	if !e.isOutside(exchange.Address) {
		return
	}
	counters := &e.proxy.metrics.counters
	counters.Add("egress_bytes_sent_"+exchange.Kind.String(), int64(exchange.SentBytes))
	counters.Add("egress_bytes_received_"+exchange.Kind.String(), int64(exchange.ReceivedBytes))
	counters.Add("egress_calls_"+exchange.Kind.String(), 1)
}

// isOutside reports whether an address is that of a VM of another failure domain.
func (e *egress) isOutside(address string) bool {
	snapshot := e.proxy.cache.Snapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot != snapshot {
		e.snapshot = snapshot
		e.outside = make(map[string]bool)
		for _, vm := range snapshot.VMs {
			if vm.FailureDomain != e.proxy.settings.FailureDomain() {
				e.outside[vm.Address] = true
			}
		}
	}
	return e.outside[address]
}

// An egressState is the state of the egress decisions, for dumps.
type egressState struct {
	Groups []rattanegress.GroupState `json:"groups"`
	// BudgetLeft is how many bytes may leave by choice now, nil for no limit.
	BudgetLeft *int64 `json:"budget_left_bytes"`
}

func (e *egress) state() egressState {
	now := e.proxy.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := egressState{Groups: e.policy.States(now)}
	if left, isLimited := e.policy.BudgetLeft(now); isLimited {
		state.BudgetLeft = &left
	}
	return state
}

// writeText writes the metrics of the shares and of the budget, one per line.
func (e *egress) writeText(w io.Writer) {
	state := e.state()
	for _, group := range state.Groups {
		fmt.Fprintf(w, "egress_share{group=%q} %.3f\n", group.Group, group.Share)
		fmt.Fprintf(w, "egress_work_bytes{group=%q,choice=\"true\"} %d\n", group.Group, group.ChosenBytes)
		fmt.Fprintf(w, "egress_work_bytes{group=%q,choice=\"false\"} %d\n", group.Group, group.ForcedBytes)
	}
	if state.BudgetLeft != nil {
		fmt.Fprintf(w, "egress_budget_left_bytes %d\n", *state.BudgetLeft)
	}
}
