package rattanowner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// TestKeeperIsNear guards against statements that cross failure domains twice.
func TestKeeperIsNear(t *testing.T) {
	endpoint := rattancatalog.Endpoint{ID: "e1", FailureDomain: "b"}
	vms := []VM{{Name: "vm-1", FailureDomain: "a"}, {Name: "vm-2", FailureDomain: "b"}, {Name: "vm-3", FailureDomain: "a"}}
	if owner, ok := Choose(endpoint, vms); !ok || owner != "vm-2" {
		t.Errorf("keeper %q, want the one in the endpoint's failure domain", owner)
	}
	if _, ok := Choose(endpoint, nil); ok {
		t.Error("a keeper without any daemon")
	}
}

// TestKeeperIsAgreed guards against two owners of one endpoint.
func TestKeeperIsAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []VM
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			vms = append(vms, VM{Name: fmt.Sprint("vm-", i), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")})
		}
		endpoint := rattancatalog.Endpoint{ID: rapid.String().Draw(t, "id"), FailureDomain: "a"}
		first, _ := Choose(endpoint, vms)
		second, _ := Choose(endpoint, rapid.Permutation(vms).Draw(t, "order"))
		if first != second {
			t.Fatalf("keepers %q and %q", first, second)
		}
	})
}

// TestPlanStaysBelowTheLimit replays the sizes of the users' sites: an endpoint
// over its limit refuses connections and closes those of others.
func TestPlanStaysBelowTheLimit(t *testing.T) {
	for _, accepted := range []int{21, 37, 54, 243} {
		plan := ConnectionBudget{MaxConnections: accepted, Slots: 3}
		if kept := plan.OwnerConnections(); kept >= accepted || kept < 2*plan.InFlight() {
			t.Errorf("the keeper has %d of %d connections, %d statements in flight", kept, accepted, plan.InFlight())
		}
	}
}
