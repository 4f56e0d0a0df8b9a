package rattanroster

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
)

// newController returns the Controller of vm-a1 in a roster of the given VMs.
func newController(vms ...string) *Controller {
	clock := rattanclock.System()
	self := rattanmember.Identity{VM: "vm-a1", Incarnation: 1, FailureDomain: "a"}
	gossip := rattangossip.NewStore(clock)
	controller := New(Dependencies{
		Clock:     clock,
		Logger:    log.New(io.Discard),
		Self:      self,
		Manager:   rattanshare.New(clock, self.VM, self.Incarnation, self.FailureDomain, nil),
		Gossip:    gossip,
		Members:   rattanmember.New(self, gossip, clock),
		Freshness: rattankey.NewFreshness(clock),
	})
	roster := rattanshare.Roster{}
	for _, vm := range vms {
		roster, _ = roster.Join(rattanshare.Member{VM: vm, Incarnation: 1})
	}
	gossip.Merge(Record("a", roster.Document(), 7))
	return controller
}

// TestIsolated guards against a daemon that spends home shares which others may
// have taken, and against one that stops without need.
func TestIsolated(t *testing.T) {
	for _, tc := range []struct {
		name    string
		vms     []string
		contact func(*Controller)
		silence time.Duration
		want    bool
	}{
		{"alone in the roster", []string{"vm-a1"}, nil, time.Hour, false},
		{"never heard anybody", []string{"vm-a1", "vm-a2"}, nil, 0, true},
		{"heard the platform", []string{"vm-a1", "vm-a2"}, func(k *Controller) { k.freshness.ObservePlatform(time.Now()) }, isolatedTime, false},
		{"platform silent", []string{"vm-a1", "vm-a2"}, func(k *Controller) { k.freshness.ObservePlatform(time.Now()) }, isolatedTime + time.Millisecond, true},
		{"heard a member", []string{"vm-a1", "vm-a2"}, func(k *Controller) { k.ObservePeer("vm-a2") }, isolatedTime, false},
		{"member silent", []string{"vm-a1", "vm-a2"}, func(k *Controller) { k.ObservePeer("vm-a2") }, isolatedTime + time.Millisecond, true},
		{"heard another failure domain only", []string{"vm-a1", "vm-a2"}, func(k *Controller) { k.ObservePeer("vm-b1") }, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := newController(tc.vms...)
				if tc.contact != nil {
					tc.contact(controller)
				}
				time.Sleep(tc.silence)
				if got := controller.isolated(); got != tc.want {
					t.Errorf("isolated is %t, want %t", got, tc.want)
				}
			})
		})
	}
}

// TestGone guards against the removal of a VM that is only cut off from the
// platform, whose home share would then be spent twice.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController("vm-a1", "vm-a2")
		both, one := []string{"vm-a1", "vm-a2"}, []string{"vm-a1"}
		controller.departures.Observe(time.Now(), both, both)
		controller.departures.Observe(time.Now(), one, both)
		if controller.gone("vm-a2") {
			t.Error("VM counts as gone although its daemon may still spend")
		}
		time.Sleep(removalSilence + time.Millisecond)
		controller.departures.Observe(time.Now(), one, both)
		if !controller.gone("vm-a2") {
			t.Error("VM that is gone and silent keeps its home share")
		}
		controller.departures.Observe(time.Now(), both, both)
		if controller.gone("vm-a2") {
			t.Error("VM that is listed counts as gone")
		}
	})
}
