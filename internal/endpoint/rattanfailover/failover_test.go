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

// maxGap is the stated limit on the time from the failure of a primary to the first
// acknowledged write.
const maxGap = 8 * time.Second

// withCluster runs test with a cluster that has served writes for a second, and
// then checks that the cluster recovers and has lost no acknowledged write.
func withCluster(t *testing.T, test func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		time.Sleep(time.Second)
		test(t, cl)
		if problem := cl.healAndCheck(); problem != "" {
			t.Error(problem)
		}
	})
}

func (cl *cluster) adjust(endpoint string, change func(*rattanendpoint.Controls)) {
	cl.endpoints[endpoint].Adjust(change)
}

func (cl *cluster) kill(endpoint string) {
	cl.adjust(endpoint, func(c *rattanendpoint.Controls) { c.Killed = true })
}

// terminateAt terminates the daemon that makes the call with the given number,
// counted over all daemons' calls of the method: before the call is sent, or after
// its response.
func (cl *cluster) terminateAt(method string, number int, after bool) {
	var once sync.Once
	var mu sync.Mutex
	calls := 0
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.onCall = func(caller *daemon, called string, isAfter bool) {
		if called != method || isAfter != after {
			return
		}
		mu.Lock()
		calls++
		reached := calls == number
		mu.Unlock()
		if reached {
			once.Do(caller.terminate)
		}
	}
}

// TestFailoverGap guards against a failure of the primary that is not detected, or
// not followed by a new primary within maxGap, under further faults.
func TestFailoverGap(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(cl *cluster)
	}{
		{"killed", func(cl *cluster) { cl.kill("a") }},
		{"frozen and resumed", func(cl *cluster) {
			cl.adjust("a", func(c *rattanendpoint.Controls) { c.Frozen = true })
			time.AfterFunc(3*time.Second, func() { cl.adjust("a", func(c *rattanendpoint.Controls) { c.Frozen = false }) })
		}},
		{"partitioned both ways", func(cl *cluster) { cl.cut([]string{"a"}, cl.others("a")); cl.cut(cl.others("a"), []string{"a"}) }},
		{"responses of the primary do not arrive", func(cl *cluster) { cl.cut([]string{"a"}, cl.others("a")) }},
		{"calls to the primary do not arrive", func(cl *cluster) { cl.cut(cl.others("a"), []string{"a"}) }},
		{"partitioned from the replicas only", func(cl *cluster) {
			cl.cut([]string{"a"}, []string{"b", "c"})
			cl.cut([]string{"b", "c"}, []string{"a"})
		}},
		{"failure domain partitioned", func(cl *cluster) {
			inside := []string{"a", "a1", "a2"}
			cl.cut(inside, cl.others(inside...))
			cl.cut(cl.others(inside...), inside)
		}},
		{"failure domain down", func(cl *cluster) {
			cl.kill("a")
			cl.daemons["a1"].terminate()
			cl.daemons["a2"].terminate()
		}},
		{"replicas behind", func(cl *cluster) {
			cl.adjust("b", func(c *rattanendpoint.Controls) { c.ReplicationLag = 400 * time.Millisecond })
			cl.adjust("c", func(c *rattanendpoint.Controls) { c.ReplicationLag = 100 * time.Millisecond })
			time.Sleep(2 * time.Second)
			cl.kill("a")
		}},
		{"responses to Promote lost", func(cl *cluster) {
			for _, replica := range []string{"b", "c"} {
				cl.adjust(replica, func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 4, "Promote" })
			}
			cl.kill("a")
		}},
		{"responses to Fence lost", func(cl *cluster) {
			for _, replica := range []string{"b", "c"} {
				cl.adjust(replica, func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 2, "Fence" })
			}
			cl.kill("a")
		}},
		{"coordinators race", func(cl *cluster) {
			cl.kill("a")
			for _, d := range cl.daemons {
				cl.running.Go(func() { _, _ = d.coordinator.Failover(d.lifetime, group, 1) })
			}
		}},
		{"coordinator terminated before the first fence", func(cl *cluster) { cl.terminateAt("Fence", 1, false); cl.kill("a") }},
		{"coordinator terminated after one fence", func(cl *cluster) { cl.terminateAt("Fence", 1, true); cl.kill("a") }},
		{"coordinator terminated after all fences", func(cl *cluster) { cl.terminateAt("Fence", 3, true); cl.kill("a") }},
		{"coordinator terminated before the promotion", func(cl *cluster) { cl.terminateAt("Promote", 1, false); cl.kill("a") }},
		{"coordinator terminated after the promotion", func(cl *cluster) { cl.terminateAt("Promote", 1, true); cl.kill("a") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				tc.fail(cl)
				failed := time.Now()
				t.Logf("gap %s", cl.gap(t, failed))
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestHealthyPrimaryStays guards against daemons that replace a primary which a
// majority of the failure domains still reaches, and against a replica that refuses
// the primary forever because a terminated coordinator has fenced it.
func TestHealthyPrimaryStays(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(cl *cluster)
		term uint64
	}{
		{"one daemon partitioned", func(cl *cluster) { cl.cut([]string{"a1"}, cl.others("a1")); cl.cut(cl.others("a1"), []string{"a1"}) }, 1},
		{"one daemon receives nothing", func(cl *cluster) { cl.cut(cl.others("a1"), []string{"a1"}) }, 1},
		{"one daemon partitioned from the endpoints", func(cl *cluster) { cl.cut(domains, []string{"b2"}) }, 1},
		{"failure domain without the primary partitioned", func(cl *cluster) {
			inside := []string{"c", "c1", "c2"}
			cl.cut(inside, cl.others(inside...))
			cl.cut(cl.others(inside...), inside)
		}, 1},
		{"one failure domain does not reach the primary", func(cl *cluster) { cl.cut([]string{"a"}, []string{"b1", "b2"}) }, 1},
		{"both replicas down", func(cl *cluster) { cl.kill("b"); cl.kill("c") }, 1},
		{"replica fenced by a terminated coordinator", func(cl *cluster) {
			d := cl.daemons["b1"]
			_, _ = d.endpoint("c").Fence(d.lifetime, 9, "b1/1#0")
		}, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				tc.fail(cl)
				time.Sleep(5 * time.Second)
				status := cl.endpoints["a"].Status()
				if status.GetTerm() != tc.term || status.GetPrimary() != "a" {
					t.Errorf("endpoint a is in term %d with primary %q, want term %d with primary a", status.GetTerm(), status.GetPrimary(), tc.term)
				}
			})
		})
	}
}

// TestRepeatedFailovers guards against state left by one failover that hinders the
// next: the current primary is killed and restarted several times.
func TestRepeatedFailovers(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		for round := range 6 {
			primary := cl.daemons["b1"].tracker.View(group).Primary
			cl.kill(primary)
			t.Logf("round %d: gap %s", round, cl.gap(t, time.Now()))
			cl.adjust(primary, func(c *rattanendpoint.Controls) { c.Killed = false })
			time.Sleep(time.Second)
		}
	})
}

// TestSwitch guards against a planned switchover that loses writes, takes longer
// than maxGap, or replaces the primary although the target cannot take over.
func TestSwitch(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(cl *cluster)
		target  string
		err     error
		primary string
	}{
		{"planned switchover", func(*cluster) {}, "c", nil, "c"},
		{"target is the primary", func(*cluster) {}, "a", nil, "a"},
		{"target behind", func(cl *cluster) {
			cl.adjust("c", func(c *rattanendpoint.Controls) { c.ReplicationStopped = true })
			time.Sleep(100 * time.Millisecond)
		}, "c", ErrTargetBehind, "a"},
		{"unknown target", func(*cluster) {}, "d", ErrUnknownEndpoint, "a"},
		{"primary down", func(cl *cluster) { cl.kill("a") }, "c", nil, "c"},
		{"no majority", func(cl *cluster) { cl.kill("a"); cl.kill("b") }, "c", ErrNoMajority, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				tc.prepare(cl)
				d, started := cl.daemons["b1"], time.Now()
				promotion, err := d.coordinator.Promote(d.lifetime, group, tc.target)
				if !errors.Is(err, tc.err) {
					t.Errorf("got %v, want %v", err, tc.err)
				}
				if got := cl.endpoints["a"].Status(); errors.Is(tc.err, ErrTargetBehind) && got.GetPromisedTerm() != 1 {
					t.Errorf("endpoint a has promised term %d for a target that is behind", got.GetPromisedTerm())
				}
				if got := cl.endpoints[tc.primary].Status(); got.GetPrimary() != tc.primary && tc.err != ErrNoMajority {
					t.Errorf("endpoint %s has primary %q, want itself", tc.primary, got.GetPrimary())
				}
				if tc.err != nil {
					return
				}
				if !slices.Contains(promotion.Fenced, tc.target) {
					t.Errorf("target %s is not among the fenced endpoints %v", tc.target, promotion.Fenced)
				}
				t.Logf("%s; gap %s", promotion, cl.gap(t, started))
			})
		})
	}
}
