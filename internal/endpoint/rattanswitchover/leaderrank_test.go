package rattanswitchover

import "testing"

// TestLeaderRank guards against a failover leader with little processor time, and
// against daemons that attempt to take the leadership at the same time.
func TestLeaderRank(t *testing.T) {
	cores := map[string]float64{"vm-a1": 0.2, "vm-a2": 0.8, "vm-b1": 0.2, "vm-b2": 0.8}
	for vm, want := range map[string]int{"vm-a2": 0, "vm-b2": 1, "vm-a1": 2, "vm-b1": 3} {
		if got := LeaderRank(vm, cores); got != want {
			t.Errorf("%s has the rank %d, want %d", vm, got, want)
		}
	}
}
