package rattanproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
)

// A brokenConn panics on statements that contain "boom".
type brokenConn struct {
	rattanproxy.CallerConn
}

func (c brokenConn) ReadStatement() (rattanstatement.Statement, error) {
	statement, err := c.CallerConn.ReadStatement()
	if strings.Contains(statement.Text, "boom") {
		panic("unexpected statement")
	}
	return statement, err
}

// TestPanicInSession guards against an unexpected error in one session that ends the
// daemon with all others.
func TestPanicInSession(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.platform = func(address string) rattanproxy.Platform {
		platform := rattanplatform.New(address, address)
		caller := platform.Caller
		platform.Caller = func(conn net.Conn) rattanproxy.CallerConn { return brokenConn{caller(conn)} }
		return platform
	}
	daemon := f.start("vm-1", "a")
	other := f.dial(daemon, "checkout", testKey)
	other.retryUntilOK("WRITE i1 first", waitBound)
	broken := f.dial(daemon, "checkout", testKey)
	if _, err := fmt.Fprintf(broken.conn, "QUERY id1 READ boom\r\n"); err != nil {
		t.Fatal(err)
	}
	broken.reader = bufio.NewReader(broken.conn)
	broken.assertClosed()
	assertContains(t, other.query("READ i1"), "ROW first")
	// The session is closed before its panic is logged.
	for start := time.Now(); !strings.Contains(daemon.log.String(), `"msg":"panic"`); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > waitBound {
			t.Fatal("the panic is not in the log")
		}
	}
}
