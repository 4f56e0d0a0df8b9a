package rattansoak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// TestStopsBefore guards against a check of the answers that excuses what the rule does not,
// or reports what it excuses (LOST).
func TestStopsBefore(t *testing.T) {
	at := time.Unix(1000, 0)
	const never = time.Hour
	for _, test := range []struct {
		name                    string
		sent, ended             time.Duration
		troubleBegin, troubleTo time.Duration
		want                    int
	}{
		{"during a stop", time.Second, 1100 * time.Millisecond, never, never, 1},
		{"sent before the stop", -500 * time.Millisecond, 100 * time.Millisecond, never, never, 1},
		{"after the restart", 6800 * time.Millisecond, 6900 * time.Millisecond, never, never, 1},
		{"long after the stop", 7 * time.Second, 7100 * time.Millisecond, never, never, 0},
		{"before the stop", -200 * time.Millisecond, -100 * time.Millisecond, never, never, 0},
		{"until the timeout of the route", time.Second, 2 * time.Second, never, never, 0},
		{"trouble in progress", time.Second, 1100 * time.Millisecond, 0, never, 0},
		{"trouble shortly before", time.Second, 1100 * time.Millisecond, -9 * time.Second, -2900 * time.Millisecond, 0},
		{"trouble long before", time.Second, 1100 * time.Millisecond, -9 * time.Second, -3100 * time.Millisecond, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := &journal{stops: map[string][]time.Time{"vm-1": {at}}, troubles: []interval{{start: at.Add(test.troubleBegin), end: at.Add(test.troubleTo)}}}
			for daemon, want := range map[string]int{"vm-1": test.want, "vm-2": 0} {
				if got := len(j.stopsBefore(exchange{daemon: daemon, sent: at.Add(test.sent), ended: at.Add(test.ended)})); got != want {
					t.Errorf("%s: %d stops, want %d", daemon, got, want)
				}
			}
		})
	}
}

// startCuttingDaemon starts a stand-in for a daemon that closes its session a time after the
// first statement, and returns its address.
func startCuttingDaemon(t *testing.T, hold time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, "READY I -\r\n")
		_, _ = reader.ReadString('\n')
		time.Sleep(hold)
	}()
	return listener.Addr().String()
}

// TestCheckFindsMissingAnswers guards against a soak that does not notice statements without
// an answer (LOST).
func TestCheckFindsMissingAnswers(t *testing.T) {
	for _, test := range []struct {
		name       string
		hasReached bool
		hold       time.Duration
		want       int
	}{
		{name: "passed on", hasReached: true, want: 1},
		{name: "held for long", hold: lossSlack + 50*time.Millisecond, want: 1},
		{name: "closed at once"},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := &Fleet{group: rattanlineserver.NewGroup("orders", replicationLag)}
			endpoint, err := fleet.group.Add("e1", 10)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(endpoint.Crash)
			if test.hasReached {
				direct := &client{fleet: fleet, daemon: &Daemon{name: "e1", callers: endpoint.Address()}, database: "orders"}
				if _, err := direct.query("id", "READ item"); err != nil {
					t.Fatal(err)
				}
			}
			fleet.journal.recordStop("vm-1")
			c := &client{fleet: fleet, daemon: &Daemon{name: "vm-1", callers: startCuttingDaemon(t, test.hold)}, database: "checkout"}
			if _, err := c.query("id", "READ item"); err == nil {
				t.Error("the statement was answered")
			}
			r := &run{fleet: fleet}
			r.checkAnswers()
			assertViolations(t, r, "no whole answer", test.want)
		})
	}
}

// TestCheckFindsEndedProcesses guards against a soak that does not notice daemons which end by
// themselves, or with statements in progress.
func TestCheckFindsEndedProcesses(t *testing.T) {
	fleet := &Fleet{program: "true"}
	d := &Daemon{name: "vm-1", fleet: fleet}
	fleet.daemons = []*Daemon{d}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	<-d.ended
	r := &run{fleet: fleet}
	fmt.Fprintf(&d.log, "{\"time\":%q,\"msg\":\"statement_cut\",\"id\":\"a\"}\n", time.Now().Format(time.RFC3339Nano))
	r.checkProcesses()
	assertViolations(t, r, selfEnd, 1)
	assertViolations(t, r, "statement_cut", 1)
}

func assertViolations(t *testing.T, r *run, text string, want int) {
	t.Helper()
	if got := strings.Count(strings.Join(r.result.Violations, "\n"), text); got != want {
		t.Errorf("%d violations with %q, want %d: %q", got, text, want, r.result.Violations)
	}
}
