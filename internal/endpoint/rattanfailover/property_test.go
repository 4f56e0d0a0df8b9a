package rattanfailover

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
)

// fault is one step of a random sequence of faults.
type fault struct {
	kind     string
	endpoint string
	other    string
	daemon   string
	wait     time.Duration
}

var faultKinds = []string{"kill", "restart", "freeze", "cut", "cut one way", "heal", "lag", "lose responses", "late", "stop daemon", "switch", "failover"}

func drawFault(t *rapid.T) fault {
	endpoint := rapid.SampledFrom(domains).Draw(t, "endpoint")
	return fault{
		kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		endpoint: endpoint,
		other:    rapid.SampledFrom(domains).Draw(t, "other"),
		daemon:   rapid.SampledFrom(domains).Draw(t, "daemon") + "1",
		wait:     time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait in ms")) * time.Millisecond,
	}
}

func (cl *cluster) apply(f fault) {
	switch f.kind {
	case "kill":
		cl.kill(f.endpoint)
	case "restart":
		cl.kill(f.endpoint)
		cl.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Killed, c.Frozen = false, false })
	case "freeze":
		cl.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Frozen = !c.Frozen })
	case "cut":
		cl.cut([]string{f.endpoint}, cl.others(f.endpoint))
		cl.cut(cl.others(f.endpoint), []string{f.endpoint})
	case "cut one way":
		cl.cut([]string{f.endpoint}, []string{f.other, f.daemon})
	case "heal":
		cl.heal()
	case "lag":
		cl.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.ReplicationLag = f.wait / 4 })
	case "lose responses":
		cl.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.LoseAnswers = 5 })
	case "late":
		cl.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Late = f.wait / 4 })
	case "stop daemon":
		cl.daemons[f.daemon].terminate()
	case "switch":
		d := cl.daemons[f.daemon]
		cl.running.Go(func() { _, _ = d.coordinator.Promote(d.lifetime, group, f.endpoint) })
	case "failover":
		d := cl.daemons[f.daemon]
		cl.running.Go(func() { _, _ = d.coordinator.Failover(d.lifetime, group, d.tracker.View(group).Term) })
	}
}

// TestRandomFaults guards against lost acknowledged writes, overlapping primaries
// and a group that does not recover, under random sequences of faults.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(rt, "plan")
		problem := ""
		synctest.Test(t, func(*testing.T) {
			cl := newCluster()
			time.Sleep(500 * time.Millisecond)
			for _, f := range plan {
				cl.apply(f)
				time.Sleep(f.wait)
			}
			problem = cl.healAndCheck()
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
