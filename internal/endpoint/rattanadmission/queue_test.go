package rattanadmission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func startTime() time.Time { return time.Unix(1000, 0) }

func newWaiter(account string, priority int, objective, deadline time.Duration) *Waiter[int] {
	return &Waiter[int]{Account: account, Priority: priority, Objective: startTime().Add(objective), Deadline: startTime().Add(deadline)}
}

func assertDecision(t *testing.T, got, want Decision) {
	t.Helper()
	if got != want {
		t.Fatalf("decision %d, want %d", got, want)
	}
}

// TestConnectionsStayWithTheirAccount guards against a statement on a connection
// of another client account.
func TestConnectionsStayWithTheirAccount(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2})
	first := newWaiter("a", 0, time.Second, time.Second)
	assertDecision(t, queue.Request(first, startTime()), Assigned)
	queue.Release(7, "a", startTime())
	other := newWaiter("b", 0, time.Second, time.Second)
	assertDecision(t, queue.Request(other, startTime()), Assigned)
	if other.Assignment.Conn != 0 {
		t.Errorf("account b gets connection %d of account a", other.Assignment.Conn)
	}
	again := newWaiter("a", 0, time.Second, time.Second)
	assertDecision(t, queue.Request(again, startTime()), Assigned)
	if again.Assignment.Conn != 7 {
		t.Errorf("account a gets connection %d, want its idle connection 7", again.Assignment.Conn)
	}
}

// TestLeastRecentlyUsedConnectionIsEvicted guards against eviction of a connection
// that is used often.
func TestLeastRecentlyUsedConnectionIsEvicted(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2})
	for _, account := range []string{"a", "b"} {
		assertDecision(t, queue.Request(newWaiter(account, 0, time.Second, time.Second), startTime()), Assigned)
	}
	queue.Release(1, "a", startTime())
	queue.Release(2, "b", startTime())
	third := newWaiter("c", 0, time.Second, time.Second)
	assertDecision(t, queue.Request(third, startTime()), Assigned)
	if third.Assignment.Evict != 1 {
		t.Errorf("connection %d is evicted, want 1", third.Assignment.Evict)
	}
}

// TestRefusedImmediately guards against a request that waits until its deadline has
// passed, in a queue whose expected wait is longer than its deadline allows.
func TestRefusedImmediately(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	for range 10 {
		assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Queued)
	}
	assertDecision(t, queue.Request(newWaiter("a", 0, 50*time.Millisecond, 100*time.Millisecond), startTime()), Refused)
}

// TestRequestInTimeGoesFirst guards against a congested queue, as in a group where only
// the primary can serve, that answers late requests first and so makes the next ones
// late too.
func TestRequestInTimeGoesFirst(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	late := newWaiter("a", 0, 5*time.Millisecond, time.Second)
	urgent := newWaiter("a", 2, 500*time.Millisecond, time.Second)
	assertDecision(t, queue.Request(late, startTime()), Queued)
	assertDecision(t, queue.Request(urgent, startTime()), Queued)
	queue.Release(1, "a", startTime().Add(10*time.Millisecond))
	select {
	case <-urgent.Ready:
	default:
		t.Error("a request that can meet its objective waits behind a late one")
	}
}

// TestPinnedConnectionsDoNotBlockOthers guards against idle transactions that keep
// other requests from running, and against transactions that pin all connections.
func TestPinnedConnectionsDoNotBlockOthers(t *testing.T) {
	queue := New[int](Limits{Connections: 4, InFlight: 2})
	for range 2 {
		assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
		if !queue.Pin(startTime()) {
			t.Fatal("a connection cannot be pinned for a transaction")
		}
	}
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	if queue.Pin(startTime()) {
		t.Error("more connections can be pinned than the limit allows")
	}
}

// TestConnectionsAreCounted guards against wrong counts, over random sequences of
// requests and releases: the queue never has more connections than its limit and
// never loses one.
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
					queue.Closed(startTime())
				} else if _, ok := queue.Release(1, w.Account, startTime()); ok {
					queue.Closed(startTime())
				}
			} else {
				w := newWaiter(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 0, time.Hour, time.Hour)
				switch queue.Request(w, startTime()) {
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
				t.Fatalf("%d connections, %d busy, %d requests running", queue.Connections(), queue.Busy(), len(busy))
			}
			if len(queued) > 0 && len(busy) == 0 {
				t.Fatal("requests wait although none is running")
			}
		}
	})
}

// TestLowerLimitFreesIdleConnections guards against a former connection owner that
// keeps its idle connections. After a rolling restart one kept 15 of the 21 connections
// that the endpoint accepts, and the next owner could not open any for the rest of the
// day.
func TestLowerLimitFreesIdleConnections(t *testing.T) {
	queue := New[int](Limits{Connections: 15, InFlight: 4})
	for range 4 {
		assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	}
	for conn := range 4 {
		queue.Release(conn+1, "a", startTime())
	}
	surplus := queue.SetLimits(Limits{Connections: 2, InFlight: 2}, startTime())
	if len(surplus) != 2 || queue.Connections() != 2 {
		t.Errorf("%d connections are to be closed and %d stay, want 2 and 2", len(surplus), queue.Connections())
	}
}

// TestHigherLimitAssignsWaitingRequests guards against requests that continue to wait
// after the daemon has become the connection owner and got a higher limit.
func TestHigherLimitAssignsWaitingRequests(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	next := newWaiter("a", 0, time.Second, time.Second)
	assertDecision(t, queue.Request(next, startTime()), Queued)
	queue.SetLimits(Limits{Connections: 4, InFlight: 4}, startTime())
	select {
	case <-next.Ready:
	default:
		t.Error("a request waits although the limit allows another connection")
	}
}

// TestIdleLimit guards against too many idle connections when a fleet loses power:
// endpoints count the dead connections for three seconds, and the daemons that start
// again need the rest.
func TestIdleLimit(t *testing.T) {
	queue := New[int](Limits{Connections: 15, InFlight: 8, Idle: 3})
	for range 8 {
		assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	}
	for conn := range 8 {
		if _, ok := queue.Release(conn+1, "a", startTime()); ok {
			queue.Closed(startTime())
		}
	}
	if queue.Connections() != 3 {
		t.Errorf("%d connections stay open, want 3", queue.Connections())
	}
}

// TestNoIdle guards against daemons other than the connection owner that keep idle
// connections. After a mass restart 91 of them did, the endpoint accepted no more, and
// a quarter of all statements failed for the rest of the day.
func TestNoIdle(t *testing.T) {
	queue := New[int](Limits{Connections: 2, InFlight: 2, Idle: NoIdle})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	surplus, ok := queue.Release(7, "a", startTime())
	if !ok || surplus != 7 {
		t.Fatalf("connection %d is to be closed (%t), want 7", surplus, ok)
	}
	queue.Closed(startTime())
	if held := queue.Connections(); held != 0 {
		t.Errorf("%d connections stay, want 0", held)
	}
}

// TestFormerOwnerClosesIdle guards against a former connection owner that keeps idle
// connections which its successor needs.
func TestFormerOwnerClosesIdle(t *testing.T) {
	queue := New[int](Limits{Connections: 4, InFlight: 2, Idle: 2})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	queue.Release(7, "a", startTime())
	if surplus := queue.SetLimits(Limits{Connections: 2, InFlight: 2, Idle: NoIdle}, startTime()); len(surplus) != 1 || surplus[0] != 7 {
		t.Errorf("connections %v are to be closed, want 7", surplus)
	}
}
