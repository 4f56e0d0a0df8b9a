package rattaninventory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func startTime() time.Time { return time.Unix(1000, 0) }

// use opens a connection of an account, or takes its idle one, and returns it.
func use(t *testing.T, i *Inventory[int], conn int, account string, at time.Duration) Assignment[int] {
	t.Helper()
	assignment, ok := i.Take(account, startTime().Add(at))
	if !ok {
		t.Fatalf("account %s gets no connection", account)
	}
	if assignment.Conn != 0 {
		conn = assignment.Conn
	}
	i.Put(conn, account)
	return assignment
}

// TestRareAccountIsEvicted guards against eviction of the connection of an account that
// is about to use it, since that of a rare account was used last.
func TestRareAccountIsEvicted(t *testing.T) {
	for _, test := range []struct {
		name     string
		byDemand bool
		want     int
	}{{"more accounts than connections", true, 2}, {"a connection for each account", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			i := New[int](Limits{Connections: 2, Idle: 2, ByDemand: test.byDemand})
			for n := range 5 {
				use(t, i, 1, "often", time.Duration(n)*time.Second)
			}
			use(t, i, 2, "rare", 5*time.Second)
			if got := use(t, i, 3, "third", 6*time.Second); got.Evict != test.want {
				t.Errorf("connection %d is evicted, want %d", got.Evict, test.want)
			}
		})
	}
}

// TestSpareConnectionIsEvicted guards against an account that keeps as many connections
// as it once used at the same time, while others have none.
func TestSpareConnectionIsEvicted(t *testing.T) {
	i := New[int](Limits{Connections: 3, Idle: 3, ByDemand: true})
	for range 2 {
		if _, ok := i.Take("often", startTime()); !ok {
			t.Fatal("no connection")
		}
	}
	i.Put(1, "often")
	i.Put(2, "often")
	for n := range 5 {
		use(t, i, 0, "often", time.Duration(n)*time.Second)
		use(t, i, 3, "seldom", time.Duration(n)*time.Second)
	}
	if got := use(t, i, 4, "third", 6*time.Second); got.Evict != 1 {
		t.Errorf("connection %d is evicted, want 1, the second one of the account", got.Evict)
	}
}

// TestSilentAccountIsEvicted guards against connections kept for the demand of a burst
// that is over.
func TestSilentAccountIsEvicted(t *testing.T) {
	i := New[int](Limits{Connections: 2, Idle: 2, ByDemand: true})
	for n := range 20 {
		use(t, i, 1, "burst", time.Duration(n)*time.Millisecond)
	}
	for n := range 10 {
		use(t, i, 2, "steady", 90*time.Second+time.Duration(n)*time.Second)
	}
	if got := use(t, i, 3, "third", 101*time.Second); got.Evict != 1 {
		t.Errorf("connection %d is evicted, want 1 of the account that is silent", got.Evict)
	}
}

// TestOpenedAhead guards against connections that are opened for accounts that are rarely
// seen, and against accounts of the same demand that take turns.
func TestOpenedAhead(t *testing.T) {
	seen := func(i *Inventory[int], account string, interval time.Duration) {
		for at := time.Duration(0); at < 20*time.Second; at += interval {
			i.demand.record(account, startTime().Add(at))
			i.demand.release(account)
		}
	}
	now := startTime().Add(20 * time.Second)
	assertAhead := func(t *testing.T, i *Inventory[int], want string) {
		t.Helper()
		if _, account, _ := i.TakeAhead(AheadWithin, now); account != want {
			t.Errorf("a connection is opened ahead for account %q, want %q", account, want)
		}
	}
	full := Limits{Connections: 1, Idle: 1, ByDemand: true}
	t.Run("expected soon", func(t *testing.T) {
		i := New[int](full)
		seen(i, "soon", time.Second)
		seen(i, "rare", 4*time.Second)
		assertAhead(t, i, "soon")
	})
	t.Run("rarely seen", func(t *testing.T) {
		i := New[int](full)
		seen(i, "rare", 4*time.Second)
		assertAhead(t, i, "")
	})
	t.Run("same demand", func(t *testing.T) {
		i := New[int](full)
		seen(i, "other", time.Second)
		use(t, i, 1, "soon", 0)
		seen(i, "soon", time.Second)
		assertAhead(t, i, "")
	})
	t.Run("far more demand", func(t *testing.T) {
		i := New[int](full)
		use(t, i, 1, "rare", 0)
		seen(i, "soon", time.Second)
		assertAhead(t, i, "soon")
	})
	t.Run("a connection for each account", func(t *testing.T) {
		i := New[int](Limits{Connections: 1, Idle: 1})
		seen(i, "soon", time.Second)
		assertAhead(t, i, "")
	})
}

// TestHeldIsBounded guards against connections over the limit and against counts that
// drift, over random sequences of uses, connections opened ahead, losses and limits.
func TestHeldIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), ByDemand: true}
		limits.Idle = limits.Connections
		i := New[int](limits)
		var inUse []string
		now, next := startTime(), 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 && len(inUse) > 0:
				i.Lost(inUse[0])
				inUse = inUse[1:]
			case step <= 2 && len(inUse) > 0:
				next++
				if !i.Put(next, inUse[0]) {
					i.Closed()
				}
				inUse = inUse[1:]
			case step == 3:
				if _, account, ok := i.TakeAhead(time.Hour, now); ok {
					inUse = append(inUse, account)
				}
			default:
				account := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "account")
				if _, ok := i.Take(account, now); ok {
					inUse = append(inUse, account)
				}
			}
			if i.Held() > limits.Connections || i.Busy() != len(inUse) {
				t.Fatalf("%d connections held of %d, %d busy, %d in use", i.Held(), limits.Connections, i.Busy(), len(inUse))
			}
		}
	})
}
