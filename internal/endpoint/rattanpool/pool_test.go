package rattanpool

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestDo guards against a request that does not run, a connection that is opened
// again for each request, and one that is used after its request has ended.
func TestDo(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 4, Slots: 3}, func(t *testing.T, p *Pool) {
		var kept *Conn
		for range 10 {
			err := p.Do(t.Context(), Flow{Account: "a"}, func(ctx context.Context, conn *Conn) error {
				kept = conn
				return single(ctx, conn)
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		assertEqual(t, "use after the request", single(t.Context(), kept), rattanadapter.ErrClosed)
		opened, _, _ := endpoint.counts()
		assertEqual(t, "connections opened", opened, 2)
	})
	assertEqual(t, "connections left open", endpoint.connections(), 0)
}

// TestFairness guards against an account that gets other accounts' service by
// sending several times its rate, and against a weight without effect. One slot
// of 10 ms gives 100 requests/s. The polite accounts send 20/s each, the greedy
// one 500/s.
func TestFairness(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options []Option
		fair    bool
	}{
		{"deficit round robin", nil, true},
		{"first in, first out", []Option{WithFIFO()}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(1, 10*time.Millisecond)
			inPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
				load := newLoad(t, p, 200*time.Millisecond, 10*time.Second)
				load.send(Flow{Account: "greedy"}, 500)
				for _, account := range []string{"a", "b", "c"} {
					load.send(Flow{Account: account}, 20)
				}
				load.wait()
				for _, account := range []string{"a", "b", "c"} {
					if share := load.served[account] / 200; (share > 0.95) != tc.fair {
						t.Errorf("account %s: served share %.2f, want over 0.95: %t", account, share, tc.fair)
					}
				}
				t.Logf("served of 200, 200, 200, 5000: %v", load.served)
			}, tc.options...)
		})
	}
}

// TestWeight guards against a weight or a cost without effect: both accounts ask
// for more than there is.
func TestWeight(t *testing.T) {
	for _, tc := range []struct {
		name   string
		weight int
		cost   time.Duration
	}{
		{"three times the weight", 3, 30 * time.Millisecond},
		{"a third of the cost", 1, 10 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(1, 30*time.Millisecond)
			endpoint.costs = map[string]time.Duration{"favoured": tc.cost}
			inPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
				load := newLoad(t, p, 500*time.Millisecond, 20*time.Second)
				load.send(Flow{Account: "other"}, 100)
				load.send(Flow{Account: "favoured", Weight: tc.weight}, 100)
				load.wait()
				if ratio := load.served["favoured"] / load.served["other"]; ratio < 2.5 || ratio > 3.5 {
					t.Errorf("served %v, ratio %.2f, want about 3", load.served, ratio)
				}
			})
		})
	}
}

// TestRefusesAtOnce guards against a refusal that is held back until the
// deadline, and against one without a retry-after.
func TestRefusesAtOnce(t *testing.T) {
	endpoint := newFakeEndpoint(1, 100*time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
		if err := p.Do(t.Context(), Flow{Account: "a"}, single); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			go p.Do(t.Context(), Flow{Account: "a"}, single)
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		refusal := assertRefused(t, p.Do(ctx, Flow{Account: "a"}, single), rattanv1.Reason_REASON_OVERLOADED)
		assertEqual(t, "time until the refusal", time.Since(start), 0)
		if refusal.RetryAfter < 500*time.Millisecond {
			t.Errorf("retry-after %s is before the queue is served", refusal.RetryAfter)
		}
		if err := p.Do(ctx, Flow{Account: "b"}, single); err != nil {
			t.Errorf("another account: %v", err)
		}
		time.Sleep(2 * time.Second)
	})
}

// TestBrokenAnswer guards against reuse of a connection whose answer was lost or
// belongs to another call, and against a refusal that claims nothing ran.
func TestBrokenAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *fakeEndpoint)
	}{
		{"lost", func(f *fakeEndpoint) { f.down = errors.New("connection reset") }},
		{"crossed", func(f *fakeEndpoint) { f.crossEvery = 1 }},
		{"silent", func(f *fakeEndpoint) { f.silent = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(1, time.Millisecond)
			inPool(t, endpoint, Limits{Connections: 1, Slots: 1}, func(t *testing.T, p *Pool) {
				if err := p.Do(t.Context(), Flow{Account: "a"}, single); err != nil {
					t.Fatal(err)
				}
				endpoint.set(tc.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := p.Do(ctx, Flow{Account: "a"}, single)
				if _, refused := rattanerr.AsRefusal(err); err == nil || refused {
					t.Errorf("got %v, want the connection's error", err)
				}
				endpoint.set(func(f *fakeEndpoint) { f.down, f.crossEvery, f.silent = nil, 0, false })
				time.Sleep(2 * time.Second)
				if err := p.Do(t.Context(), Flow{Account: "a"}, single); err != nil {
					t.Error(err)
				}
				opened, open, _ := endpoint.counts()
				assertEqual(t, "connections opened", opened, 2)
				assertEqual(t, "connections open", open, 1)
			})
		})
	}
}

// TestBreaker guards against requests that go on to a failed endpoint, against
// callers who wait for it, and against full load at once on its return.
func TestBreaker(t *testing.T) {
	endpoint := newFakeEndpoint(9, time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 10, Slots: 9}, func(t *testing.T, p *Pool) {
		endpoint.set(func(f *fakeEndpoint) { f.down = errors.New("connection reset") })
		for p.Breaker() == BreakerClosed {
			time.Sleep(time.Millisecond)
			p.Do(t.Context(), Flow{Account: "a"}, single)
		}
		start := time.Now()
		refusal := assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, single), rattanv1.Reason_REASON_UNAVAILABLE)
		assertEqual(t, "time until the refusal", time.Since(start), 0)
		if refusal.RetryAfter > openTime {
			t.Errorf("retry-after %s is past the probe", refusal.RetryAfter)
		}
		time.Sleep(1200 * time.Millisecond)
		_, _, probes := endpoint.counts()
		assertEqual(t, "probes in 1.2 s", probes, 2)
		endpoint.set(func(f *fakeEndpoint) { f.down = nil })
		time.Sleep(openTime)
		assertEqual(t, "breaker", p.Breaker(), BreakerClosed)
		assertEqual(t, "limit on return", p.Stats().InFlightLimit, 1)
		load := newLoad(t, p, time.Second, slowStart/2)
		load.send(Flow{Account: "a"}, 20000)
		time.Sleep(slowStart / 2)
		if limit := p.Stats().InFlightLimit; limit < 3 || limit > 5 {
			t.Errorf("limit halfway through the slow start is %d of 9", limit)
		}
		load.wait()
	})
}

// TestNoConnection guards against callers who wait for an endpoint to which no
// connection can be opened.
func TestNoConnection(t *testing.T) {
	endpoint := newFakeEndpoint(1, time.Millisecond)
	endpoint.down = errors.New("connection refused")
	inPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
		start := time.Now()
		assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, single), rattanv1.Reason_REASON_UNAVAILABLE)
		assertEqual(t, "time until the refusal", time.Since(start), 10*time.Millisecond)
	})
}

// TestOneAccountsDeadlines guards against a breaker that one account opens for
// all, by deadlines that no request can meet or by statements that run too long
// while the endpoint answers others.
func TestOneAccountsDeadlines(t *testing.T) {
	for _, deadline := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond} {
		endpoint := newFakeEndpoint(1, 50*time.Millisecond)
		inPool(t, endpoint, Limits{Connections: 1, Slots: 1}, func(t *testing.T, p *Pool) {
			for range 30 {
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				time.AfterFunc(400*time.Millisecond, func() { p.Observe(&rattanv1.EndpointStatus{}) })
				p.Do(ctx, Flow{Account: "a"}, func(ctx context.Context, conn *Conn) error {
					endpoint.set(func(f *fakeEndpoint) { f.silent = true })
					defer endpoint.set(func(f *fakeEndpoint) { f.silent = false })
					return single(ctx, conn)
				})
				cancel()
				assertEqual(t, "breaker", p.Breaker(), BreakerClosed)
				time.Sleep(time.Second)
			}
		})
	}
}

// TestRestart guards against one failed request for each connection that a
// restarted endpoint no longer knows.
func TestRestart(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 4, Slots: 3}, func(t *testing.T, p *Pool) {
		time.Sleep(time.Second)
		endpoint.set(func(f *fakeEndpoint) { clear(f.open) })
		err := p.Do(t.Context(), Flow{Account: "a"}, single)
		assertEqual(t, "run state", rattanadapter.RunState(err), rattanerr.NotRun)
		for range 4 {
			if err := p.Do(t.Context(), Flow{Account: "a"}, single); err != nil {
				t.Error(err)
			}
		}
	}, WithMinIdle(4))
}

// TestLimitAdapts guards against an in-flight limit that ignores the queue which
// the endpoint reports, as when other daemons use its slots.
func TestLimitAdapts(t *testing.T) {
	endpoint := newFakeEndpoint(1, 5*time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 10, Slots: 8}, func(t *testing.T, p *Pool) {
		load := newLoad(t, p, time.Second, 5*time.Second)
		load.send(Flow{Account: "a"}, 1000)
		time.Sleep(4 * time.Second)
		if limit := p.Stats().InFlightLimit; limit > 5 {
			t.Errorf("limit is %d while the endpoint has one slot, want at most 5", limit)
		}
		load.wait()
	})
}

// TestDrain guards against new work on a drained endpoint, against running work
// that is cut off, and against a transaction that outlives the drain timeout.
func TestDrain(t *testing.T) {
	endpoint := newFakeEndpoint(1, time.Second)
	inPool(t, endpoint, Limits{Connections: 3, Slots: 1, DrainTimeout: 2 * time.Second}, func(t *testing.T, p *Pool) {
		pinned, err := p.Pin(t.Context(), Flow{Account: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if err := pinned.Do(t.Context(), runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN)); err != nil {
			t.Fatal(err)
		}
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- p.Do(t.Context(), Flow{Account: "a"}, single) }()
			synctest.Wait()
		}
		p.SetDrained(true)
		assertRefused(t, <-results, rattanv1.Reason_REASON_DRAINED)
		assertRefused(t, p.Do(t.Context(), Flow{Account: "b"}, single), rattanv1.Reason_REASON_DRAINED)
		if err := <-results; err != nil {
			t.Errorf("running request: %v", err)
		}
		if err := pinned.Do(t.Context(), runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_CONTINUE)); err != nil {
			t.Errorf("open transaction: %v", err)
		}
		<-pinned.Done()
		step := runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT)
		assertRefused(t, pinned.Do(t.Context(), step), rattanv1.Reason_REASON_TRANSACTION_LOST)
		time.Sleep(20 * time.Millisecond)
		assertEqual(t, "connections open while drained", endpoint.connections(), 0)
		p.SetDrained(false)
		assertEqual(t, "limit on return", p.Stats().InFlightLimit, 1)
		if err := p.Do(t.Context(), Flow{Account: "b"}, single); err != nil {
			t.Error(err)
		}
		pinned.Release()
	})
}

// TestPinned guards against a connection with an open transaction that serves
// another request, and against transactions that take every connection.
func TestPinned(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 5, Slots: 3}, func(t *testing.T, p *Pool) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var all []*PinnedConn
		for _, account := range []string{"a", "a", "b", "b"} {
			if len(all) == 2 {
				if _, err := p.Pin(ctx, Flow{Account: "a"}); err == nil {
					t.Error("one account holds more than half")
				}
			}
			pinned, err := p.Pin(t.Context(), Flow{Account: account})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, pinned)
		}
		if _, err := p.Pin(ctx, Flow{Account: "c"}); err == nil {
			t.Error("transactions hold every connection")
		}
		if err := p.Do(t.Context(), Flow{Account: "c"}, single); err != nil {
			t.Errorf("single request beside transactions: %v", err)
		}
		if err := all[0].Do(t.Context(), runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN)); err != nil {
			t.Fatal(err)
		}
		assertEqual(t, "connections open", endpoint.connections(), 5)
		all[0].Release()
		all[1].Release()
		time.Sleep(time.Second)
		assertEqual(t, "connections left without the one in a transaction", endpoint.connections(), 4)
		assertEqual(t, "pinned", p.Stats().Pinned, 2)
		all[2].Release()
		all[3].Release()
	})
}

// TestLimits guards against more connections than the daemon's share, counted
// at the endpoint, when the share changes under load and connections break.
func TestLimits(t *testing.T) {
	endpoint := newFakeEndpoint(8, 5*time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 8, Slots: 8}, func(t *testing.T, p *Pool) {
		load := newLoad(t, p, time.Second, 4*time.Second)
		load.send(Flow{Account: "a"}, 2000)
		for _, limit := range []int{3, 8, 1, 5} {
			p.SetLimits(Limits{Connections: limit, Slots: 8})
			time.Sleep(100 * time.Millisecond)
			endpoint.set(func(f *fakeEndpoint) { f.peak, f.crossEvery = len(f.open), 7 })
			time.Sleep(500 * time.Millisecond)
			endpoint.set(func(f *fakeEndpoint) {
				f.crossEvery = 0
				if f.peak > limit {
					t.Errorf("%d connections were open, the limit is %d", f.peak, limit)
				}
			})
		}
		p.SetLimits(Limits{Slots: 8})
		assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, single), rattanv1.Reason_REASON_OVERLOADED)
		load.wait()
	})
}

// load sends requests at constant rates and counts those that were served.
type load struct {
	t        *testing.T
	pool     *Pool
	deadline time.Duration
	length   time.Duration
	tasks    sync.WaitGroup
	mu       sync.Mutex
	served   map[string]float64
}

func newLoad(t *testing.T, p *Pool, deadline, length time.Duration) *load {
	return &load{t: t, pool: p, deadline: deadline, length: length, served: make(map[string]float64)}
}

func (l *load) send(flow Flow, perSecond int) {
	l.tasks.Go(func() {
		for range int(l.length.Seconds() * float64(perSecond)) {
			time.Sleep(time.Second / time.Duration(perSecond))
			l.tasks.Go(func() { l.once(flow) })
		}
	})
}

func (l *load) once(flow Flow) {
	ctx, cancel := context.WithTimeout(l.t.Context(), l.deadline)
	defer cancel()
	err := l.pool.Do(ctx, flow, func(ctx context.Context, conn *Conn) error {
		_, err := conn.Run(ctx, &rattanv1.RunStatementsRequest{ClientAccount: flow.Account})
		return err
	})
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served[flow.Account]++
	}
}

func (l *load) wait() { l.tasks.Wait() }

func assertRefused(t *testing.T, err error, reason rattanv1.Reason) *rattanerr.Refusal {
	t.Helper()
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok || refusal.Reason != reason || refusal.RunState != rattanerr.NotRun {
		t.Fatalf("got %v, want a refusal %s that has not run", err, rattanerr.ReasonName(reason))
	}
	return refusal
}
