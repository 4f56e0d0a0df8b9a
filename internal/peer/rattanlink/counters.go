package rattanlink

import (
	"net"
	"sync/atomic"
)

// Counters are totals since the start of a Client or Server.
type Counters struct {
	// BytesSent and BytesReceived count the bytes written to and read from the
	// TCP connections: with TLS and yamux overhead, without TCP and IP headers.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Calls and Failed count a Client's calls and those that returned an error.
	// For a Server they count the requests read, and those that could not be
	// read, handled or answered.
	Calls  uint64 `json:"calls"`
	Failed uint64 `json:"failed"`
	// Sessions is the number of sessions open now.
	Sessions int64 `json:"sessions"`
}

type counters struct {
	sent, received, calls, failed atomic.Uint64
	sessions                      atomic.Int64
}

func (c *counters) read() Counters {
	return Counters{
		BytesSent:     c.sent.Load(),
		BytesReceived: c.received.Load(),
		Calls:         c.calls.Load(),
		Failed:        c.failed.Load(),
		Sessions:      c.sessions.Load(),
	}
}

// countingConn counts the bytes that pass a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Add(uint64(n))
	return n, err
}
