package rattanproxy

import (
	"slices"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// TestPoolOwnersInAnOutage guards against a daemon that asks only a daemon which has
// ended for tokens: in an outage the leases end one after the other, and the last
// changes that the store reports can leave any of the VMs.
func TestPoolOwnersInAnOutage(t *testing.T) {
	all := vmSnapshot("vm-1", "vm-2", "vm-3", "vm-4")
	account := rattancatalog.Account{Name: "dealer", Rate: 1000, Burst: 1000}
	for _, test := range []struct {
		name  string
		after *rattancache.Snapshot
		keeps bool
	}{
		{"all leases have ended", vmSnapshot(), true},
		{"all but one lease have ended", vmSnapshot("vm-1"), true},
		{"its own lease is in force", vmSnapshot("vm-2"), false},
		{"only its own lease has ended", vmSnapshot("vm-1", "vm-3", "vm-4"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			owners := poolOwners{vm: "vm-2", window: 5 * time.Second}
			before := slices.Clone(owners.of(account, all))
			fresh := poolOwners{vm: "vm-2", window: 5 * time.Second}
			want := fresh.of(account, test.after)
			if test.keeps {
				want = before
			}
			assertSameVMs(t, owners.of(account, test.after), want)
		})
	}
}

// vmSnapshot returns a snapshot of the store with VMs, alternately in two failure
// domains by their last digit.
func vmSnapshot(names ...string) *rattancache.Snapshot {
	snapshot := &rattancache.Snapshot{VMs: make(map[string]rattancache.VMRecord)}
	for _, name := range names {
		domain := string('a' + (name[len(name)-1]-'1')%2)
		snapshot.VMs[name] = rattancache.VMRecord{Address: name, FailureDomain: domain}
	}
	return snapshot
}

func assertSameVMs(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
		t.Errorf("got the owners %v, want %v", got, want)
	}
}
