package rattanmember

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestPause guards against a paused daemon that still counts as live, and against
// one that after a pause sees daemons as live whose heartbeats it has missed.
func TestPause(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 9, 3)
		f.until(10*time.Second, "join", f.allLive)
		paused := f.daemons[4]
		paused.gate.close()
		took := f.until(5*time.Second, "pause seen", func() bool {
			return len(f.daemons[0].registry.Live()) == 8
		})
		if took < HeartbeatTimeout-2*HeartbeatInterval {
			t.Errorf("not live %s after the pause began, want at least %s", took, HeartbeatTimeout-2*HeartbeatInterval)
		}
		time.Sleep(20 * time.Second)
		if got := len(paused.registry.Live()); got != 1 {
			t.Errorf("paused daemon sees %d live daemons, want only itself", got)
		}
		paused.gate.open()
		f.until(5*time.Second, "return", f.allLive)
	})
}

// TestRestart guards against a restarted daemon that is mistaken for its previous
// incarnation, and against a leaving daemon that still counts as live.
func TestRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 9, 3)
		f.until(10*time.Second, "join", f.allLive)
		old := f.daemons[4]
		old.stop()
		identity := old.identity
		identity.Incarnation = 2
		restarted := f.start(identity)
		f.until(5*time.Second, "restart seen", func() bool {
			m, _ := f.daemons[0].registry.Member(identity.VM)
			return m.Incarnation == 2 && m.Live && f.allLive()
		})
		if !old.registry.Replaced() {
			old.store.Merge(recordOf(identity, Serving, 1))
		}
		if !old.registry.Replaced() || restarted.registry.Replaced() {
			t.Error("want the old incarnation replaced and the new one not")
		}
		restarted.registry.SetState(Leaving)
		f.until(2*time.Second, "leaving seen", func() bool {
			return !slices.ContainsFunc(f.daemons[0].registry.Live(), func(m Member) bool { return m.VM == identity.VM })
		})
	})
}

// TestConfirmed guards against a revision that counts as confirmed by daemons
// that do not have it in force, and against a partitioned failure domain that
// believes it can reach a majority of the failure domains.
func TestConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 9, 3)
		f.until(10*time.Second, "join", f.allLive)
		for _, d := range f.daemons[1:] {
			d.registry.SetRevisions(Revisions{Settings: 7, Digest: 1})
		}
		f.until(3*time.Second, "confirmations", func() bool {
			return len(f.daemons[0].registry.Confirmed(7).Confirmed) == 8
		})
		c := f.daemons[0].registry.Confirmed(7)
		if !slices.Equal(c.Missing, []string{"vm-000"}) || !IsMajority(c.Domains, []string{"a", "b", "c"}) {
			t.Errorf("Confirmed = %+v, want vm-000 missing and three failure domains", c)
		}
		all := []string{"a", "b", "c"}
		if !f.daemons[0].registry.MajorityReachable(all, 2*time.Second) {
			t.Error("majority of failure domains not reachable without faults")
		}
		f.setNetwork(0, func(from, to *testDaemon) bool {
			return from.identity.FailureDomain != to.identity.FailureDomain
		})
		time.Sleep(3 * time.Second)
		if f.daemons[0].registry.MajorityReachable(all, 2*time.Second) {
			t.Error("majority of failure domains still reachable from a partitioned failure domain")
		}
	})
}

// TestWatchers guards against daemons that disagree about who holds a watch: it
// would have too few watchers or too many.
func TestWatchers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		f.until(10*time.Second, "join", f.allLive)
		want := f.daemons[0].registry.Watchers("settings", WatchersPerDomain)
		if len(want) != 6 {
			t.Fatalf("%d watchers, want 2 in each of 3 failure domains", len(want))
		}
		for _, d := range f.daemons {
			is := slices.ContainsFunc(want, func(m Member) bool { return m.VM == d.identity.VM })
			if got := d.registry.IsWatcher("settings", WatchersPerDomain); got != is {
				t.Errorf("%s: IsWatcher = %t, want %t", d.identity.VM, got, is)
			}
		}
	})
}

// TestCounterWrap guards against heartbeats that are ignored after a partition
// during which the counter has advanced by more than half of the byte's range, and
// against late messages that count as heartbeats.
func TestCounterWrap(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := New(Identity{VM: "a1", FailureDomain: "a"}, rattangossip.NewStore(clock), clock)
	d := &daemon{identity: Identity{VM: "b1", FailureDomain: "b"}}
	for _, step := range []struct {
		wait     time.Duration
		counter  byte
		advanced bool
	}{
		{0, 200, true},
		{time.Second, 202, true},
		{time.Second, 201, false},
		{time.Second, 10, true},
		{10 * time.Second, 8, false},
		{2 * time.Minute, 8, true},
		{time.Second, 8, false},
	} {
		clock.Advance(step.wait)
		r.advance(d, vectorEntry{counter: step.counter}, false, clock.Now())
		if advanced := d.advancedAt.Equal(clock.Now()); advanced != step.advanced {
			t.Errorf("counter byte %d after %s: advanced = %t, want %t", step.counter, step.wait, advanced, step.advanced)
		}
	}
}

// FuzzDecodeVector guards against a vector from the network that makes the
// decoder panic or allocate memory for entries that it does not have.
func FuzzDecodeVector(f *testing.F) {
	const hash = 42
	v := vector{hash: hash, withRunning: true, entries: []vectorEntry{
		{tag: 1, index: 0, counter: 1, revisions: Revisions{Settings: 300, Digest: 1}, running: 500},
		{tag: 2, index: 9, counter: 255, revisions: Revisions{Settings: 301, Digest: 2}},
	}}
	f.Add(v.encode(10))
	v.sparse = true
	f.Add(v.encode(10))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeVector(data, 10, hash)
		if err != nil || (!decoded.sparse && decoded.hash != hash) {
			return
		}
		again, err := decodeVector(decoded.encode(10), 10, hash)
		if err != nil || !slices.Equal(again.entries, decoded.entries) {
			t.Errorf("encoded and decoded again: %+v, %v, want %+v", again, err, decoded)
		}
	})
}

// TestLinkOverhead guards against simulated fleets that count fewer bytes than
// rattanlink really sends: it measures sync requests over TCP and compares the
// overhead per frame with linkBytes.
func TestLinkOverhead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := rattanclock.System()
	self := rattangossip.Peer{VM: "a1", FailureDomain: "a"}
	store := rattangossip.NewStore(clock)
	selector := rattangossip.NewPeerSelector("a", New(Identity{VM: "a1", FailureDomain: "a"}, store, clock), clock, rand.New(rand.NewPCG(1, 1)))
	runner := rattangossip.NewRunner(rattangossip.NewExchange(self, store), selector, nil, clock, nil)
	server := rattanlink.NewServer()
	server.Handle(rattanlink.KindSync, runner.Handle)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	client := rattanlink.NewClient()
	defer func() {
		_ = client.Close()
		cancel()
		<-done
	}()
	request := rattangossip.NewExchange(self, store).Request(rattangossip.Peer{})
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_SyncRequest{SyncRequest: request}}
	call := func() {
		if _, err := client.Call(ctx, listener.Addr().String(), frame); err != nil {
			t.Fatal(err)
		}
	}
	call()
	before := client.Counters()
	const calls = 100
	for range calls {
		call()
	}
	after := client.Counters()
	perFrame := int(after.BytesSent-before.BytesSent) / calls
	payload := proto.Size(frame)
	if overhead := perFrame - payload; overhead > linkBytes {
		t.Errorf("%d bytes sent for a frame of %d bytes, want at most the %d bytes of overhead that the simulation counts", perFrame, payload, linkBytes)
	}
	t.Logf("%d bytes sent per frame", perFrame)
}
