package rattanlink

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// A clientSession is the session to an address.
type clientSession struct {
	*yamux.Session
	conn *goodbyeConn
}

// hasNotHandled reports whether err, the error of a call, says that the server has
// certainly not handled the request: it has said goodbye and has not responded.
func (s *clientSession) hasNotHandled(err error) bool {
	return errors.Is(err, io.EOF) && s.conn.hasEnded.Load()
}

// isSessionOver reports whether the error of a write says that the session is over or will
// be at once.
func isSessionOver(err error) bool {
	var connErr *net.OpError
	return errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, net.ErrClosed) || errors.As(err, &connErr)
}

// goodbyeConn is the connection under a client's session. It ends the session after the
// server's goodbye: yamux has then handled all responses before it.
type goodbyeConn struct {
	net.Conn
	hasEnded atomic.Bool
	// header holds the first read bytes of a yamux header, body is how many bytes of the
	// body are still to be read.
	header []byte
	body   int
}

// Read returns io.EOF after the goodbye.
func (c *goodbyeConn) Read(p []byte) (int, error) {
	if c.hasEnded.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	return n, err
}

// scan looks for the goodbye among the next bytes of the connection.
func (c *goodbyeConn) scan(p []byte) {
	for len(p) > 0 {
		if c.body > 0 {
			skipped := min(c.body, len(p))
			c.body -= skipped
			p = p[skipped:]
			continue
		}
		taken := min(headerBytes-len(c.header), len(p))
		c.header = append(c.header, p[:taken]...)
		p = p[taken:]
		if len(c.header) == headerBytes {
			c.scanHeader()
			c.header = c.header[:0]
		}
	}
}

// scanHeader looks at a whole header. One that opens a stream is the goodbye.
func (c *goodbyeConn) scanHeader() {
	kind, flags := c.header[1], binary.BigEndian.Uint16(c.header[2:])
	if kind == typeData {
		c.body = int(binary.BigEndian.Uint32(c.header[8:]))
	}
	if (kind == typeData || kind == typeWindowUpdate) && flags&flagSYN != 0 {
		c.hasEnded.Store(true)
	}
}
