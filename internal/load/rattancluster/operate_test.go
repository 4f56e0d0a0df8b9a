package rattancluster

import (
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestChangeDuringOutage guards against a script that ends with an error because one
// call to the platform timed out, as happens on a busy machine.
func TestChangeDuringOutage(t *testing.T) {
	cluster := startCluster(t, smallScenario())
	setOutage(t, cluster, true)
	outageEnds := time.AfterFunc(6*time.Second, func() { setOutage(t, cluster, false) })
	defer outageEnds.Stop()
	account := cluster.scenario.Accounts[0]
	response, err := cluster.SetRate(t.Context(), account.Name, account.Rate*2, account.Burst*2)
	if err != nil {
		t.Fatalf("change during an outage of the platform: %v", err)
	}
	if response.GetConfirmed() == 0 {
		t.Error("the change is in force on no VM")
	}
}

func setOutage(t *testing.T, cluster *Cluster, isDown bool) {
	t.Helper()
	request := connect.NewRequest(&rattanv1.SetFaultRequest{Down: isDown})
	if _, err := cluster.Platform().SetFault(t.Context(), request); err != nil {
		t.Errorf("set the platform's fault: %v", err)
	}
}
