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

// TestIsolated guards against a daemon that spends base shares which others may
// have taken, and against one that stops spending although it is not partitioned.
func TestIsolated(t *testing.T) {
	for _, tc := range []struct {
		name    string
		vms     []string
		contact func(*Controller)
		elapsed time.Duration
		want    bool
	}{
		{"alone in the roster", []string{"vm-a1"}, nil, time.Hour, false},
		{"no contact since the start", []string{"vm-a1", "vm-a2"}, nil, 0, true},
		{"recent data from the platform", []string{"vm-a1", "vm-a2"}, func(c *Controller) { c.freshness.ObservePlatform(time.Now()) }, isolatedTime, false},
		{"data from the platform too old", []string{"vm-a1", "vm-a2"}, func(c *Controller) { c.freshness.ObservePlatform(time.Now()) }, isolatedTime + time.Millisecond, true},
		{"recent exchange with a member", []string{"vm-a1", "vm-a2"}, func(c *Controller) { c.ObservePeer("vm-a2") }, isolatedTime, false},
		{"exchange with a member too old", []string{"vm-a1", "vm-a2"}, func(c *Controller) { c.ObservePeer("vm-a2") }, isolatedTime + time.Millisecond, true},
		{"exchange with another failure domain only", []string{"vm-a1", "vm-a2"}, func(c *Controller) { c.ObservePeer("vm-b1") }, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := newController(tc.vms...)
				if tc.contact != nil {
					tc.contact(controller)
				}
				time.Sleep(tc.elapsed)
				if got := controller.isolated(); got != tc.want {
					t.Errorf("isolated is %t, want %t", got, tc.want)
				}
			})
		})
	}
}

// TestIsTerminated guards against the removal of a VM that is only partitioned
// from the platform, whose base share would then be spent twice.
func TestIsTerminated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController("vm-a1", "vm-a2")
		both, one := []string{"vm-a1", "vm-a2"}, []string{"vm-a1"}
		controller.terminations.Observe(time.Now(), both, both)
		controller.terminations.Observe(time.Now(), one, both)
		if controller.isTerminated("vm-a2") {
			t.Error("VM counts as terminated although its daemon may still spend its base shares")
		}
		time.Sleep(removalDelay + time.Millisecond)
		controller.terminations.Observe(time.Now(), one, both)
		if !controller.isTerminated("vm-a2") {
			t.Error("VM without registration and heartbeat keeps its base share")
		}
		controller.terminations.Observe(time.Now(), both, both)
		if controller.isTerminated("vm-a2") {
			t.Error("VM that is registered again counts as terminated")
		}
	})
}
