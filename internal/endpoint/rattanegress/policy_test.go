package rattanegress

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The bounds of this file come from what callers need: 0.99 of the reads within their
// objective, as the target for callers of each kind says. maxRuns allows one rise, one
// fall and one correction of each for one burst of load.
const (
	minInTime = 0.99
	maxRuns   = 4
)

// seeds are those of the replays.
var seeds = []uint64{1, 2, 3}

// TestBurstLeaves replays a burst that is half as much again as the local endpoint
// completes, with few daemons that send many reads and with many that send few. It guards
// against callers that wait at home while others have room, against a share that swings,
// and against reads that stay away after the burst.
func TestBurstLeaves(t *testing.T) {
	for _, daemons := range []int{12, 120} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) { replayBurst(t, seed, daemons) })
		}
	}
}

func replayBurst(t *testing.T, seed uint64, daemons int) {
	t.Helper()
	const from, to, end = 3 * time.Second, 9 * time.Second, 16 * time.Second
	load := between(from, to, 0.4*capacity, 1.5*capacity)
	play := func(bytesPerSecond int64) *replay {
		return newReplay(seed, newDomain(seed, 1, daemons, bytesPerSecond, load),
			newDomain(seed, 2, daemons, bytesPerSecond, steady(0.6*capacity))).run(end)
	}
	r, never := play(0), play(1)
	burst := r.between(0, from, to)
	assertWithin(t, "the part in time during the burst", inTime(burst), minInTime, 1)
	assertWithin(t, "the part in time without leaving", inTime(never.between(0, from, to)), 0, 0.9)
	assertWithin(t, "the median in seconds", median(burst).Seconds(), 0, median(never.between(0, from, to)).Seconds()/2)
	assertWithin(t, "the part in time of the others", inTime(r.between(1, from, to)), minInTime, 1)
	assertWithin(t, "the part that left during the burst", remotePart(burst), 0.1, 0.75)
	assertWithin(t, "the part that left before the burst", remotePart(r.between(0, 0, from)), 0, 0.02)
	assertWithin(t, "the part that left long after the burst", remotePart(r.between(0, to+3*time.Second, end)), 0, 0.02)
	for i, policy := range r.domains[0].policies {
		if runs := r.runs[policy]; runs > maxRuns {
			t.Errorf("the share of daemon %d rose and fell %d times, want at most %d", i, runs, maxRuns)
		}
	}
}

// TestAllDaemonsMoveAtOnce replays a burst in three failure domains at once, of 36
// daemons that see the same reports. It guards against a crowd that turns to the one
// domain which has room and takes it from its own callers.
func TestAllDaemonsMoveAtOnce(t *testing.T) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const from, to = 2 * time.Second, 8 * time.Second
			load := between(from, to, 0.4*capacity, 1.3*capacity)
			r := newReplay(seed, newDomain(seed, 1, 12, 0, load), newDomain(seed+10, 1, 12, 0, load),
				newDomain(seed+20, 1, 12, 0, load), newDomain(seed+30, 4, 12, 0, steady(1.2*capacity))).run(12 * time.Second)
			for domain := range 4 {
				assertWithin(t, fmt.Sprint("the part in time in domain ", domain), inTime(r.between(domain, from, to)), minInTime, 1)
			}
		})
	}
}

// TestDomainWithoutEndpoints guards against reads that are held back where no endpoint
// of the group is local, also by a budget that is used up, and against bytes that are
// not counted.
func TestDomainWithoutEndpoints(t *testing.T) {
	const length, bytesPerSecond = 5 * time.Second, 1000
	domain := newDomain(1, 0, 12, bytesPerSecond, steady(0.5*capacity))
	r := newReplay(1, domain, newDomain(2, 2, 12, 0, steady(0.5*capacity))).run(length)
	assertWithin(t, "the part that left", remotePart(r.between(0, 0, length)), 1, 1)
	assertWithin(t, "the part in time", inTime(r.between(0, 0, length)), minInTime, 1)
	var forced int64
	for _, policy := range domain.policies {
		forced += policy.States(r.start.Add(length))[0].ForcedBytes
	}
	if want := int64(len(r.between(0, 0, length))) * readBytes; forced != want {
		t.Errorf("%d bytes counted without a choice, want %d", forced, want)
	}
}

// TestBudgetUsedUp guards against bytes above the operator's budget while the local
// endpoints stay too few.
func TestBudgetUsedUp(t *testing.T) {
	const length, bytesPerSecond = 10 * time.Second, 4 * readBytes
	domain := newDomain(1, 1, 12, bytesPerSecond, steady(1.5*capacity))
	r := newReplay(1, domain, newDomain(2, 2, 12, 0, steady(0.2*capacity))).run(length)
	for i, policy := range domain.policies {
		state := policy.States(r.start.Add(length))[0]
		// The bytes of one second may be sent at once, and one read may overdraw them.
		limit := float64(bytesPerSecond)*(length.Seconds()+1) + readBytes
		assertWithin(t, fmt.Sprint("the bytes of daemon ", i), float64(state.ChosenBytes), float64(bytesPerSecond)*length.Seconds()*0.5, limit)
	}
}

// TestForcedWorkUsesBudget guards against a budget that work without a choice exceeds
// unseen, and against one that stays used up long after such work has ended.
func TestForcedWorkUsesBudget(t *testing.T) {
	const bytesPerSecond = 1000
	now := time.Unix(0, 0)
	policy := New(bytesPerSecond, rand.New(rand.NewPCG(1, 1)), now)
	policy.Sent("orders", 100*bytesPerSecond, false, now)
	if left, _ := policy.BudgetLeft(now); left > 0 {
		t.Errorf("%d bytes left after work without a choice that took them all", left)
	}
	if left, _ := policy.BudgetLeft(now.Add(1100 * time.Millisecond)); left <= 0 {
		t.Errorf("%d bytes left more than a second after that work", left)
	}
	if _, isLimited := New(0, rand.New(rand.NewPCG(1, 1)), now).BudgetLeft(now); isLimited {
		t.Error("a budget of 0 limits what is sent")
	}
}

// TestOldReports guards against reads that follow reports of a load that has passed.
func TestOldReports(t *testing.T) {
	const old = 4 * time.Second
	r := newReplay(1, newDomain(1, 1, 12, 0, steady(1.3*capacity)), newDomain(2, 2, 12, 0, steady(0.2*capacity)))
	r.hasReport = func(elapsed time.Duration) bool { return elapsed < old }
	r.run(8 * time.Second)
	assertWithin(t, "the part that left with recent reports", remotePart(r.between(0, 2*time.Second, old)), 0.1, 1)
	for i, policy := range r.domains[0].policies {
		assertWithin(t, fmt.Sprint("the share of daemon ", i), policy.States(r.start.Add(8 * time.Second))[0].Share, 0, 0)
	}
	// Each daemon sends one read in a while to learn the load outside.
	late := r.between(0, old+2*time.Second, 8*time.Second)
	probes := len(r.domains[0].policies) * int(2*time.Second/probeInterval+1)
	assertWithin(t, "the reads that left two seconds after the last report", remotePart(late)*float64(len(late)), 1, float64(probes))
}

// TestCutOffAndBack guards against a crowd that returns at once to a failure domain
// which had been cut off.
func TestCutOffAndBack(t *testing.T) {
	const cut, back = 4 * time.Second, 10 * time.Second
	away := newDomain(2, 2, 12, 0, steady(0.8*capacity))
	away.isCutOff = func(elapsed time.Duration) bool { return elapsed >= cut && elapsed < back }
	r := newReplay(1, newDomain(1, 1, 12, 0, steady(1.3*capacity)), away).run(16 * time.Second)
	assertWithin(t, "the part that left before the cut", remotePart(r.between(0, 2*time.Second, cut)), 0.1, 1)
	assertWithin(t, "the part that left during the cut", remotePart(r.between(0, cut, back)), 0, 0)
	assertWithin(t, "the part that left at once after the cut", remotePart(r.between(0, back, back+100*time.Millisecond)), 0, 2*firstShare)
	assertWithin(t, "the part in time of the other domain after the cut", inTime(r.between(1, back, 16*time.Second)), minInTime, 1)
	assertWithin(t, "the part that left again", remotePart(r.between(0, back+2*time.Second, 16*time.Second)), 0.1, 1)
}

// TestChangesAreLogged guards against a log that misses that reads leave or stay, and
// against one that has a line for each step.
func TestChangesAreLogged(t *testing.T) {
	now := time.Unix(0, 0)
	policy := New(0, rand.New(rand.NewPCG(1, 1)), now)
	var changes []Change
	decide := func(local, remote time.Duration, steps int) {
		for range steps {
			now = now.Add(stepInterval)
			if d := policy.Decide("orders", Comparison{Local: local, Remote: remote, HasReport: true}, now); d.Change != nil {
				changes = append(changes, *d.Change)
			}
		}
	}
	decide(200*time.Millisecond, 20*time.Millisecond, 30)
	decide(20*time.Millisecond, 22*time.Millisecond, 30)
	first, last := changes[0], changes[len(changes)-1]
	if first.Group != "orders" || first.Share < loggedChange || first.Reason != FasterOutside || last != (Change{Group: "orders", Reason: EnoughInside}) {
		t.Errorf("the first change is %+v and the last %+v", first, last)
	}
	if len(changes) > 10 {
		t.Errorf("%d changes for one rise and one fall, want at most 10", len(changes))
	}
}
