package rattanendpoint

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	createTable = "CREATE TABLE t (id TEXT PRIMARY KEY, n INTEGER)"
	countRows   = "SELECT COUNT(*) FROM t"
)

func (c *cluster) mustRun(name string, request *rattanv1.RunStatementsRequest, text string) *rattanv1.RunStatementsResponse {
	c.t.Helper()
	response, err := c.run(name, request, text)
	if err != nil {
		c.t.Fatalf("%s on %s: %v", text, name, err)
	}
	return response
}

// TestTerms guards against a fenced primary that commits, a replica that confirms
// or accepts entries of a term below its promise, a term that is promised to two
// coordinators, and a promotion without a majority.
func TestTerms(t *testing.T) {
	for _, tc := range []struct {
		name string
		test func(*cluster) error
		want rattanv1.EndpointFaultKind
	}{
		{"write on the primary", func(c *cluster) error {
			_, err := c.run("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
			return err
		}, 0},
		{"write on a replica", func(c *cluster) error {
			_, err := c.run("b", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
			return err
		}, wrongTerm},
		{"write of another term", func(c *cluster) error {
			_, err := c.run("a", &rattanv1.RunStatementsRequest{Term: 2}, createTable)
			return err
		}, wrongTerm},
		{"write on a fenced primary", func(c *cluster) error {
			_, _ = callOnce(c.dial("a", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			_, err := c.run("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
			return err
		}, wrongTerm},
		{"confirmation of a lower term than promised", func(c *cluster) error {
			_, _ = callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			_, err := callOnce(c.dial("b", "").WaitPosition, &rattanv1.WaitPositionRequest{Term: 1, Index: 1, MaxWaitMs: 100})
			return err
		}, promised},
		{"confirmation of an entry that does not exist", func(c *cluster) error {
			_, err := callOnce(c.dial("b", "").WaitPosition, &rattanv1.WaitPositionRequest{Term: 1, Index: 9, MaxWaitMs: 100})
			return err
		}, behind},
		{"confirmation of a term that the replica has not joined", func(c *cluster) error {
			c.get("c").SetControls(Controls{CutFrom: names, CutTo: names})
			if err := c.promote("b", 2, "a", "b"); err != nil {
				return err
			}
			_, err := callOnce(c.dial("c", "").WaitPosition, &rattanv1.WaitPositionRequest{Term: 2, Index: 1, MaxWaitMs: 100})
			return err
		}, behind},
		{"replication of a lower term than promised", func(c *cluster) error {
			_, _ = callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			position := c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable).GetPosition()
			_, err := c.run("b", &rattanv1.RunStatementsRequest{ReadOnly: true, MinPosition: position, MaxWaitMs: 500}, countRows)
			return err
		}, behind},
		{"fence of a promised term by another coordinator", func(c *cluster) error {
			_, _ = callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			_, err := callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "other"})
			return err
		}, promised},
		{"repeated fence", func(c *cluster) error {
			_, _ = callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			_, err := callOnce(c.dial("b", "").Fence, &rattanv1.FenceRequest{Term: 2, Coordinator: "vm"})
			return err
		}, 0},
		{"promotion without a promise", func(c *cluster) error {
			_, err := callOnce(c.dial("b", "").Promote, &rattanv1.PromoteRequest{Term: 2, Coordinator: "vm", Fenced: names})
			return err
		}, promised},
		{"promotion without a majority", func(c *cluster) error { return c.promote("b", 2, "b") }, wrongTerm},
		{"promotion", func(c *cluster) error { return c.promote("b", 2, "b", "c") }, 0},
		{"second promotion in a term", func(c *cluster) error {
			if err := c.promote("b", 2, "b", "c"); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			return c.promote("c", 2, "b", "c")
		}, wrongTerm},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				err := tc.test(c)
				if got := faultKind(err); got != tc.want || tc.want == 0 && err != nil {
					t.Errorf("got %v (%v), want %v", got, err, tc.want)
				}
			})
		})
	}
}

// TestDivergentLog guards against a former primary that keeps entries which the new
// primary does not have, also across a restart, and against a replica that loses
// entries which both have.
func TestDivergentLog(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
		time.Sleep(100 * time.Millisecond)
		c.get("a").Adjust(func(controls *Controls) { controls.CutTo, controls.CutFrom = names, names })
		c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1, RequestId: "r1"}, "INSERT INTO t VALUES ('lost', 1)")
		if err := c.promote("b", 2, "b", "c"); err != nil {
			t.Fatal(err)
		}
		c.mustRun("b", &rattanv1.RunStatementsRequest{Term: 2}, "INSERT INTO t VALUES ('kept', 1), ('kept too', 1)")
		state := c.stop("a")
		if !state.Primary || state.Term != 1 {
			t.Errorf("stopped state: primary %t of term %d, want primary of term 1", state.Primary, state.Term)
		}
		c.create("a", state)
		c.start("a")
		time.Sleep(time.Second)
		want := c.get("b").Status()
		for _, name := range []string{"a", "c"} {
			got := c.get(name).Status()
			if got.GetPosition().String() != want.GetPosition().String() || got.GetTerm() != 2 || len(got.GetLineage()) != 2 {
				t.Errorf("%s: %v, want the position %v of term 2", name, got, want.GetPosition())
			}
			response := c.mustRun(name, &rattanv1.RunStatementsRequest{ReadOnly: true, MinPosition: want.GetPosition()}, countRows)
			if got := response.GetResults()[0].GetRows()[0].GetValues()[0].GetInteger(); got != 2 {
				t.Errorf("%s has %d rows, want 2", name, got)
			}
		}
		outcome, err := callOnce(c.dial("b", "").FindOutcome, &rattanv1.FindOutcomeRequest{RequestId: "r1", Term: 2})
		if err != nil || outcome.GetRunState() != rattanv1.RunState_RUN_STATE_NOT_RUN {
			t.Errorf("outcome of the lost request: %v, %v, want not run", outcome, err)
		}
	})
}
