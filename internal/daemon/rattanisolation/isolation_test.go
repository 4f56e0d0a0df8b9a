package rattanisolation

import (
	"testing"
	"time"
)

// TestDecide guards against daemons that stay in the load balancer's rotation, or enter
// it after their start, while they can serve no caller, and against a fleet that leaves
// the rotation as a whole because the store is unavailable to all.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name       string
		conditions Conditions
		after      time.Duration
		want       bool
	}{
		{"just started, store silent", Conditions{Reachable: 9, Endpoints: 9}, grantlessTimeout / 2, true},
		{"just started, store available", Conditions{HasReachedStore: true, Reachable: 9, Endpoints: 9}, 0, false},
		{"just started, others delegate grants", Conditions{IsStoreLost: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}, 0, false},
		{"just started, store unavailable to all", Conditions{IsStoreLost: true, IsOutageShared: true, Reachable: 9, Endpoints: 9}, 0, false},
		{"well", Conditions{HasReachedStore: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}, time.Minute, false},
		{"failure domain partitioned", Conditions{IsStoreLost: true, HoldsGrants: true, Reachable: 3, Endpoints: 9}, 0, true},
		{"failure domain cut off, endpoints not probed yet", Conditions{HasReachedStore: true, IsStoreLost: true, AreContactsLost: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}, 0, true},
		{"contacts lost, store available", Conditions{HasReachedStore: true, AreContactsLost: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}, time.Minute, false},
		{"some endpoints lost, store available", Conditions{HasReachedStore: true, HoldsGrants: true, Reachable: 3, Endpoints: 9}, time.Minute, false},
		{"store unavailable, others delegate grants", Conditions{IsStoreLost: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}, time.Minute, false},
		{"store unavailable briefly", Conditions{HasReachedStore: true, IsStoreLost: true, Reachable: 9, Endpoints: 9}, grantlessTimeout / 2, false},
		{"store unavailable to all", Conditions{IsStoreLost: true, IsOutageShared: true, Reachable: 9, Endpoints: 9}, time.Minute, false},
		{"store unavailable and nobody delegates grants", Conditions{HasReachedStore: true, IsStoreLost: true, Reachable: 9, Endpoints: 9}, grantlessTimeout, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var decider Decider
			now := time.Unix(1000, 0)
			got := decider.Decide(test.conditions, now)
			if test.after > 0 {
				got = decider.Decide(test.conditions, now.Add(test.after))
			}
			if got != test.want {
				t.Errorf("isolated %t, want %t", got, test.want)
			}
		})
	}
}

// TestReturnAfterRecoveryDelay guards against a daemon that leaves and rejoins the
// load balancer's rotation with every change of the conditions.
func TestReturnAfterRecoveryDelay(t *testing.T) {
	var decider Decider
	now := time.Unix(1000, 0)
	decider.Decide(Conditions{HasReachedStore: true, IsStoreLost: true, Reachable: 0, Endpoints: 9}, now)
	good := Conditions{HasReachedStore: true, HoldsGrants: true, Reachable: 9, Endpoints: 9}
	if !decider.Decide(good, now.Add(time.Second)) {
		t.Error("the daemon is no longer isolated as soon as the conditions are good")
	}
	if decider.Decide(good, now.Add(time.Second+recoveryDelay)) {
		t.Error("the daemon is still isolated after the recovery delay")
	}
}
