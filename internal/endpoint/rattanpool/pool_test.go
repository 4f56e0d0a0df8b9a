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

// TestDo guards against a request that does not run, a new connection for each
// request, and a connection that can be used after its request has ended.
func TestDo(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 4, Slots: 3}, func(t *testing.T, p *Pool) {
		var retained *Conn
		for range 10 {
			err := p.Do(t.Context(), Flow{Account: "a"}, func(ctx context.Context, conn *Conn) error {
				retained = conn
				return autocommit(ctx, conn)
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		assertEqual(t, "error of a use after the request", autocommit(t.Context(), retained), rattanadapter.ErrClosed)
		opened, _, _ := endpoint.counts()
		assertEqual(t, "connections opened", opened, 2)
	})
	assertEqual(t, "connections left open", endpoint.connections(), 0)
}

// TestFairness guards against an account that takes other accounts' service time by
// sending several times its rate. One slot of 10 ms gives 100 requests/s. Accounts
// a, b and c send 20/s each, the greedy one 500/s. The first in, first out case
// shows that the load is enough to make an unfair queue fail.
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
			runWithPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
				load := newLoad(t, p, 200*time.Millisecond, 10*time.Second)
				load.send(Flow{Account: "greedy"}, 500)
				for _, account := range []string{"a", "b", "c"} {
					load.send(Flow{Account: account}, 20)
				}
				load.wait()
				for _, account := range []string{"a", "b", "c"} {
					if share := load.served[account] / 200; (share > 0.95) != tc.fair {
						t.Errorf("account %s: served share %.2f, want over 0.95 is %t", account, share, tc.fair)
					}
				}
				t.Logf("served of 200, 200, 200, 5000: %v", load.served)
			}, tc.options...)
		})
	}
}

// TestWeight guards against a weight or a cost that has no effect on the share of an
// account. Both accounts send more requests than can be served.
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
			runWithPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
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

// TestRefusesAtOnce guards against a refusal that is delayed until the deadline, and
// against one without a retry-after.
func TestRefusesAtOnce(t *testing.T) {
	endpoint := newFakeEndpoint(1, 100*time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
		if err := p.Do(t.Context(), Flow{Account: "a"}, autocommit); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			go p.Do(t.Context(), Flow{Account: "a"}, autocommit)
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		refusal := assertRefused(t, p.Do(ctx, Flow{Account: "a"}, autocommit), rattanv1.Reason_REASON_OVERLOADED)
		assertEqual(t, "time until the refusal", time.Since(start), 0)
		if refusal.RetryAfter < 500*time.Millisecond {
			t.Errorf("retry-after %s is before the queue is served", refusal.RetryAfter)
		}
		if err := p.Do(ctx, Flow{Account: "b"}, autocommit); err != nil {
			t.Errorf("request of another account: %v", err)
		}
		time.Sleep(2 * time.Second)
	})
}

// TestBrokenAnswer guards against reuse of a connection whose response was lost or
// belongs to another call, and against a refusal that states that nothing ran.
func TestBrokenAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *fakeEndpoint)
	}{
		{"lost", func(f *fakeEndpoint) { f.down = errors.New("connection reset") }},
		{"crossed", func(f *fakeEndpoint) { f.crossEvery = 1 }},
		{"silent", func(f *fakeEndpoint) { f.unresponsive = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			endpoint := newFakeEndpoint(1, time.Millisecond)
			runWithPool(t, endpoint, Limits{Connections: 1, Slots: 1}, func(t *testing.T, p *Pool) {
				if err := p.Do(t.Context(), Flow{Account: "a"}, autocommit); err != nil {
					t.Fatal(err)
				}
				endpoint.set(tc.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := p.Do(ctx, Flow{Account: "a"}, autocommit)
				if _, refused := rattanerr.AsRefusal(err); err == nil || refused {
					t.Errorf("got %v, want the connection's error", err)
				}
				endpoint.set(func(f *fakeEndpoint) { f.down, f.crossEvery, f.unresponsive = nil, 0, false })
				time.Sleep(2 * time.Second)
				if err := p.Do(t.Context(), Flow{Account: "a"}, autocommit); err != nil {
					t.Error(err)
				}
				opened, open, _ := endpoint.counts()
				assertEqual(t, "connections opened", opened, 2)
				assertEqual(t, "connections open", open, 1)
			})
		})
	}
}

// TestBreaker guards against requests that are still sent to a failed endpoint,
// against callers that wait for it, and against full load as soon as it returns.
func TestBreaker(t *testing.T) {
	endpoint := newFakeEndpoint(9, time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 10, Slots: 9}, func(t *testing.T, p *Pool) {
		endpoint.set(func(f *fakeEndpoint) { f.down = errors.New("connection reset") })
		for p.Breaker() == BreakerClosed {
			time.Sleep(time.Millisecond)
			p.Do(t.Context(), Flow{Account: "a"}, autocommit)
		}
		start := time.Now()
		refusal := assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, autocommit), rattanv1.Reason_REASON_UNAVAILABLE)
		assertEqual(t, "time until the refusal", time.Since(start), 0)
		if refusal.RetryAfter > openDuration {
			t.Errorf("retry-after %s is later than the probe", refusal.RetryAfter)
		}
		time.Sleep(1200 * time.Millisecond)
		_, _, probes := endpoint.counts()
		assertEqual(t, "probes in 1.2 s", probes, 2)
		endpoint.set(func(f *fakeEndpoint) { f.down = nil })
		time.Sleep(openDuration)
		assertEqual(t, "breaker", p.Breaker(), BreakerClosed)
		assertEqual(t, "limit on return", p.Stats().InFlightLimit, 1)
		load := newLoad(t, p, time.Second, slowStartDuration/2)
		load.send(Flow{Account: "a"}, 20000)
		time.Sleep(slowStartDuration / 2)
		if limit := p.Stats().InFlightLimit; limit < 3 || limit > 5 {
			t.Errorf("limit halfway through the slow start is %d of 9 slots", limit)
		}
		load.wait()
	})
}

// TestNoConnection guards against callers that wait for an endpoint to which no
// connection can be opened.
func TestNoConnection(t *testing.T) {
	endpoint := newFakeEndpoint(1, time.Millisecond)
	endpoint.down = errors.New("connection refused")
	runWithPool(t, endpoint, Limits{Connections: 2, Slots: 1}, func(t *testing.T, p *Pool) {
		start := time.Now()
		assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, autocommit), rattanv1.Reason_REASON_UNAVAILABLE)
		assertEqual(t, "time until the refusal", time.Since(start), 10*time.Millisecond)
	})
}

// TestOneAccountsDeadlines guards against a breaker that one account opens for all
// accounts, with deadlines that no request can meet or with statements that run
// past the deadline while the endpoint responds to other calls.
func TestOneAccountsDeadlines(t *testing.T) {
	for _, deadline := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond} {
		endpoint := newFakeEndpoint(1, 50*time.Millisecond)
		runWithPool(t, endpoint, Limits{Connections: 1, Slots: 1}, func(t *testing.T, p *Pool) {
			for range 30 {
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				time.AfterFunc(400*time.Millisecond, func() { p.Observe(&rattanv1.EndpointStatus{}) })
				p.Do(ctx, Flow{Account: "a"}, func(ctx context.Context, conn *Conn) error {
					endpoint.set(func(f *fakeEndpoint) { f.unresponsive = true })
					defer endpoint.set(func(f *fakeEndpoint) { f.unresponsive = false })
					return autocommit(ctx, conn)
				})
				cancel()
				assertEqual(t, "breaker", p.Breaker(), BreakerClosed)
				time.Sleep(time.Second)
			}
		})
	}
}

// TestRestart guards against one failed request for each open connection after the
// endpoint has restarted: the first failure must close all idle ones.
func TestRestart(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 4, Slots: 3}, func(t *testing.T, p *Pool) {
		time.Sleep(time.Second)
		endpoint.set(func(f *fakeEndpoint) { clear(f.open) })
		err := p.Do(t.Context(), Flow{Account: "a"}, autocommit)
		assertEqual(t, "run state", rattanadapter.RunState(err), rattanerr.NotRun)
		for range 4 {
			if err := p.Do(t.Context(), Flow{Account: "a"}, autocommit); err != nil {
				t.Error(err)
			}
		}
	}, WithMinIdle(4))
}

// TestLimitAdapts guards against an in-flight limit that ignores the queue length
// that the endpoint reports, for example because other daemons use its slots.
func TestLimitAdapts(t *testing.T) {
	endpoint := newFakeEndpoint(1, 5*time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 10, Slots: 8}, func(t *testing.T, p *Pool) {
		load := newLoad(t, p, time.Second, 5*time.Second)
		load.send(Flow{Account: "a"}, 1000)
		time.Sleep(4 * time.Second)
		if limit := p.Stats().InFlightLimit; limit > 5 {
			t.Errorf("limit is %d while the endpoint has one slot, want at most 5", limit)
		}
		load.wait()
	})
}

// TestDrain guards against new requests on a drained endpoint, against running
// requests that are interrupted, and against a transaction that outlives the drain
// timeout.
func TestDrain(t *testing.T) {
	endpoint := newFakeEndpoint(1, time.Second)
	runWithPool(t, endpoint, Limits{Connections: 3, Slots: 1, DrainTimeout: 2 * time.Second}, func(t *testing.T, p *Pool) {
		pinned, err := p.Pin(t.Context(), Flow{Account: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if err := pinned.Do(t.Context(), runOnce(rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN)); err != nil {
			t.Fatal(err)
		}
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- p.Do(t.Context(), Flow{Account: "a"}, autocommit) }()
			synctest.Wait()
		}
		p.SetDrained(true)
		assertRefused(t, <-results, rattanv1.Reason_REASON_DRAINED)
		assertRefused(t, p.Do(t.Context(), Flow{Account: "b"}, autocommit), rattanv1.Reason_REASON_DRAINED)
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
		if err := p.Do(t.Context(), Flow{Account: "b"}, autocommit); err != nil {
			t.Error(err)
		}
		pinned.Release()
	})
}

// TestPinned guards against a connection with an open transaction that is reused for
// another request, against one account that pins more than half of the connections,
// and against transactions that pin all of them.
func TestPinned(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 5, Slots: 3}, func(t *testing.T, p *Pool) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var all []*PinnedConn
		for _, account := range []string{"a", "a", "b", "b"} {
			if len(all) == 2 {
				if _, err := p.Pin(ctx, Flow{Account: "a"}); err == nil {
					t.Error("one account has pinned more than half of the connections")
				}
			}
			pinned, err := p.Pin(t.Context(), Flow{Account: account})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, pinned)
		}
		if _, err := p.Pin(ctx, Flow{Account: "c"}); err == nil {
			t.Error("transactions have pinned every connection")
		}
		if err := p.Do(t.Context(), Flow{Account: "c"}, autocommit); err != nil {
			t.Errorf("autocommit statement beside transactions: %v", err)
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

// TestLimits guards against more connections than the daemon's share, counted at the
// endpoint, when the share changes under load and connections are replaced after
// crossed responses.
func TestLimits(t *testing.T) {
	endpoint := newFakeEndpoint(8, 5*time.Millisecond)
	runWithPool(t, endpoint, Limits{Connections: 8, Slots: 8}, func(t *testing.T, p *Pool) {
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
					t.Errorf("%d connections were open, want at most %d", f.peak, limit)
				}
			})
		}
		p.SetLimits(Limits{Slots: 8})
		assertRefused(t, p.Do(t.Context(), Flow{Account: "a"}, autocommit), rattanv1.Reason_REASON_OVERLOADED)
		load.wait()
	})
}

// load sends requests at constant rates and counts those that are served.
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
			l.tasks.Go(func() { l.sendOnce(flow) })
		}
	})
}

func (l *load) sendOnce(flow Flow) {
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
		t.Fatalf("got %v, want a refusal with reason %s and run state not run", err, rattanerr.ReasonName(reason))
	}
	return refusal
}
