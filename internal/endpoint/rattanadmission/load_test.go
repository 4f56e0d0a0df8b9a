package rattanadmission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// assertShareInTime checks that in each second at least a share of the calls of a kind
// meets its objective.
func assertShareInTime(t *testing.T, calls []*call, kind callKind, share float64) {
	t.Helper()
	inTime, all := make(map[int]int), make(map[int]int)
	for _, c := range calls {
		if c.kind != kind.kind {
			continue
		}
		second := int(c.arrived / time.Second)
		all[second]++
		if c.isInTime() {
			inTime[second]++
		}
	}
	for second, n := range all {
		if got := float64(inTime[second]) / float64(n); got < share {
			t.Errorf("second %d: %.3f of %d calls of %s are in time, want %.2f", second, got, n, kind.kind.Route, share)
		}
	}
}

// assertRefusedWhenKnown checks that no call is refused later than 50 ms after it is known
// to be without hope, and that none waits until its deadline.
func assertRefusedWhenKnown(t *testing.T, calls []*call) {
	t.Helper()
	const bound = 50 * time.Millisecond
	for _, c := range calls {
		if c.isServed() {
			continue
		}
		if c.hopelessAt > 0 && c.refused-c.hopelessAt > bound {
			t.Errorf("a call of %s is refused %v after that is known, want at most %v", c.kind.Route, c.refused-c.hopelessAt, bound)
		}
		if c.refused-c.arrived >= c.deadline {
			t.Errorf("a call of %s waits in vain for %v", c.kind.Route, c.refused-c.arrived)
		}
		if c.retryAfter <= 0 {
			t.Errorf("a refusal of %s names no time to come back", c.kind.Route)
		}
	}
}

// accountNames are the client accounts of the loads, the first the largest.
var accountNames = []string{"large", "b", "c", "d", "e", "f", "g", "h"}

// accountShareOf is the part of the load that an account sends: the largest a quarter.
func accountShareOf(account string) float64 {
	if account == accountNames[0] {
		return 0.25
	}
	return 0.75 / float64(len(accountNames)-1)
}

// burstLoad returns the calls of a group of databases whose replicas cannot serve, so that
// its primary gets all of them, a second each with the factor by which the least urgent
// kind and the largest account are above their usual.
func burstLoad(random *rand.Rand, cheapFactor, largeFactor float64) []*call {
	const from, burst, to = 0, 2 * time.Second, 8 * time.Second
	// Requests a second of one group of eight.
	rates := map[callKind]float64{noticeWrite: 207 / 8.0, familyRead: 965 / 8.0, statusRead: 207 / 8.0}
	var calls []*call
	for _, kind := range []callKind{noticeWrite, familyRead, statusRead} {
		for _, account := range accountNames {
			rate := rates[kind] * accountShareOf(account)
			calls = append(calls, poisson(random, kind, account, rate, from, burst)...)
			if kind == statusRead {
				rate *= cheapFactor
			}
			if account == accountNames[0] {
				rate *= largeFactor
			}
			calls = append(calls, poisson(random, kind, account, rate, burst, to)...)
		}
	}
	return calls
}

// TestBurstOfTheLeastUrgent guards against a burst of the least urgent kind, with one
// account at 6.5 times its usual, that delays the calls that matter most: 0.99 of them
// are in time in each second.
func TestBurstOfTheLeastUrgent(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(Limits{Connections: 53, InFlight: 7}, 6)
		calls := r.play(burstLoad(rand.New(rand.NewPCG(seed, 27)), 2.4, 6.5))
		assertShareInTime(t, calls, noticeWrite, 0.99)
		assertRefusedWhenKnown(t, calls)
	}
}

// TestRoomForAll guards against refusals while there is room: under 0.02 of all calls.
func TestRoomForAll(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 28))
		r := newReplay(Limits{Connections: 53, InFlight: 7}, 6)
		calls := r.play(burstLoad(random, 1, 1))
		refused := 0
		for _, c := range calls {
			if !c.isServed() {
				refused++
			}
		}
		if share := float64(refused) / float64(len(calls)); share >= 0.02 {
			t.Errorf("seed %d: %.3f of the calls are refused where there is room, want under 0.02", seed, share)
		}
		assertShareInTime(t, calls, noticeWrite, 0.99)
	}
}

// TestReadsBesideWrites guards against a primary whose writes wait behind the reads that
// its replicas cannot serve while they lag.
func TestReadsBesideWrites(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 29))
		r := newReplay(Limits{Connections: 53, InFlight: 7}, 6)
		calls := append(poisson(random, noticeWrite, "b", 80, 0, 5*time.Second), poisson(random, familyRead, "c", 400, 0, 5*time.Second)...)
		calls = r.play(calls)
		assertShareInTime(t, calls, noticeWrite, 0.99)
		assertRefusedWhenKnown(t, calls)
	}
}

// TestOpenTransactions guards against transactions whose callers rest and so hold the
// connections: statements outside them still run in time, and a transaction for which
// there is no connection is refused at once, with a time to come back.
func TestOpenTransactions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 30))
	r := newReplay(Limits{Connections: 16, InFlight: 7}, 6)
	calls := poisson(random, noticeWrite, "b", 100, 0, 5*time.Second)
	open := poisson(random, familyRead, "c", 60, 0, 5*time.Second)
	for _, c := range open {
		c.statements = 2
	}
	calls = r.play(append(calls, open...))
	assertShareInTime(t, calls, noticeWrite, 0.99)
	assertRefusedWhenKnown(t, calls)
	if r.queue.Counts().RefusedTransaction == 0 || r.queue.Pinned() != 0 {
		t.Errorf("%+v, %d connections stay reserved, want refused transactions and none reserved", r.queue.Counts(), r.queue.Pinned())
	}
}

// TestSlowEndpoint guards against an endpoint that suddenly takes four times as long and
// at which calls then wait in vain.
func TestSlowEndpoint(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(Limits{Connections: 53, InFlight: 7}, 6)
		r.slowFrom, r.slowFactor = 3*time.Second, 4
		assertRefusedWhenKnown(t, r.play(burstLoad(rand.New(rand.NewPCG(seed, 31)), 1, 1)))
	}
}

// TestBurstOfOneAccount guards against an account's burst that delays others within their
// share. The bound: one request of each account, and one that runs already.
func TestBurstOfOneAccount(t *testing.T) {
	const slots = 6
	bound := familyRead.work*time.Duration(len(accountNames))/slots + familyRead.work
	r := newReplay(Limits{Connections: 53, InFlight: slots}, slots)
	var calls []*call
	for i, account := range accountNames {
		interval := 60 * time.Millisecond
		if i == 0 {
			interval = 5 * time.Millisecond
		}
		for at := time.Duration(i) * 7 * time.Millisecond; at < 5*time.Second; at += interval {
			calls = append(calls, &call{callKind: familyRead, account: account, arrived: at, work: familyRead.work})
		}
	}
	for _, c := range r.play(calls) {
		if c.account != accountNames[0] && (!c.isServed() || c.wait() > bound) {
			t.Fatalf("a call of an account within its share at %v waits %v (served: %t), want at most %v", c.arrived, c.wait(), c.isServed(), bound)
		}
	}
}

// TestSimultaneousReturn guards against refused callers that all come back at one moment:
// they come back to room, urgent ones first, and no account takes the others' time.
func TestSimultaneousReturn(t *testing.T) {
	r := newReplay(Limits{Connections: 53, InFlight: 7}, 6)
	for range 10 {
		r.queue.Observe(familyRead.kind, familyRead.work)
		r.queue.Observe(statusRead.kind, statusRead.work)
	}
	random := rand.New(rand.NewPCG(1, 32))
	var crowd []*call
	for range 400 {
		kind, account, arrived := familyRead, accountNames[0], time.Millisecond
		if random.IntN(4) == 0 {
			kind = statusRead
		}
		if random.IntN(2) == 0 {
			account, arrived = accountNames[1+random.IntN(len(accountNames)-1)], 2*time.Millisecond
		}
		crowd = append(crowd, &call{callKind: kind, account: account, work: kind.work, arrived: arrived, returnsLeft: 1})
	}
	var returned []*call
	work := make(map[time.Duration]time.Duration)
	for _, c := range r.play(crowd) {
		if c.returnsLeft == 0 {
			returned = append(returned, c)
			work[c.arrived.Truncate(returnInterval)] += c.work
		}
	}
	slices.SortFunc(returned, func(a, b *call) int { return int(a.arrived - b.arrived) })
	assertSpread(t, returned, work, r.queue.limits.InFlight)
	inTime := 0
	for _, c := range returned {
		if c.isInTime() {
			inTime++
		}
	}
	if share := float64(inTime) / float64(len(returned)); share < 0.98 {
		t.Errorf("%.3f of %d returned callers are served in time, want 0.98", share, len(returned))
	}
}

// assertSpread checks that the work that comes back at a time is no more than the slots do
// until the next, apart from one request that reaches beyond, and that each account and
// the urgent come back early.
func assertSpread(t *testing.T, returned []*call, work map[time.Duration]time.Duration, slots int) {
	t.Helper()
	for at, sum := range work {
		if limit := time.Duration(slots)*returnInterval + 2*statusRead.work; sum > limit {
			t.Errorf("%v of work comes back at %v, want at most %v", sum, at, limit)
		}
	}
	early := make(map[string]bool)
	places, counts := make(map[int]int), make(map[int]int)
	for place, c := range returned {
		places[c.priority] += place
		counts[c.priority]++
		if place < len(returned)/2 {
			early[c.account] = true
		}
	}
	if len(early) != len(accountNames) {
		t.Errorf("the first half of the returned callers is of %d accounts, want all %d", len(early), len(accountNames))
	}
	if places[familyRead.priority]*counts[statusRead.priority] >= places[statusRead.priority]*counts[familyRead.priority] {
		t.Error("the less urgent callers come back before the urgent ones")
	}
}

// TestStarvationIsBounded guards against the least urgent requests that never run while
// more urgent ones always wait: of 16 starts at least one is theirs.
func TestStarvationIsBounded(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1, IsShared: true})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Hour, time.Hour), startTime()), Assigned)
	var lowest []*Waiter[int]
	for i := range 100 {
		w := newWaiter("a", i%2*2, time.Hour, time.Hour)
		assertDecision(t, queue.Request(w, startTime()), Queued)
		if w.Priority == 2 {
			lowest = append(lowest, w)
		}
	}
	for range 3 * lowestEvery {
		queue.Release(1, "a", startTime())
	}
	started := 0
	for _, w := range lowest {
		if !w.isWaiting {
			started++
		}
	}
	if started != 3 {
		t.Errorf("%d of %d starts are of the least urgent, want 3", started, 3*lowestEvery)
	}
}

// TestDisplacedAreTold guards against a request that waits on although more urgent ones
// have taken its place.
func TestDisplacedAreTold(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1, IsShared: true})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Second, time.Second), startTime()), Assigned)
	displaced := newWaiter("a", 1, 100*time.Millisecond, 200*time.Millisecond)
	assertDecision(t, queue.Request(displaced, startTime()), Queued)
	for range 20 {
		assertDecision(t, queue.Request(newWaiter("b", 0, time.Second, time.Second), startTime()), Queued)
	}
	if displaced.Refusal == nil || displaced.Refusal.RetryAfter <= 0 {
		t.Errorf("the displaced request has the refusal %v, want one with a time to come back", displaced.Refusal)
	}
}

// TestRetryIsNotBehindFresh guards against a caller that waits anew at each endpoint that
// it is sent to: what it has waited counts.
func TestRetryIsNotBehindFresh(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1, IsShared: true})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Hour, time.Hour), startTime()), Assigned)
	now := startTime()
	for i := range 4 {
		assertDecision(t, queue.Request(newWaiter("a", 0, time.Hour, time.Hour), now), Queued)
		if i < 3 {
			now = now.Add(30 * time.Millisecond)
			queue.Release(1, "a", now)
		}
	}
	fresh, retry := newWaiter("b", 0, time.Minute, time.Hour), newWaiter("c", 0, time.Hour, time.Hour)
	retry.Waited = 60 * time.Millisecond
	assertDecision(t, queue.Request(fresh, now), Queued)
	assertDecision(t, queue.Request(retry, now), Queued)
	if order := queue.ordered(); order[0] != retry {
		t.Errorf("a retry goes behind a fresh request of its priority")
	}
}

// TestLateRequestsUseTheRoom guards against slots that stay free because no request can
// meet its objective: late answers still have a use.
func TestLateRequestsUseTheRoom(t *testing.T) {
	const slots, length = 6, 5 * time.Second
	kind := familyRead
	kind.objective = kind.work / 2
	r := newReplay(Limits{Connections: 53, InFlight: slots}, slots)
	var work time.Duration
	for _, c := range r.play(poisson(rand.New(rand.NewPCG(1, 33)), kind, "a", 270, 0, length)) {
		if c.isServed() {
			work += c.work
		}
	}
	if share := float64(work) / float64(slots*length); share < 0.95 {
		t.Errorf("the slots are busy for %.2f of the time, want 0.95", share)
	}
}

// TestRoomIsKeptForTheUrgent guards against a request that is admitted to room which more
// urgent arrivals are about to need, and so waits to be displaced.
func TestRoomIsKeptForTheUrgent(t *testing.T) {
	queue := New[int](Limits{Connections: 1, InFlight: 1, IsShared: true})
	now := startTime()
	// Three quarters of the slot go to urgent requests.
	for range 100 {
		urgent := newWaiter("a", 0, time.Hour, time.Hour)
		assertDecision(t, queue.Request(urgent, now), Assigned)
		queue.Release(1, "a", now)
		now = now.Add(queue.ServiceTime() * 4 / 3)
	}
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Hour, time.Hour), now), Assigned)
	w := newWaiter("b", 1, 0, 0)
	w.Objective = now.Add(3 * queue.ServiceTime())
	w.Deadline = w.Objective
	assertDecision(t, queue.Request(w, now), Refused)
}

// TestStatementsOfTransactionsTakeSlots guards against requests that are sent to an
// endpoint whose slots are busy with statements of transactions.
func TestStatementsOfTransactionsTakeSlots(t *testing.T) {
	queue := New[int](Limits{Connections: 4, InFlight: 1})
	assertDecision(t, queue.Request(newWaiter("a", 0, time.Hour, time.Hour), startTime()), Assigned)
	queue.BeginStatement()
	if !queue.Pin(startTime()) {
		t.Fatal("a connection cannot be pinned for a transaction")
	}
	w := newWaiter("a", 0, time.Hour, time.Hour)
	assertDecision(t, queue.Request(w, startTime()), Queued)
	queue.EndStatement(startTime())
	if w.isWaiting {
		t.Error("a request waits although the statement has ended")
	}
}

// TestReturnsLeaveRoomForOtherAccounts guards against an account whose refused callers are
// given all the room of the next seconds, so that those of others come back after them.
func TestReturnsLeaveRoomForOtherAccounts(t *testing.T) {
	returns := newReturns()
	const slots = 6
	for range 50 {
		returns.book(returning{account: "large", cost: familyRead.work}, 0, slots, startTime())
	}
	if after := returns.book(returning{account: "b", cost: familyRead.work}, 0, slots, startTime()); after > 2*returnInterval {
		t.Errorf("a caller of another account comes back after %v, want the next interval", after)
	}
}

// TestSharesAreOfTime guards against shares by number of requests: of two accounts that
// ask for more than half of the slots each, the one with the longer requests gets no more
// time than the other.
func TestSharesAreOfTime(t *testing.T) {
	const length = 5 * time.Second
	random := rand.New(rand.NewPCG(1, 34))
	long, short := familyRead, familyRead
	long.work, short.work = 60*time.Millisecond, 20*time.Millisecond
	r := newReplay(Limits{Connections: 53, InFlight: 6}, 6)
	calls := append(poisson(random, long, "long", 80, 0, length), poisson(random, short, "short", 240, 0, length)...)
	served := make(map[string]time.Duration)
	for _, c := range r.play(calls) {
		if c.isServed() {
			served[c.account] += c.work
		}
	}
	if ratio := float64(served["long"]) / float64(served["short"]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("the account with long requests gets %.2f of the time of the other, want the same within a tenth", ratio)
	}
}
