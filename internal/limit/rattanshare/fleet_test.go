package rattanshare

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var errLost = errors.New("message lost")

// A fleet is a set of managers whose messages reach each other after a fixed delay.
// It runs under the simulated time of testing/synctest.
type fleet struct {
	managers map[string]*Manager
	names    []string
	down     sync.Map // VMs that do not respond
	cancel   context.CancelFunc
	// loanRequests is the number of loan requests that were sent.
	loanRequests atomic.Int64
}

type fleetPeers struct{ f *fleet }

const fleetDelay = time.Millisecond

func (p fleetPeers) Borrow(ctx context.Context, request BorrowRequest) (Loan, error) {
	p.f.loanRequests.Add(1)
	time.Sleep(fleetDelay)
	if _, down := p.f.down.Load(request.Lender); down {
		<-ctx.Done()
		return Loan{}, errLost
	}
	loan := p.f.managers[request.Lender].HandleBorrow(request)
	time.Sleep(fleetDelay)
	return loan, nil
}

func (p fleetPeers) Return(_ context.Context, loanReturn LoanReturn) error {
	time.Sleep(fleetDelay)
	p.f.managers[loanReturn.Lender].HandleReturn(loanReturn)
	return nil
}

// newFleet returns a fleet of the given number of daemons in each of three failure
// domains, all of which have confirmed the settings.
func newFleet(t *testing.T, perDomain int, shares map[string]Amount, options ...Option) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{managers: make(map[string]*Manager)}
	var running sync.WaitGroup
	// Calls to peers end in simulated time, so the test waits for them.
	f.cancel = func() {
		cancel()
		running.Wait()
	}
	domains := []string{"a", "b", "c"}
	rosters := make(map[string]Roster)
	for _, domain := range domains {
		roster := Roster{Revision: 1}
		for i := range perDomain {
			member := Member{VM: fmt.Sprintf("vm-%s%d", domain, i+1), Incarnation: 1}
			roster, _ = roster.Join(member)
			f.names = append(f.names, member.VM)
			f.managers[member.VM] = New(rattanclock.System(), member.VM, 1, domain, fleetPeers{f}, options...)
		}
		rosters[domain] = roster
	}
	for _, m := range f.managers {
		m.SetSettings(Settings{Revisions: map[string]uint64{"shop": 1}, Domains: domains, Shares: shares})
		for domain, roster := range rosters {
			m.SetRoster(domain, roster)
		}
		running.Go(func() { _ = m.Run(ctx) })
	}
	f.confirm()
	// By then the increases are applied and the buckets are full.
	time.Sleep(reclaimTime + 3*time.Second)
	return f
}

// confirm delivers the confirmation of every manager to all managers.
func (f *fleet) confirm() {
	for vm, from := range f.managers {
		for _, to := range f.managers {
			to.SetConfirmation(Member{VM: vm, Incarnation: 1}, from.Confirmation())
		}
	}
}

// assertOverRate checks that err is a refusal with the run state not run, the reason
// over_rate and a retry-after.
func assertOverRate(t *testing.T, err error) {
	t.Helper()
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok || refusal.RunState != rattanerr.NotRun || refusal.Reason != rattanv1.Reason_REASON_OVER_RATE || refusal.RetryAfter <= 0 {
		t.Errorf("got error %v, want a refusal with not run, over_rate and a retry-after", err)
	}
}
