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
			before := slices.Clone(owners.of(account, all, time.Time{}))
			fresh := poolOwners{vm: "vm-2", window: 5 * time.Second}
			want := fresh.of(account, test.after, time.Time{})
			if test.keeps {
				want = before
			}
			assertSameVMs(t, owners.of(account, test.after, time.Time{}), want)
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

// TestPoolOwnersKnownSince guards against a pool that starts empty long after its owner
// became the owner, and against one that starts full while another VM may have handed out
// its tokens.
func TestPoolOwnersKnownSince(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(o *poolOwners, now time.Time)
		want   time.Duration
	}{
		{"nothing changed", func(*poolOwners, time.Time) {}, time.Minute},
		{"the same VMs", func(o *poolOwners, now time.Time) { o.update(vmSnapshot("vm-1", "vm-2"), now) }, time.Minute},
		{"a VM came", func(o *poolOwners, now time.Time) { o.update(vmSnapshot("vm-1", "vm-2", "vm-3"), now) }, 0},
		{"this daemon was not registered", func(o *poolOwners, now time.Time) { o.recordUnregistered(time.Second, now) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			owners := poolOwners{vm: "vm-1", window: 5 * time.Second}
			owners.update(vmSnapshot("vm-1", "vm-2"), start)
			now := start.Add(time.Minute)
			test.change(&owners, now)
			if got := now.Sub(owners.since); got != test.want {
				t.Errorf("the owners are known for %s, want %s", got, test.want)
			}
		})
	}
}
