package rattanpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
)

// BenchmarkDo measures a request that does not have to wait, for several numbers of
// client accounts.
func BenchmarkDo(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			endpoint := newFakeEndpoint(3, 0)
			endpoint.slots = make(chan struct{}, 3)
			p := New(rattanclock.System(), rattanadapter.New(endpoint, "vm-1"), Limits{Connections: 4, Slots: 3})
			flows := newFlows(accounts)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if err := p.Do(b.Context(), flows[n%accounts], autocommit); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			if err := p.Close(b.Context()); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkQueue measures adding a request to and taking one from a queue in which
// every client account has waiting requests, whose costs are 1 to 100 times the
// smallest cost.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			queue := newAdmissionQueue(initialServiceTime)
			flows := newFlows(accounts)
			now := time.Now()
			push := func(flow Flow) {
				a := queue.account(flow, now)
				w := &waiter{flow: flow, cost: queue.estimate(a)}
				queue.wait(a, 3, true)
				queue.push(a, w, now, queue.quantum())
			}
			for _, flow := range flows {
				push(flow)
				push(flow)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				w := queue.next(now, queue.quantum(), nil)
				service := time.Duration(1+n*n%100) * time.Millisecond
				queue.reconcile(w, service)
				queue.recordTimes(w.flow, service, service)
				push(w.flow)
			}
		})
	}
}

func newFlows(accounts int) []Flow {
	flows := make([]Flow, accounts)
	for i := range flows {
		flows[i] = Flow{Account: fmt.Sprintf("shop/dealer-%d", i), Weight: 1 + i%3}
	}
	return flows
}
