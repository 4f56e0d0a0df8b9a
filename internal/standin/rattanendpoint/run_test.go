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

// TestTransactionFaults guards against a transaction that survives its
// connection, a deposed primary or a failed statement, and against a lock that
// is held for ever.
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
					t.Errorf("last step: %v, want code %v", err, tc.code)
				}
				answer := c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, countRows)
				if got := answer.GetResults()[0].GetRows()[0].GetValues()[0].GetInteger(); got != tc.rows {
					t.Errorf("%d rows, want %d", got, tc.rows)
				}
				c.mustRun("a", &rattanv1.RunStatementsRequest{Term: 1}, "UPDATE t SET n = 3")
			})
		})
	}
}

// TestLockTimeout guards against a wait for a row lock without end.
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
			termHistory := c.get(at.name).Status().GetLineage()
			start := termHistory[len(termHistory)-1]
			if err != nil || !again.GetRepeated() || again.GetResults()[0].GetAffected() != 1 ||
				again.GetPosition().GetTerm() != at.term || again.GetPosition().GetIndex() < start.GetStartIndex() {
				t.Errorf("%s, repeated: %v, %v, want the first outcome at a position from %v on", at.name, again, err, start)
			}
			if _, err := insert(at.name, at.term, "r1", "DELETE FROM t"); faultKind(err) != rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT {
				t.Errorf("%s, other statements: %v, want CONFLICT", at.name, err)
			}
			if _, err := insert(at.name, at.term, "r2", "INSERT INTO t VALUES ('y', 1)"); faultKind(err) != rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED {
				t.Errorf("%s, cancelled: %v, want CANCELLED", at.name, err)
			}
		}
	})
}

// TestReads guards against a replica that serves data older than asked for.
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

// TestAge guards against an age below the truth: data of a replica that is cut
// off, and of one that follows a primary which a majority has left.
func TestAge(t *testing.T) {
	inCluster(t, func(c *cluster) {
		if status := c.get("b").Status(); !status.GetAgeKnown() || status.GetAgeMs() > 100 {
			t.Errorf("connected replica: %v, want an age of at most 100 ms", status)
		}
		c.get("b").SetControls(Controls{CutFrom: names, CutTo: names})
		time.Sleep(3 * time.Second)
		if age := c.get("b").Status().GetAgeMs(); age < 3000 {
			t.Errorf("replica that is cut off: age %d ms, want at least 3000 ms", age)
		}
		if err := c.promote("c", 2, "b", "c"); err != nil {
			t.Fatal(err)
		}
		c.get("c").SetControls(Controls{CutFrom: names, CutTo: names})
		c.get("b").SetControls(Controls{})
		time.Sleep(2 * time.Second)
		for _, name := range []string{"a", "b"} {
			if status := c.get(name).Status(); status.GetAgeKnown() && status.GetAgeMs() < 2000 {
				t.Errorf("%s, which the new term's majority has left: age %d ms", name, status.GetAgeMs())
			}
		}
	})
}

// TestSlotsAndConnections guards against limits that do not hold.
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
			t.Errorf("%d connections opened in %s", defaultConnections, opened)
		}
		_, err := callOnce(c.dial("a", "").OpenConnection, &rattanv1.OpenConnectionRequest{Daemon: "vm/1"})
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Errorf("one connection too many: %v", err)
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

// TestFaults guards against fault switches that do not do what they say.
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
				answer, err := callOnce(c.dial("a", "vm").RunStatements, &rattanv1.RunStatementsRequest{
					Connection: connection, Call: 7, Term: 1,
					Statements: []*rattanv1.Statement{{Text: "INSERT INTO t VALUES ('x', 1)"}},
				})
				if got := connect.CodeOf(err); err != nil && got != tc.code || err == nil && tc.code != 0 {
					t.Errorf("got %v, want code %v", err, tc.code)
				}
				if answer.GetCall() != tc.call {
					t.Errorf("answer to call %d, want %d", answer.GetCall(), tc.call)
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

// TestRecording guards against a recording that misses headers or bodies, which
// the proof that no key reaches an endpoint rests on.
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
