package rattanowner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// TestOwnerIsInFailureDomainOfEndpoint guards against statements that cross failure
// domains twice, to the owner and back to the endpoint.
func TestOwnerIsInFailureDomainOfEndpoint(t *testing.T) {
	endpoint := rattancatalog.Endpoint{ID: "e1", FailureDomain: "b"}
	vms := []VM{{Name: "vm-1", FailureDomain: "a"}, {Name: "vm-2", FailureDomain: "b"}, {Name: "vm-3", FailureDomain: "a"}}
	if owner, ok := Choose(endpoint, vms); !ok || owner != "vm-2" {
		t.Errorf("owner %q, want vm-2 in the endpoint's failure domain", owner)
	}
	if _, ok := Choose(endpoint, nil); ok {
		t.Error("an owner is chosen although there is no daemon")
	}
}

// TestOwnerIsIndependentOfOrder guards against two owners of one endpoint, because
// daemons list the VMs in different orders.
func TestOwnerIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []VM
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			vms = append(vms, VM{Name: fmt.Sprint("vm-", i), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")})
		}
		endpoint := rattancatalog.Endpoint{ID: rapid.String().Draw(t, "id"), FailureDomain: "a"}
		first, _ := Choose(endpoint, vms)
		second, _ := Choose(endpoint, rapid.Permutation(vms).Draw(t, "order"))
		if first != second {
			t.Fatalf("owners %q and %q for the same VMs in different orders", first, second)
		}
	})
}

// TestOwnerConnectionsStayBelowLimit guards against an endpoint over its connection
// limit, which refuses connections and closes those of others. The limits are those
// of the users' sites.
func TestOwnerConnectionsStayBelowLimit(t *testing.T) {
	for _, maxConnections := range []int{21, 37, 54, 243} {
		budget := ConnectionBudget{MaxConnections: maxConnections, Slots: 3}
		if connections := budget.OwnerConnections(); connections >= maxConnections || connections < 2*budget.InFlight() {
			t.Errorf("the owner has %d of %d connections, %d statements in flight", connections, maxConnections, budget.InFlight())
		}
	}
}
