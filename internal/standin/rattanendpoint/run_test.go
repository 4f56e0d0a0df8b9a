package rattanendpoint

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	begin    = rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN
	resume   = rattanv1.TransactionStep_TRANSACTION_STEP_CONTINUE
	commit   = rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT
	rollback = rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK
)

// TestTransactionFaults guards against a transaction that survives its connection,
// a kill of the instance, its idle limit or a failed statement, and against locks
// that stay held after the transaction has ended.
func TestTransactionFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(c *cluster, connection string)
		step rattanv1.TransactionStep
		code connect.Code
		rows int64
	}{
		{"commit", func(*cluster, string) {}, commit, 0, 2},
		{"rollback", func(*cluster, string) {}, rollback, 0, 1},
		{"closed connection", func(c *cluster, connection string) {
			_, _ = callOnce(c.dial("a", "").CloseConnection, &rattanv1.CloseConnectionRequest{Connection: connection})
		}, commit, connect.CodeNotFound, 1},
		{"new incarnation", func(c *cluster, _ string) {
			_, _ = callOnce(c.dial("a", "").OpenConnection, &rattanv1.OpenConnectionRequest{Daemon: "vm/2"})
		}, commit, connect.CodeNotFound, 1},
		{"idle", func(*cluster, string) { time.Sleep(5 * time.Second) }, commit, connect.CodeNotFound, 1},
		{"killed", func(c *cluster, _ string) {
			c.get("a").Adjust(func(controls *Controls) { controls.Killed = true })
			c.get("a").Adjust(func(controls *Controls) { controls.Killed = false })
		}, commit, connect.CodeNotFound, 1},
		{"failed statement", func(c *cluster, connection string) {
			_, _ = c.run("a", &rattanv1.RunStatementsRequest{Connection: connection, Term: 1, Transaction: "x", Step: resume}, "INSERT INTO t VALUES ('a', 9)")
		}, commit, connect.CodeFailedPrecondition, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
				c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, "INSERT INTO t VALUES ('a', 1)")
				connection := c.open("a")
				c.mustRun("a", &rattanv1.RunStatementsRequest{Connection: connection, Term: 1, Transaction: "x", Step: begin}, "INSERT INTO t VALUES ('b', 1)")
				tc.end(c, connection)
				_, err := c.run("a", &rattanv1.RunStatementsRequest{Connection: connection, Term: 1, Transaction: "x", Step: tc.step}, "")
				if got := connect.CodeOf(err); err != nil && got != tc.code || err == nil && tc.code != 0 {
					t.Errorf("last step: error %v, want code %v", err, tc.code)
				}
				response := c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, countRows)
				if got := response.GetResults()[0].GetRows()[0].GetValues()[0].GetInteger(); got != tc.rows {
					t.Errorf("%d rows, want %d", got, tc.rows)
				}
				c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, "UPDATE t SET n = 3")
			})
		})
	}
}

// TestLockTimeout guards against an unlimited wait for a row lock.
func TestLockTimeout(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
		c.mustRun("a", &rattanv1.RunStatementsRequest{Connection: c.open("a"), Term: 1, Transaction: "x", Step: begin}, "INSERT INTO t VALUES ('b', 1)")
		started := time.Now()
		_, err := c.run("a", &rattanv1.RunStatementsRequest{Connection: c.open("a"), Term: 1}, "INSERT INTO t VALUES ('b', 2)")
		if faultKind(err) != rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_LOCKED || time.Since(started) > 200*time.Millisecond {
			t.Errorf("got %v after %s, want LOCKED after 100ms", err, time.Since(started))
		}
	})
}

// TestRecords guards against a request that runs twice, runs after it was
// cancelled, or loses its first outcome in a failover.
func TestRecords(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
		insert := func(name string, term uint64, id, text string) (*rattanv1.RunStatementsResponse, error) {
			return c.run(name, &rattanv1.RunStatementsRequest{Term: term, ClientAccount: "shop/d", RequestId: id}, text)
		}
		first, err := insert("a", 1, "r1", "INSERT INTO t VALUES ('x', 1)")
		if err != nil || first.GetRepeated() {
			t.Fatalf("first run: %v, %v", first, err)
		}
		_, _ = callOnce(c.dial("a", "").FindOutcome, &rattanv1.FindOutcomeRequest{Term: 1, ClientAccount: "shop/d", RequestId: "r2"})
		time.Sleep(100 * time.Millisecond)
		for _, at := range []struct {
			name string
			term uint64
		}{{"a", 1}, {"b", 2}} {
			if at.term == 2 {
				if err := c.promote("b", 2, "b", "c"); err != nil {
					t.Fatal(err)
				}
			}
			again, err := insert(at.name, at.term, "r1", "INSERT INTO t VALUES ('x', 1)")
			history := c.get(at.name).Status().GetLineage()
			start := history[len(history)-1]
			if err != nil || !again.GetRepeated() || again.GetResults()[0].GetAffected() != 1 ||
				again.GetPosition().GetTerm() != at.term || again.GetPosition().GetIndex() < start.GetStartIndex() {
				t.Errorf("repeated request on %s: %v, %v, want the first outcome at a position from %v on", at.name, again, err, start)
			}
			if _, err := insert(at.name, at.term, "r1", "DELETE FROM t"); faultKind(err) != rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT {
				t.Errorf("request id with other statements on %s: %v, want CONFLICT", at.name, err)
			}
			if _, err := insert(at.name, at.term, "r2", "INSERT INTO t VALUES ('y', 1)"); faultKind(err) != rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED {
				t.Errorf("cancelled request on %s: %v, want CANCELLED", at.name, err)
			}
		}
	})
}

// TestReads guards against a replica that serves a read before it has reached the
// minimum position, or with data older than the maximum age.
func TestReads(t *testing.T) {
	for _, tc := range []struct {
		name     string
		controls Controls
		maxWait  uint32
		maxAge   uint32
		want     rattanv1.EndpointFaultKind
	}{
		{"up to date", Controls{}, 100, 0, 0},
		{"fresh", Controls{}, 100, 200, 0},
		{"behind", Controls{ReplicationLag: time.Second}, 100, 0, behind},
		{"reached in time", Controls{ReplicationLag: 300 * time.Millisecond}, 1000, 0, 0},
		{"stopped", Controls{ReplicationStopped: true}, 1000, 0, behind},
		{"cut off", Controls{CutFrom: names, CutTo: names}, 1000, 0, behind},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				c.get("b").SetControls(tc.controls)
				position := c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable).GetPosition()
				_, err := c.run("b", &rattanv1.RunStatementsRequest{ReadOnly: true, MinPosition: position, MaxWaitMs: tc.maxWait, MaxAgeMs: tc.maxAge}, countRows)
				if got := faultKind(err); got != tc.want || tc.want == 0 && err != nil {
					t.Errorf("got %v, want %v", err, tc.want)
				}
			})
		})
	}
}

// TestAge guards against an age that is reported too low: on a replica that is
// partitioned, on a primary after a majority has promised a later term, and on a
// replica of such a primary.
func TestAge(t *testing.T) {
	inCluster(t, func(c *cluster) {
		if status := c.get("b").Status(); !status.GetAgeKnown() || status.GetAgeMs() > 100 {
			t.Errorf("connected replica: %v, want an age of at most 100 ms", status)
		}
		c.get("b").SetControls(Controls{CutFrom: names, CutTo: names})
		time.Sleep(3 * time.Second)
		if age := c.get("b").Status().GetAgeMs(); age < 3000 {
			t.Errorf("partitioned replica: age %d ms, want at least 3000 ms", age)
		}
		if err := c.promote("c", 2, "b", "c"); err != nil {
			t.Fatal(err)
		}
		c.get("c").SetControls(Controls{CutFrom: names, CutTo: names})
		c.get("b").SetControls(Controls{})
		time.Sleep(2 * time.Second)
		for _, name := range []string{"a", "b"} {
			if status := c.get(name).Status(); status.GetAgeKnown() && status.GetAgeMs() < 2000 {
				t.Errorf("%s, without a majority in its term: age %d ms, want it unknown or at least 2000 ms", name, status.GetAgeMs())
			}
		}
	})
}

// TestSlotsAndConnections guards against more statements at a time than slots, more
// connections than the limit, and a time to open a connection other than OpenTime.
func TestSlotsAndConnections(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
		c.get("a").Adjust(func(controls *Controls) { controls.ServiceTime = 100 * time.Millisecond })
		started := time.Now()
		connections := make([]string, defaultConnections)
		for i := range connections {
			connections[i] = c.open("a")
		}
		if opened := time.Since(started); opened != defaultConnections*defaultOpenTime {
			t.Errorf("opening %d connections took %s, want OpenTime for each", defaultConnections, opened)
		}
		_, err := callOnce(c.dial("a", "").OpenConnection, &rattanv1.OpenConnectionRequest{Daemon: "vm/1"})
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Errorf("connection over the limit: %v, want RESOURCE_EXHAUSTED", err)
		}
		started = time.Now()
		for _, connection := range connections[:7] {
			go func() {
				_, _ = c.run("a", &rattanv1.RunStatementsRequest{Connection: connection, Term: 1}, countRows)
			}()
		}
		synctest.Wait()
		if status := c.get("a").Status(); status.GetSlotsUsed() != 3 || status.GetQueued() != 4 {
			t.Errorf("%d slots used, %d queued, want 3 and 4", status.GetSlotsUsed(), status.GetQueued())
		}
		c.mustRun("a", &rattanv1.RunStatementsRequest{Connection: connections[7], Term: 1}, countRows)
		if took := time.Since(started); took != 300*time.Millisecond {
			t.Errorf("the last of 8 calls took %s, want 300ms", took)
		}
	})
}

// TestFaults guards against injected faults without their documented effect on a
// call and on the statement that it runs.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		controls Controls
		code     connect.Code
		call     uint64
		rows     int64
	}{
		{"none", Controls{}, 0, 7, 1},
		{"killed", Controls{Killed: true}, connect.CodeUnavailable, 0, 0},
		{"frozen", Controls{Frozen: true}, connect.CodeDeadlineExceeded, 0, 0},
		{"delayed", Controls{Delay: 3 * time.Second}, connect.CodeDeadlineExceeded, 0, 0},
		{"late", Controls{Late: 3 * time.Second}, connect.CodeDeadlineExceeded, 0, 1},
		{"lost", Controls{LoseAnswers: 1, LoseOf: "RunStatements"}, connect.CodeUnavailable, 0, 1},
		{"crossed", Controls{CrossAnswers: 1}, 0, 0, 1},
		{"cut from", Controls{CutFrom: []string{"vm"}}, connect.CodeDeadlineExceeded, 0, 0},
		{"cut to", Controls{CutTo: []string{"vm"}}, connect.CodeDeadlineExceeded, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, createTable)
				connection := c.open("a")
				c.get("a").SetControls(tc.controls)
				response, err := callOnce(c.dial("a", "vm").RunStatements, &rattanv1.RunStatementsRequest{
					Connection: connection, Call: 7, Term: 1,
					Statements: []*rattanv1.Statement{{Text: "INSERT INTO t VALUES ('x', 1)"}},
				})
				if got := connect.CodeOf(err); err != nil && got != tc.code || err == nil && tc.code != 0 {
					t.Errorf("got %v, want code %v", err, tc.code)
				}
				if response.GetCall() != tc.call {
					t.Errorf("response to call %d, want %d", response.GetCall(), tc.call)
				}
				c.get("a").SetControls(Controls{})
				time.Sleep(1500 * time.Millisecond)
				count := c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, countRows)
				if got := count.GetResults()[0].GetRows()[0].GetValues()[0].GetInteger(); got != tc.rows {
					t.Errorf("%d rows, want %d", got, tc.rows)
				}
			})
		})
	}
}

// TestRecording guards against a recording without headers or bodies. The checks
// that no API key reaches an endpoint depend on it.
func TestRecording(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.get("a").SetControls(Controls{Recording: true})
		request := connect.NewRequest(&rattanv1.OpenConnectionRequest{Daemon: "in-the-body"})
		request.Header().Set("Authorization", "Bearer in-the-header")
		_, _ = c.dial("a", "").OpenConnection(context.Background(), request)
		recorded := bytes.Join(c.get("a").Recorded(), nil)
		for _, want := range []string{"in-the-body", "in-the-header"} {
			if !bytes.Contains(recorded, []byte(want)) {
				t.Errorf("%q is not recorded", want)
			}
		}
	})
}
