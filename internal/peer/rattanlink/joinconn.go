package rattanlink

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux header: version, type, flags, stream, length.
const (
	headerBytes      = 12
	typeData         = 0
	typeWindowUpdate = 1
	flagSYN          = 1
)

// joinConn sends a yamux header together with the write that follows it. yamux
// writes a header and its body one after the other, and a call writes its
// request right after it has opened a stream; each write of its own costs a TLS
// record of 22 bytes more and a TCP segment. The order of the bytes stays as it
// is. yamux writes from one goroutine, so held needs no lock.
type joinConn struct {
	net.Conn
	held []byte
	// body is true when the next write is the body of a held header.
	body bool
}

// Write holds p back when the next write follows at once.
func (c *joinConn) Write(p []byte) (int, error) {
	if !c.body && len(p) == headerBytes && followed(p) {
		c.held = append(c.held, p...)
		c.body = p[1] == typeData
		return len(p), nil
	}
	c.body = false
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	joined := append(c.held, p...)
	c.held = joined[:0]
	if _, err := c.Conn.Write(joined); err != nil {
		return 0, err
	}
	return len(p), nil
}

// followed reports whether header is of data that has a body, or opens a
// stream. An acknowledgement of a stream is not held: its opener waits for it
// while the handler runs.
func followed(header []byte) bool {
	flags := binary.BigEndian.Uint16(header[2:])
	switch header[1] {
	case typeData:
		return binary.BigEndian.Uint32(header[8:]) > 0
	case typeWindowUpdate:
		return flags&flagSYN != 0
	default:
		return false
	}
}
