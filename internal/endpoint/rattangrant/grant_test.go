package rattangrant

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const lifetime = time.Second

func newTestGrants() (*Grants, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(clock, lifetime), clock
}

func newRecord(primary string, version int64) PrimaryRecord {
	return PrimaryRecord{Primary: primary, Version: version}
}

func assertPrimary(t *testing.T, g *Grants, want string) {
	t.Helper()
	got, ok := g.Primary("orders")
	if ok != (want != "") || got != want {
		t.Fatalf("primary %q (%t), want %q", got, ok, want)
	}
}

// TestGrantRequiresInitialSync guards against primary operations of a daemon that a
// switchover does not wait for, because the daemon was not registered when it read
// the record.
func TestGrantRequiresInitialSync(t *testing.T) {
	g, clock := newTestGrants()
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
	g.Renew(clock.Now())
	assertPrimary(t, g, "")
	g.MarkInitialSync(clock.Now())
	assertPrimary(t, g, "e1")
	g.MarkLeaseLost()
	assertPrimary(t, g, "")
}

// TestGrantEndsWithoutRenewal guards against a daemon that is partitioned from the
// store and continues to use an old primary. The clock includes time in suspension.
func TestGrantEndsWithoutRenewal(t *testing.T) {
	g, clock := newTestGrants()
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
	g.MarkInitialSync(clock.Now())
	clock.Advance(lifetime - time.Millisecond)
	assertPrimary(t, g, "e1")
	clock.Advance(time.Millisecond)
	assertPrimary(t, g, "")
	g.Renew(clock.Now())
	assertPrimary(t, g, "e1")
}

// TestSwitchoverEndsGrantImmediately guards against operations that are sent after
// the daemon has read the switching record, and against an older record that
// restores the old primary.
func TestSwitchoverEndsGrantImmediately(t *testing.T) {
	g, clock := newTestGrants()
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
	g.MarkInitialSync(clock.Now())
	g.UpdateRecord("orders", PrimaryRecord{Primary: "e1", Version: 2, IsSwitching: true}, 20)
	assertPrimary(t, g, "")
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
	assertPrimary(t, g, "")
	g.UpdateRecord("orders", newRecord("e2", 3), 30)
	assertPrimary(t, g, "e2")
}

// TestDelegatedGrantExpires guards against a daemon that uses delegated grants for
// longer than the lease of the delegating daemon allows.
func TestDelegatedGrantExpires(t *testing.T) {
	g, clock := newTestGrants()
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
	g.AcceptDelegation(clock.Now().Add(300 * time.Millisecond))
	assertPrimary(t, g, "e1")
	clock.Advance(300 * time.Millisecond)
	assertPrimary(t, g, "")
}

// TestQuiesceInterruptsWork guards against a daemon that confirms that it stopped
// while a write is still in flight at the old primary.
func TestQuiesceInterruptsWork(t *testing.T) {
	g := New(clockwork.NewRealClock(), lifetime)
	g.UpdateRecord("orders", newRecord("e1", 1), 10)
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
		t.Error("the operation was not interrupted")
	}
	if _, ok := g.Track("orders", "e2", func() {}); ok {
		t.Error("an operation at an endpoint that is not the primary is accepted")
	}
}

// TestExpectedEnd guards against requests that wait for a switchover which ends after
// their deadline, or that fail just before its end.
func TestExpectedEnd(t *testing.T) {
	clock := clockwork.NewFakeClock()
	estimator := NewSwitchoverEstimator(clock)
	if _, ok := estimator.ExpectedEnd("orders"); ok {
		t.Fatal("an end is expected although no switchover is ongoing")
	}
	estimator.Observe("orders", PrimaryRecord{IsSwitching: true, IsPlanned: true})
	clock.Advance(400 * time.Millisecond)
	estimator.Observe("orders", newRecord("e2", 3))
	estimator.Observe("orders", PrimaryRecord{IsSwitching: true, IsPlanned: true})
	end, ok := estimator.ExpectedEnd("orders")
	if !ok || end.Sub(clock.Now()) != 400*time.Millisecond {
		t.Errorf("expected in %s (%t), want 400ms as for the previous switchover", end.Sub(clock.Now()), ok)
	}
	clock.Advance(time.Second)
	if _, ok := estimator.ExpectedEnd("orders"); ok {
		t.Error("an overdue switchover is still expected to end")
	}
}
