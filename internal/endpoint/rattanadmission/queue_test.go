package rattanadmission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func begin() time.Time { return time.Unix(1000, 0) }

func waiter(account string, priority int, objective, deadline time.Duration) *Waiter[int] {
	return &Waiter[int]{Account: account, Priority: priority, Objective: begin().Add(objective), Deadline: begin().Add(deadline)}
}

func assertOutcome(t *testing.T, got, want Decision) {
	t.Helper()
	if got != want {
		t.Fatalf("outcome %d, want %d", got, want)
	}
}

// TestConnectionsStayWithTheirAccount guards against a statement on a connection
// of another client account.
func TestConnectionsStayWithTheirAccount(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2})
	first := waiter("a", 0, time.Second, time.Second)
	assertOutcome(t, queue.Request(first, begin()), Assigned)
	queue.Release(7, "a", time.Millisecond, begin())
	other := waiter("b", 0, time.Second, time.Second)
	assertOutcome(t, queue.Request(other, begin()), Assigned)
	if other.Assignment.Conn != 0 {
		t.Errorf("account b gets connection %d of account a", other.Assignment.Conn)
	}
	again := waiter("a", 0, time.Second, time.Second)
	assertOutcome(t, queue.Request(again, begin()), Assigned)
	if again.Assignment.Conn != 7 {
		t.Errorf("account a gets connection %d, want its idle connection 7", again.Assignment.Conn)
	}
}

// TestLongestUnusedConnectionIsReplaced guards against eviction of a connection
// that is in use often.
func TestLongestUnusedConnectionIsReplaced(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2})
	for _, account := range []string{"a", "b"} {
		assertOutcome(t, queue.Request(waiter(account, 0, time.Second, time.Second), begin()), Assigned)
	}
	queue.Release(1, "a", time.Millisecond, begin())
	queue.Release(2, "b", time.Millisecond, begin())
	third := waiter("c", 0, time.Second, time.Second)
	assertOutcome(t, queue.Request(third, begin()), Assigned)
	if third.Assignment.Evict != 1 {
		t.Errorf("connection %d is closed, want 1", third.Assignment.Evict)
	}
}

// TestRefusedAtOnce replays a queue that is longer than the request's time: it
// must not wait until its deadline has passed.
func TestRefusedAtOnce(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	for range 10 {
		assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Queued)
	}
	assertOutcome(t, queue.Request(waiter("a", 0, 50*time.Millisecond, 100*time.Millisecond), begin()), Refused)
}

// TestInTimeGoesFirst replays the congestion of a group of which only the primary
// can serve: answering requests that are late already makes the next ones late too.
func TestInTimeGoesFirst(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	late := waiter("a", 0, 5*time.Millisecond, time.Second)
	urgent := waiter("a", 2, 500*time.Millisecond, time.Second)
	assertOutcome(t, queue.Request(late, begin()), Queued)
	assertOutcome(t, queue.Request(urgent, begin()), Queued)
	queue.Release(1, "a", 10*time.Millisecond, begin().Add(10*time.Millisecond))
	select {
	case <-urgent.Ready:
	default:
		t.Error("a request that can be in time waits behind a late one")
	}
}

// TestPinnedDoNotBlockOthers guards against transactions at rest that keep single
// requests from running.
func TestPinnedDoNotBlockOthers(t *testing.T) {
	queue := New[int](Limits{Connections: 4, InFlight: 2})
	for range 2 {
		assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
		if !queue.Pin(begin()) {
			t.Fatal("a transaction gets no connection")
		}
	}
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	if queue.Pin(begin()) {
		t.Error("transactions hold all connections")
	}
}

// TestConnectionsAreCounted is a property: the queue never holds more connections
// than its limit, and never loses one.
func TestConnectionsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 5).Draw(t, "connections"), InFlight: rapid.IntRange(1, 5).Draw(t, "in_flight")}
		queue := New[int](limits)
		var busy []*Waiter[int]
		var queued []*Waiter[int]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(busy) > 0 && rapid.Bool().Draw(t, "release") {
				w := busy[0]
				busy = busy[1:]
				if rapid.Bool().Draw(t, "closed") {
					queue.Closed(begin())
				} else if _, ok := queue.Release(1, w.Account, time.Millisecond, begin()); ok {
					queue.Closed(begin())
				}
			} else {
				w := waiter(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 0, time.Hour, time.Hour)
				switch queue.Request(w, begin()) {
				case Assigned:
					busy = append(busy, w)
				case Queued:
					queued = append(queued, w)
				}
			}
			waiting := queued[:0]
			for _, w := range queued {
				select {
				case <-w.Ready:
					busy = append(busy, w)
				default:
					waiting = append(waiting, w)
				}
			}
			queued = waiting
			if queue.Connections() > limits.Connections || queue.Busy() != len(busy) {
				t.Fatalf("%d held, %d busy of %d requests", queue.Connections(), queue.Busy(), len(busy))
			}
			if len(queued) > 0 && len(busy) == 0 {
				t.Fatal("requests wait although nothing runs")
			}
		}
	})
}

// TestLowerLimitFreesIdleConnections replays a rolling restart: a daemon that was
// an endpoint's keeper went on to hold 15 idle connections of the 21 that the
// endpoint accepts, and the next keeper could open none for the rest of the day.
func TestLowerLimitFreesIdleConnections(t *testing.T) {
	queue := New[int](Limits{Connections: 15, InFlight: 4})
	for range 4 {
		assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	}
	for conn := range 4 {
		queue.Release(conn+1, "a", time.Millisecond, begin())
	}
	surplus := queue.SetLimits(Limits{Connections: 2, InFlight: 2}, begin())
	if len(surplus) != 2 || queue.Connections() != 2 {
		t.Errorf("%d connections are freed and %d held, want 2 and 2", len(surplus), queue.Connections())
	}
}

// TestHigherLimitStartsWaiting guards against requests that go on waiting after
// the daemon has become the keeper.
func TestHigherLimitStartsWaiting(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	next := waiter("a", 0, time.Second, time.Second)
	assertOutcome(t, queue.Request(next, begin()), Queued)
	queue.SetLimits(Limits{Connections: 4, InFlight: 4}, begin())
	select {
	case <-next.Ready:
	default:
		t.Error("a request waits although there is room")
	}
}

// TestFewStayIdle replays a fleet that loses power: endpoints count the dead
// connections for three seconds, and the fleet that starts again needs the rest.
func TestFewStayIdle(t *testing.T) {
	queue := New[int](Limits{Connections: 15, InFlight: 8, Idle: 3})
	for range 8 {
		assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	}
	for conn := range 8 {
		if _, ok := queue.Release(conn+1, "a", time.Millisecond, begin()); ok {
			queue.Closed(begin())
		}
	}
	if queue.Connections() != 3 {
		t.Errorf("%d connections stay open, want 3", queue.Connections())
	}
}

// TestNoIdle guards against daemons other than the keeper that hold on to their
// connections: after a mass restart 91 of them did, the endpoint accepted no more,
// and a quarter of all statements failed for as long as the day lasted.
func TestNoIdle(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2, Idle: NoIdle})
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	surplus, ok := queue.Release(7, "a", time.Millisecond, begin())
	if !ok || surplus != 7 {
		t.Fatalf("connection %d is to be closed (%t), want 7", surplus, ok)
	}
	queue.Closed(begin())
	if held := queue.Connections(); held != 0 {
		t.Errorf("%d connections are held", held)
	}
}

// TestFormerKeeperClosesIdle guards against a former keeper that keeps the places
// of the endpoint's connections which its successor needs.
func TestFormerKeeperClosesIdle(t *testing.T) {
	queue := New[int](Limits{Connections: 4, InFlight: 2, Idle: 2})
	assertOutcome(t, queue.Request(waiter("a", 0, time.Second, time.Second), begin()), Assigned)
	queue.Release(7, "a", time.Millisecond, begin())
	if surplus := queue.SetLimits(Limits{Connections: 2, InFlight: 2, Idle: NoIdle}, begin()); len(surplus) != 1 || surplus[0] != 7 {
		t.Errorf("connections %v are to be closed, want 7", surplus)
	}
}
