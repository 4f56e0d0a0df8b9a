package rattanpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
)

// BenchmarkDo measures an uncontended request by the number of client accounts.
func BenchmarkDo(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			endpoint := newFakeEndpoint(3, 0)
			endpoint.slots = make(chan struct{}, 3)
			p := New(rattanclock.System(), rattanadapter.New(endpoint, "vm-1"), Limits{Connections: 4, Slots: 3})
			flows := newFlows(accounts)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if err := p.Do(b.Context(), flows[n%accounts], single); err != nil {
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

// BenchmarkQueue measures admission to and dispatch from a queue in which every
// client account has requests waiting, with costs of 1 to 100 times the least.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			l := newAdmissionQueue(initialService)
			flows := newFlows(accounts)
			now := time.Now()
			push := func(flow Flow) {
				a := l.account(flow, now)
				w := &waiter{flow: flow, cost: l.estimate(a)}
				l.wait(a, 3, true)
				l.push(a, w, now, l.quantum())
			}
			for _, flow := range flows {
				push(flow)
				push(flow)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				w := l.next(now, l.quantum(), nil)
				service := time.Duration(1+n*n%100) * time.Millisecond
				l.settle(w, service)
				l.measure(w.flow, service, service)
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
