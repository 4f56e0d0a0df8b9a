package rattancmd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

// proxyKey is the callers' key of a proxy that a script runs.
const proxyKey = "script-key"

// proxyTemplate is the settings of the proxy: the addresses for callers, readiness and
// peers, and that of the store.
const proxyTemplate = `[proxy]
vm = vm-1
failure_domain = a
caller_address = %s
readiness_address = %s
peer_address = %s
store_address = %s
duty_address = %[4]s
stop_timeout = 6s
`

// cmdProxyFleet runs the stand-ins of the store and of one endpoint in the test's process,
// writes proxy.ini, the settings of a proxy in front of them, and sets $PROXY to its
// address for callers.
func cmdProxyFleet(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: proxyfleet")
	}
	group := rattanlineserver.NewGroup("orders", 0)
	store := rattankvserver.New(func(_, id string) bool { return group.Promote(id) })
	endpoint, err := group.Add("e1", 40)
	ts.Check(err)
	ts.Defer(endpoint.Crash)
	ts.Check(store.Put("servers/e1", endpoint.Entry("a", "ready")))
	config := platformtest.Config{
		Version: 1, Account: "script", Keys: []string{proxyKey}, Rate: 1000, Connections: 40,
		Timeout: time.Second, Objective: time.Second, Staleness: time.Second,
	}
	ts.Check(store.Put(platformtest.ConfigKey, config.Entry()))
	server := httptest.NewServer(store)
	ts.Defer(func() {
		server.CloseClientConnections()
		server.Close()
	})
	block, err := newAddressBlock()
	ts.Check(err)
	ts.Defer(func() { _ = block.reservation.Close() })
	addresses, err := block.newMachine(3)
	ts.Check(err)
	text := fmt.Sprintf(proxyTemplate, addresses[0], addresses[1], addresses[2], strings.TrimPrefix(server.URL, "http://"))
	ts.Check(os.WriteFile(ts.MkAbs("proxy.ini"), []byte(text), 0o600))
	ts.Setenv("PROXY", addresses[0])
}

// proxySessions holds the session of each script: *testscript.TestScript to net.Conn.
var proxySessions sync.Map

// cmdQuery runs a statement at the proxy and prints the lines of the answer. All
// statements of a script use one session, until it ends without an answer.
func cmdQuery(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: query STATEMENT")
	}
	answer, err := query(ts, args[0])
	fmt.Fprintln(ts.Stdout(), answer)
	ts.Check(err)
}

// query returns the answer to a statement.
func query(ts *testscript.TestScript, statement string) (string, error) {
	conn, err := openProxySession(ts)
	if err != nil {
		return "", err
	}
	answer, err := exchange(conn, "QUERY id "+statement)
	if err != nil {
		proxySessions.Delete(ts)
		_ = conn.Close()
	}
	return answer, err
}

// openProxySession returns the session of a script, and opens it before its first use.
func openProxySession(ts *testscript.TestScript) (net.Conn, error) {
	if open, ok := proxySessions.Load(ts); ok {
		return open.(net.Conn), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", ts.Getenv("PROXY"))
	if err != nil {
		return nil, err
	}
	if _, err := exchange(conn, "START checkout "+proxyKey); err != nil {
		_ = conn.Close()
		return nil, err
	}
	proxySessions.Store(ts, conn)
	ts.Defer(func() { _ = conn.Close() })
	return conn, nil
}

// exchange sends a message and returns the lines of the answer. It is an error if the
// answer is not whole or refuses the message.
func exchange(conn net.Conn, message string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "%s\r\n", message); err != nil {
		return "", err
	}
	var answer strings.Builder
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return answer.String(), err
		}
		if !strings.HasPrefix(line, "READY ") {
			answer.WriteString(line)
			continue
		}
		if strings.Contains(answer.String(), "ERROR ") {
			return answer.String(), errors.New(answer.String())
		}
		return answer.String(), nil
	}
}
