package rattanproxy

import (
	"net"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/platform"
)

// shortIdleTime is the idle limit of an impatientConn.
const shortIdleTime = 30 * time.Millisecond

// An impatientConn is a caller's connection whose read deadlines come soon.
type impatientConn struct{ CallerConn }

func (c impatientConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		t = time.Now().Add(shortIdleTime)
	}
	return c.CallerConn.SetReadDeadline(t)
}

// newImpatientSession returns a session with an open transaction, and the caller's end of its
// connection.
func newImpatientSession(t *testing.T) (*session, net.Conn) {
	t.Helper()
	listener := testListener(t)
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	p := newIdleProxy(t, "vm-1")
	p.platform.IsTerminated = func(error) bool { return false }
	p.platform.ParseCallerError = func(error) (ProtocolError, bool) { return ProtocolError{}, false }
	s := &session{proxy: p, conn: impatientConn{platform.NewCallerConn(accepted)}, stateMachine: rattanstatemachine.New()}
	s.transaction = p.dispatch.Begin(rattancatalog.Route{}, false)
	s.stateMachine.TransactionBegun()
	return s, caller
}

// TestCutMessageEndsSession guards against the rest of a message that counts as a message of
// its own after the idle limit of the transaction came in the middle of it (UNASKED, MIXED).
func TestCutMessageEndsSession(t *testing.T) {
	for _, test := range []struct {
		name, before string
		isOver       bool
	}{
		{"in a message", "QUERY id1 WRITE i1 a ", true},
		{"between messages", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, caller := newImpatientSession(t)
			if _, err := caller.Write([]byte(test.before)); err != nil {
				t.Fatal(err)
			}
			_, err := s.readStatement()
			if err == nil {
				t.Fatal("a message that is not whole is read")
			}
			if isOver := !s.handleReadError(err); isOver != test.isOver {
				t.Errorf("the session is over: %t, want %t", isOver, test.isOver)
			}
			if test.isOver {
				return
			}
			if _, err := caller.Write([]byte("QUERY z9 ROLLBACK\r\n")); err != nil {
				t.Fatal(err)
			}
			if statement, err := s.readStatement(); err != nil || statement.ID != "z9" {
				t.Errorf("got %+v, %v, want the next statement", statement, err)
			}
		})
	}
}
