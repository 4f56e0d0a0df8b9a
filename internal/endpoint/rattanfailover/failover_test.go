package rattanfailover

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
)

// maxGap is the promised time from the failure of a primary to the first
// acknowledged write.
const maxGap = 8 * time.Second

// inWorld runs test in a world that has worked for a second, and checks the
// promises afterwards.
func inWorld(t *testing.T, test func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		time.Sleep(time.Second)
		test(t, w)
		if problem := w.finish(); problem != "" {
			t.Error(problem)
		}
	})
}

func (w *world) adjust(endpoint string, change func(*rattanendpoint.Controls)) {
	w.endpoints[endpoint].Adjust(change)
}

func (w *world) kill(endpoint string) {
	w.adjust(endpoint, func(c *rattanendpoint.Controls) { c.Killed = true })
}

// dieAt makes the first daemon that gets to a coordinator's call die there: at
// the given number of calls of the method, before it is sent or after its answer.
func (w *world) dieAt(method string, number int, after bool) {
	var once sync.Once
	var mu sync.Mutex
	calls := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = func(caller *daemon, called string, isAfter bool) {
		if called != method || isAfter != after {
			return
		}
		mu.Lock()
		calls++
		reached := calls == number
		mu.Unlock()
		if reached {
			once.Do(caller.die)
		}
	}
}

// TestFailoverGap guards against a failure of the primary that is not noticed
// or not repaired in time, whatever else goes wrong.
func TestFailoverGap(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(w *world)
	}{
		{"killed", func(w *world) { w.kill("a") }},
		{"frozen and woken", func(w *world) {
			w.adjust("a", func(c *rattanendpoint.Controls) { c.Frozen = true })
			time.AfterFunc(3*time.Second, func() { w.adjust("a", func(c *rattanendpoint.Controls) { c.Frozen = false }) })
		}},
		{"cut off both ways", func(w *world) { w.cut([]string{"a"}, w.others("a")); w.cut(w.others("a"), []string{"a"}) }},
		{"answers do not leave", func(w *world) { w.cut([]string{"a"}, w.others("a")) }},
		{"calls do not arrive", func(w *world) { w.cut(w.others("a"), []string{"a"}) }},
		{"cut off from the replicas only", func(w *world) {
			w.cut([]string{"a"}, []string{"b", "c"})
			w.cut([]string{"b", "c"}, []string{"a"})
		}},
		{"failure domain cut off", func(w *world) {
			inside := []string{"a", "a1", "a2"}
			w.cut(inside, w.others(inside...))
			w.cut(w.others(inside...), inside)
		}},
		{"failure domain down", func(w *world) {
			w.kill("a")
			w.daemons["a1"].die()
			w.daemons["a2"].die()
		}},
		{"replicas behind", func(w *world) {
			w.adjust("b", func(c *rattanendpoint.Controls) { c.ReplicationLag = 400 * time.Millisecond })
			w.adjust("c", func(c *rattanendpoint.Controls) { c.ReplicationLag = 100 * time.Millisecond })
			time.Sleep(2 * time.Second)
			w.kill("a")
		}},
		{"answers to Promote lost", func(w *world) {
			for _, replica := range []string{"b", "c"} {
				w.adjust(replica, func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 4, "Promote" })
			}
			w.kill("a")
		}},
		{"answers to Fence lost", func(w *world) {
			for _, replica := range []string{"b", "c"} {
				w.adjust(replica, func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 2, "Fence" })
			}
			w.kill("a")
		}},
		{"coordinators race", func(w *world) {
			w.kill("a")
			for _, d := range w.daemons {
				w.running.Go(func() { _, _ = d.coordinator.Failover(d.dead, group, 1) })
			}
		}},
		{"coordinator dies before the fence", func(w *world) { w.dieAt("Fence", 1, false); w.kill("a") }},
		{"coordinator dies after one fence", func(w *world) { w.dieAt("Fence", 1, true); w.kill("a") }},
		{"coordinator dies after all fences", func(w *world) { w.dieAt("Fence", 3, true); w.kill("a") }},
		{"coordinator dies before the promotion", func(w *world) { w.dieAt("Promote", 1, false); w.kill("a") }},
		{"coordinator dies after the promotion", func(w *world) { w.dieAt("Promote", 1, true); w.kill("a") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				tc.fail(w)
				failed := time.Now()
				t.Logf("gap %s", w.gap(t, failed))
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestHealthyPrimaryStays guards against daemons that depose a primary which
// the others reach, and against a fence left behind by a dead coordinator that
// keeps a replica out for good.
func TestHealthyPrimaryStays(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(w *world)
		term uint64
	}{
		{"daemon cut off alone", func(w *world) { w.cut([]string{"a1"}, w.others("a1")); w.cut(w.others("a1"), []string{"a1"}) }, 1},
		{"daemon hears nothing", func(w *world) { w.cut(w.others("a1"), []string{"a1"}) }, 1},
		{"daemon cut off from the endpoints", func(w *world) { w.cut(domains, []string{"b2"}) }, 1},
		{"failure domain without the primary cut off", func(w *world) {
			inside := []string{"c", "c1", "c2"}
			w.cut(inside, w.others(inside...))
			w.cut(w.others(inside...), inside)
		}, 1},
		{"one failure domain does not reach the primary", func(w *world) { w.cut([]string{"a"}, []string{"b1", "b2"}) }, 1},
		{"both replicas down", func(w *world) { w.kill("b"); w.kill("c") }, 1},
		{"replica fenced by a coordinator that died", func(w *world) {
			d := w.daemons["b1"]
			_, _ = d.endpoint("c").Fence(d.dead, 9, "b1/1#0")
		}, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				tc.fail(w)
				time.Sleep(5 * time.Second)
				status := w.endpoints["a"].Status()
				if status.GetTerm() != tc.term || status.GetPrimary() != "a" {
					t.Errorf("a is in term %d under %q, want term %d under a", status.GetTerm(), status.GetPrimary(), tc.term)
				}
			})
		})
	}
}

// TestRepeatedFailovers guards against state of one failover that hinders the
// next: every primary fails in turn and returns.
func TestRepeatedFailovers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for round := range 6 {
			primary := w.daemons["b1"].tracker.View(group).Primary
			w.kill(primary)
			t.Logf("round %d: gap %s", round, w.gap(t, time.Now()))
			w.adjust(primary, func(c *rattanendpoint.Controls) { c.Killed = false })
			time.Sleep(time.Second)
		}
	})
}

// TestSwitch guards against a planned switch that loses writes, takes long, or
// deposes the primary for a target that cannot take over.
func TestSwitch(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(w *world)
		target  string
		err     error
		primary string
	}{
		{"in order", func(*world) {}, "c", nil, "c"},
		{"target is the primary", func(*world) {}, "a", nil, "a"},
		{"target behind", func(w *world) {
			w.adjust("c", func(c *rattanendpoint.Controls) { c.ReplicationStopped = true })
			time.Sleep(100 * time.Millisecond)
		}, "c", ErrTargetBehind, "a"},
		{"unknown target", func(*world) {}, "d", ErrUnknownEndpoint, "a"},
		{"primary down", func(w *world) { w.kill("a") }, "c", nil, "c"},
		{"no majority", func(w *world) { w.kill("a"); w.kill("b") }, "c", ErrNoMajority, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				tc.prepare(w)
				d, started := w.daemons["b1"], time.Now()
				promotion, err := d.coordinator.Promote(d.dead, group, tc.target)
				if !errors.Is(err, tc.err) {
					t.Errorf("got %v, want %v", err, tc.err)
				}
				if got := w.endpoints["a"].Status(); errors.Is(tc.err, ErrTargetBehind) && got.GetPromisedTerm() != 1 {
					t.Errorf("a has promised term %d for a target that is behind", got.GetPromisedTerm())
				}
				if got := w.endpoints[tc.primary].Status(); got.GetPrimary() != tc.primary && tc.err != ErrNoMajority {
					t.Errorf("%s follows %q, want it primary", tc.primary, got.GetPrimary())
				}
				if tc.err != nil {
					return
				}
				if !slices.Contains(promotion.Fenced, tc.target) {
					t.Errorf("%s is not among the fenced %v", tc.target, promotion.Fenced)
				}
				t.Logf("%s; gap %s", promotion, w.gap(t, started))
			})
		})
	}
}
