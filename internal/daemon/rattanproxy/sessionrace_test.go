package rattanproxy

import (
	"net"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/platform"
)

// endTime is long enough for a session to be told to end.
const endTime = 20 * time.Millisecond

// An endingConn is a caller's connection whose session is told to end at the moment in which
// it has set the deadline for a message that has arrived.
type endingConn struct {
	CallerConn
	end        func()
	hasArrived bool
}

// AwaitMessage waits for the end of the session, if that has been called, before the message.
func (c *endingConn) AwaitMessage() error {
	time.Sleep(endTime)
	return c.CallerConn.AwaitMessage()
}

func (c *endingConn) HasArrived() bool {
	c.hasArrived = c.CallerConn.HasArrived()
	return c.hasArrived
}

func (c *endingConn) SetReadDeadline(t time.Time) error {
	err := c.CallerConn.SetReadDeadline(t)
	if c.hasArrived {
		c.hasArrived = false
		// The session may hold its lock until this returns, so that the end comes after it.
		go c.end()
	}
	return err
}

// TestEndKeepsArrivedMessage guards against a statement that has arrived and is dropped
// because the stop, which ends each session again and again, interrupts its read.
func TestEndKeepsArrivedMessage(t *testing.T) {
	listener := testListener(t)
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := &endingConn{CallerConn: platform.NewCallerConn(accepted)}
	s := &session{proxy: &Proxy{clock: rattanclock.System()}, conn: conn}
	conn.end = s.end
	if _, err := caller.Write([]byte("QUERY id1 READ i1\r\n")); err != nil {
		t.Fatal(err)
	}
	for !conn.CallerConn.HasArrived() {
		time.Sleep(time.Millisecond)
	}
	s.end()
	statement, err := s.readStatement()
	if err != nil || statement.ID != "id1" {
		t.Errorf("the statement that has arrived is dropped: %v", err)
	}
}
