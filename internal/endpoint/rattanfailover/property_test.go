package rattanfailover

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
)

// fault is one step of a random plan.
type fault struct {
	kind     string
	endpoint string
	other    string
	daemon   string
	wait     time.Duration
}

var faultKinds = []string{"kill", "restart", "freeze", "cut", "cut one way", "heal", "lag", "lose answers", "late", "stop daemon", "switch", "failover"}

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

func (w *world) apply(f fault) {
	switch f.kind {
	case "kill":
		w.kill(f.endpoint)
	case "restart":
		w.kill(f.endpoint)
		w.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Killed, c.Frozen = false, false })
	case "freeze":
		w.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Frozen = !c.Frozen })
	case "cut":
		w.cut([]string{f.endpoint}, w.others(f.endpoint))
		w.cut(w.others(f.endpoint), []string{f.endpoint})
	case "cut one way":
		w.cut([]string{f.endpoint}, []string{f.other, f.daemon})
	case "heal":
		w.heal()
	case "lag":
		w.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.ReplicationLag = f.wait / 4 })
	case "lose answers":
		w.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.LoseAnswers = 5 })
	case "late":
		w.adjust(f.endpoint, func(c *rattanendpoint.Controls) { c.Late = f.wait / 4 })
	case "stop daemon":
		w.daemons[f.daemon].die()
	case "switch":
		d := w.daemons[f.daemon]
		w.running.Go(func() { _, _ = d.coordinator.Promote(d.dead, group, f.endpoint) })
	case "failover":
		d := w.daemons[f.daemon]
		w.running.Go(func() { _, _ = d.coordinator.Failover(d.dead, group, d.tracker.View(group).Term) })
	}
}

// TestRandomFaults guards against lost acknowledged writes, overlapping
// primaries, and a group that does not recover, under any sequence of faults.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(rt, "plan")
		problem := ""
		synctest.Test(t, func(*testing.T) {
			w := newWorld()
			time.Sleep(500 * time.Millisecond)
			for _, f := range plan {
				w.apply(f)
				time.Sleep(f.wait)
			}
			problem = w.finish()
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
