package rattangrant

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const lifetime = time.Second

func newTest() (*Grants, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(clock, lifetime), clock
}

func steady(primary string, number int64) PrimaryRecord {
	return PrimaryRecord{Primary: primary, Version: number}
}

func assertPrimary(t *testing.T, g *Grants, want string) {
	t.Helper()
	got, ok := g.Primary("orders")
	if ok != (want != "") || got != want {
		t.Fatalf("primary %q (%t), want %q", got, ok, want)
	}
}

// TestGrantNeedsBaseline guards against primary work of a daemon that a switch
// does not wait for, because it was not listed when it read the record.
func TestGrantNeedsBaseline(t *testing.T) {
	g, clock := newTest()
	g.UpdateRecord("orders", steady("e1", 1), 10)
	g.Renew(clock.Now())
	assertPrimary(t, g, "")
	g.MarkInitialSync(clock.Now())
	assertPrimary(t, g, "e1")
	g.MarkLeaseLost()
	assertPrimary(t, g, "")
}

// TestGrantEndsWithoutRenewal guards against a daemon that is cut off from the
// store and goes on with an old primary; the clock counts suspension.
func TestGrantEndsWithoutRenewal(t *testing.T) {
	g, clock := newTest()
	g.UpdateRecord("orders", steady("e1", 1), 10)
	g.MarkInitialSync(clock.Now())
	clock.Advance(lifetime - time.Millisecond)
	assertPrimary(t, g, "e1")
	clock.Advance(time.Millisecond)
	assertPrimary(t, g, "")
	g.Renew(clock.Now())
	assertPrimary(t, g, "e1")
}

// TestSwitchEndsGrantAtOnce guards against work that is sent after the daemon has
// heard of a switch, and against an older record that brings the primary back.
func TestSwitchEndsGrantAtOnce(t *testing.T) {
	g, clock := newTest()
	g.UpdateRecord("orders", steady("e1", 1), 10)
	g.MarkInitialSync(clock.Now())
	g.UpdateRecord("orders", PrimaryRecord{Primary: "e1", Version: 2, IsSwitching: true}, 20)
	assertPrimary(t, g, "")
	g.UpdateRecord("orders", steady("e1", 1), 10)
	assertPrimary(t, g, "")
	g.UpdateRecord("orders", steady("e2", 3), 30)
	assertPrimary(t, g, "e2")
}

// TestLentGrantEnds guards against a daemon that relies on another one for longer
// than that one's own lease allows.
func TestLentGrantEnds(t *testing.T) {
	g, clock := newTest()
	g.UpdateRecord("orders", steady("e1", 1), 10)
	g.AcceptDelegation(clock.Now().Add(300 * time.Millisecond))
	assertPrimary(t, g, "e1")
	clock.Advance(300 * time.Millisecond)
	assertPrimary(t, g, "")
}

// TestQuiesceInterruptsWork guards against a confirmation while a write is still
// under way at the old primary.
func TestQuiesceInterruptsWork(t *testing.T) {
	g := New(clockwork.NewRealClock(), lifetime)
	g.UpdateRecord("orders", steady("e1", 1), 10)
	g.MarkInitialSync(g.Now())
	interrupted := make(chan struct{})
	done, ok := g.Track("orders", "e1", func() { close(interrupted) })
	if !ok {
		t.Fatal("the daemon holds no grant")
	}
	go func() {
		<-interrupted
		done()
	}()
	g.Quiesce("orders", 10*time.Millisecond)
	select {
	case <-interrupted:
	default:
		t.Error("the work was not interrupted")
	}
	if _, ok := g.Track("orders", "e2", func() {}); ok {
		t.Error("work for an endpoint that does not lead is accepted")
	}
}

// TestExpectedEnd guards against requests that wait for a switch which ends after
// their deadline, or that give up just before its end.
func TestExpectedEnd(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSwitchoverEstimator(clock)
	if _, ok := s.ExpectedEnd("orders"); ok {
		t.Fatal("a switch is expected although none is under way")
	}
	s.Observe("orders", PrimaryRecord{IsSwitching: true, IsPlanned: true})
	clock.Advance(400 * time.Millisecond)
	s.Observe("orders", steady("e2", 3))
	s.Observe("orders", PrimaryRecord{IsSwitching: true, IsPlanned: true})
	end, ok := s.ExpectedEnd("orders")
	if !ok || end.Sub(clock.Now()) != 400*time.Millisecond {
		t.Errorf("expected in %s (%t), want 400ms as the last time", end.Sub(clock.Now()), ok)
	}
	clock.Advance(time.Second)
	if _, ok := s.ExpectedEnd("orders"); ok {
		t.Error("an overdue switch is still expected to end")
	}
}
