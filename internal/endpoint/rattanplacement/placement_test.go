package rattanplacement

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func newTestPlacer(random float64) *Placer {
	return New(FixedEgress{}, func() float64 { return random })
}

// group returns the candidates of a group with free slots: a replica inside the failure
// domain, one outside and the primary.
func group(change func(local, remote, primary *Candidate)) []Candidate {
	local := Candidate{ID: "local", IsLocal: true, Path: ms, Service: 30 * ms, Slots: 6, FreeSlots: 6, Weight: 1}
	remote := Candidate{ID: "remote", Path: 3 * ms, Service: 30 * ms, Slots: 6, FreeSlots: 6, Weight: 1}
	primary := Candidate{ID: "primary", IsPrimary: true, Path: 3 * ms, Service: 10 * ms, Slots: 6, FreeSlots: 6, Weight: 1}
	change(&local, &remote, &primary)
	return []Candidate{primary, remote, local}
}

// TestPlace guards against reads that go to a slow, congested, lagging or unresponsive
// endpoint, or to the primary or another failure domain without need.
func TestPlace(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(local, remote, primary *Candidate)
		want   Choice
	}{
		{"no load: inside the failure domain", func(_, _, _ *Candidate) {}, Choice{ID: "local", Completion: 31 * ms}},
		{
			"congested inside: outside", func(local, _, _ *Candidate) { local.Wait, local.FreeSlots = 100*ms, 0 },
			Choice{ID: "remote", Completion: 33 * ms},
		},
		{
			"slow inside: outside", func(local, _, _ *Candidate) { local.Service = 90 * ms },
			Choice{ID: "remote", Completion: 33 * ms},
		},
		{
			"somewhat slower replicas: not the primary", func(local, remote, _ *Candidate) { local.Wait, remote.Wait = 8*ms, 8*ms },
			Choice{ID: "local", Completion: 39 * ms},
		},
		{
			"congested replicas: the primary", func(local, remote, _ *Candidate) { local.Wait, remote.Wait = 100*ms, 100*ms },
			Choice{ID: "primary", Completion: 33 * ms},
		},
		{
			"lagging replicas: the primary at once", func(local, remote, _ *Candidate) { local.HoldsIn, remote.HoldsIn = time.Second, time.Second },
			Choice{ID: "primary", Completion: 33 * ms},
		},
		{
			"lagging replicas, no primary: as soon as one holds the position", func(local, remote, primary *Candidate) {
				local.HoldsIn, remote.HoldsIn, primary.IsSuspect = 300*ms, 100*ms, true
			},
			Choice{ID: "remote", SendIn: 100 * ms, Completion: 133 * ms},
		},
		{
			"suspect inside: outside", func(local, _, _ *Candidate) { local.IsSuspect = true },
			Choice{ID: "remote", Completion: 33 * ms},
		},
		{
			"fast failures inside: outside", func(local, _, _ *Candidate) { local.Service, local.FailureShare = 30*ms, 0.6 },
			Choice{ID: "remote", Completion: 33 * ms},
		},
		{
			"outlier inside: outside", func(local, _, _ *Candidate) { local.Weight = 0.1 },
			Choice{ID: "remote", Completion: 33 * ms},
		},
		{
			"outlier that alone can serve", func(local, remote, primary *Candidate) {
				local.Weight, remote.HoldsIn, primary.IsSuspect = 0, time.Minute, true
			},
			Choice{ID: "local", Completion: 31 * ms},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			read := Read{ObjectiveIn: 400 * ms, DeadlineIn: 2 * time.Second}
			assertChoice(t, read, group(test.change), test.want)
		})
	}
}

func assertChoice(t *testing.T, read Read, candidates []Candidate, want Choice) {
	t.Helper()
	got, refusal := newTestPlacer(0.5).Place(read, candidates)
	if refusal != nil || got != want {
		t.Errorf("choice %+v (refusal %v), want %+v", got, refusal, want)
	}
}

// TestRefuse guards against reads that wait for what cannot be in time, and against
// refusals of reads for which there is room before their deadline.
func TestRefuse(t *testing.T) {
	lagging := func(wait time.Duration) []Candidate {
		return group(func(local, remote, primary *Candidate) {
			local.HoldsIn, remote.HoldsIn = 1500*ms, 1400*ms
			primary.Wait, primary.FreeSlots = wait, 0
		})
	}
	t.Run("nothing in time: told with the time to come back", func(t *testing.T) {
		_, refusal := newTestPlacer(0).Place(Read{ObjectiveIn: 400 * ms, DeadlineIn: 1200 * ms}, lagging(600*ms))
		if refusal == nil || refusal.RetryAfter != 600*ms {
			t.Errorf("refusal %+v, want one with 600ms", refusal)
		}
	})
	t.Run("room before the deadline: late rather than not", func(t *testing.T) {
		assertChoice(t, Read{ObjectiveIn: 400 * ms, DeadlineIn: 2 * time.Second}, lagging(600*ms),
			Choice{ID: "remote", SendIn: 1400 * ms, Completion: 1433 * ms})
	})
}

// TestAccountPreference guards against accounts that need a connection at every replica
// while the room is even, and against an account that stays where the room is used up.
func TestAccountPreference(t *testing.T) {
	replicas := func(freeAtFirst int) []Candidate {
		return []Candidate{
			{ID: "r1", IsLocal: true, Service: 30 * ms, Slots: 6, FreeSlots: freeAtFirst, Weight: 1},
			{ID: "r2", IsLocal: true, Service: 30 * ms, Slots: 6, FreeSlots: 6, Weight: 1},
		}
	}
	accountsAt := func(free int, random float64) map[string]int {
		chosen := make(map[string]int)
		for i := range 100 {
			choice, _ := newTestPlacer(random).Place(Read{Account: fmt.Sprint("account-", i), ObjectiveIn: time.Second, DeadlineIn: time.Second}, replicas(free))
			chosen[choice.ID]++
		}
		return chosen
	}
	t.Run("even room: an account always goes to the same one", func(t *testing.T) {
		low, high := accountsAt(6, 0), accountsAt(5, 0.99)
		if low["r1"] != high["r1"] || low["r1"] < 25 || low["r1"] > 75 {
			t.Errorf("%d and %d of 100 accounts at r1, want the same number, about half", low["r1"], high["r1"])
		}
	})
	t.Run("uneven room: by room", func(t *testing.T) {
		if chosen := accountsAt(1, 0.5); chosen["r2"] != 100 {
			t.Errorf("%d of 100 accounts at the endpoint with room, want all in the middle of the draw", chosen["r2"])
		}
	})
}

// deniedEgress lets no read leave the failure domain.
type deniedEgress struct{}

// Allows implements Egress.
func (deniedEgress) Allows(string, time.Duration, time.Duration) bool { return false }

// TestLeavingWithoutChoice guards against reads that an egress policy holds in a failure
// domain which cannot serve them in time, and against ones that leave although it can.
func TestLeavingWithoutChoice(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(local *Candidate)
		want   string
	}{
		{"a queue that ends within the objective", func(local *Candidate) { local.Wait = 300 * ms }, "local"},
		{"a queue that ends after the objective", func(local *Candidate) { local.Wait = 500 * ms }, "remote"},
		{"a position that is held almost at once", func(local *Candidate) { local.HoldsIn = 15 * ms }, "local"},
		{"a position that is held within the objective", func(local *Candidate) { local.HoldsIn = 200 * ms }, "remote"},
		{"a position that is held after the objective", func(local *Candidate) { local.HoldsIn = 1600 * ms }, "remote"},
	} {
		t.Run(test.name, func(t *testing.T) {
			placer := New(deniedEgress{}, func() float64 { return 0 })
			candidates := group(func(local, _, _ *Candidate) { test.change(local) })
			choice, refusal := placer.Place(Read{ObjectiveIn: 400 * ms, DeadlineIn: 2 * time.Second}, candidates)
			if refusal != nil || choice.ID != test.want {
				t.Errorf("placed at %q (refusal %v), want %q", choice.ID, refusal, test.want)
			}
		})
	}
}
