package rattanmember

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// linkBytes is the size of what rattanlink adds to one frame without TLS: the
// frame's length and three yamux headers. TestLinkOverhead checks it.
const linkBytes = 4 + 3*12

// fleet runs daemons on an in-memory network, inside a synctest bubble.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	running sync.WaitGroup
	daemons []*testDaemon

	mutex  sync.Mutex
	random *rand.Rand
	byAddr map[string]*testDaemon
	// loss is the probability that a message is lost; cut reports whether all
	// messages of a direction are. See setNetwork.
	loss float64
	cut  func(from, to *testDaemon) bool
}

type testDaemon struct {
	identity Identity
	store    *rattangossip.Store
	registry *Registry
	runner   *rattangossip.Runner
	gate     *gate
	cancel   context.CancelFunc
	stopped  atomic.Bool

	sent, received, messages atomic.Uint64
}

// gate is a daemon's clock that can freeze the daemon, as a VM pause does: while it
// is closed, timers do not fire and pass blocks. It waits on a channel, since
// synctest's time does not advance while a goroutine waits for a mutex.
type gate struct {
	rattanclock.Clock
	mutex  sync.Mutex
	closed chan struct{}
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) pass() {
	g.mutex.Lock()
	closed := g.closed
	g.mutex.Unlock()
	if closed != nil {
		<-closed
	}
}

func (g *gate) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	time.AfterFunc(d, func() {
		g.pass()
		fired <- g.Now()
	})
	return fired
}

// newFleet starts count daemons, spread evenly over the given number of failure
// domains.
func newFleet(t *testing.T, count, domains int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, random: rand.New(rand.NewPCG(1, 2)), byAddr: make(map[string]*testDaemon)}
	for i := range count {
		f.start(Identity{
			VM:            fmt.Sprintf("vm-%03d", i),
			Incarnation:   1,
			FailureDomain: string(rune('a' + i%domains)),
			Addresses:     Addresses{Caller: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250), Peer: fmt.Sprintf("10.0.%d.%d:7301", i/250, i%250)},
		})
	}
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

func (f *fleet) start(identity Identity) *testDaemon {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &testDaemon{identity: identity, gate: &gate{Clock: rattanclock.System()}, cancel: cancel}
	d.store = rattangossip.NewStore(d.gate)
	d.registry = New(identity, d.store, d.gate, WithSeeds("10.0.0.0:7301", "10.0.0.1:7301"))
	seed := uint64(len(f.daemons))
	self := rattangossip.Peer{VM: identity.VM, Incarnation: identity.Incarnation, FailureDomain: identity.FailureDomain}
	exchange := rattangossip.NewExchange(self, d.store, rattangossip.WithVolatile(d.registry), rattangossip.WithExchangeObserver(d.registry.ObserveExchange))
	selector := rattangossip.NewPeerSelector(identity.FailureDomain, d.registry, d.gate, rand.New(rand.NewPCG(seed, 1)))
	d.runner = rattangossip.NewRunner(exchange, selector, &testLink{fleet: f, from: d}, d.gate, rand.New(rand.NewPCG(seed, 2)))
	f.mutex.Lock()
	f.daemons = append(f.daemons, d)
	f.byAddr[identity.Addresses.Peer] = d
	f.mutex.Unlock()
	f.running.Go(func() { _ = d.registry.Run(ctx) })
	f.running.Go(func() { _ = d.runner.Run(ctx) })
	return d
}

func (d *testDaemon) stop() {
	d.stopped.Store(true)
	d.cancel()
}

// testLink is one daemon's rattangossip.Link. A message takes 1 ms in each
// direction.
type testLink struct {
	fleet *fleet
	from  *testDaemon
}

func (l *testLink) Call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	l.fleet.mutex.Lock()
	to := l.fleet.byAddr[address]
	l.fleet.mutex.Unlock()
	l.from.gate.pass()
	if to == nil || to.stopped.Load() || l.from.stopped.Load() {
		return nil, errors.New("connection refused")
	}
	request, err := l.deliver(ctx, l.from, to, frame)
	if err != nil {
		return nil, err
	}
	to.gate.pass()
	response, err := to.runner.Handle(ctx, request)
	if err != nil {
		return nil, err
	}
	response, err = l.deliver(ctx, to, l.from, response)
	l.from.gate.pass()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return response, err
}

// deliver passes a copy of frame from one daemon to another and counts its bytes. A
// lost frame blocks until ctx ends.
func (l *testLink) deliver(ctx context.Context, from, to *testDaemon, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	data, err := proto.Marshal(frame)
	if err != nil {
		return nil, err
	}
	from.sent.Add(uint64(len(data) + linkBytes))
	from.messages.Add(1)
	if l.fleet.lost(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	to.received.Add(uint64(len(data) + linkBytes))
	delivered := &rattanv1.PeerFrame{}
	return delivered, proto.Unmarshal(data, delivered)
}

func (f *fleet) lost(from, to *testDaemon) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < f.loss || (f.cut != nil && f.cut(from, to))
}

func (f *fleet) setNetwork(loss float64, cut func(from, to *testDaemon) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loss, f.cut = loss, cut
}

// until waits in simulated time until condition is true and returns how long that
// took. It fails the test after limit.
func (f *fleet) until(limit time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// allLive reports whether every running daemon sees as many other daemons live as
// are running.
func (f *fleet) allLive() bool {
	var running []*testDaemon
	for _, d := range f.daemons {
		if !d.stopped.Load() {
			running = append(running, d)
		}
	}
	for _, d := range running {
		if len(d.registry.LivePeers()) != len(running)-1 {
			return false
		}
	}
	return true
}

func settings(version uint64, bytes int) rattangossip.Record {
	return rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SETTINGS,
		Name:    "shop",
		Version: version,
		Value:   make([]byte, bytes),
	}
}

// allHave reports whether every running daemon has want's version or a newer one.
func (f *fleet) allHave(want rattangossip.Record) bool {
	for _, d := range f.daemons {
		got, _ := d.store.Get(want.Kind, want.Name)
		if !d.stopped.Load() && got.Compare(want) < 0 {
			return false
		}
	}
	return true
}

// inBubble runs test under simulated time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
