package rattanlink

import (
	"bytes"
	"encoding/binary"
	"net"
	"slices"
)

// Layout of a yamux header: version, type, flags, stream, length.
const (
	headerBytes      = 12
	typeData         = 0
	typeWindowUpdate = 1
	flagSYN          = 1
)

// joinConn joins a yamux header and the write that follows it into one write.
// yamux writes a header and its body separately, and a call writes its request
// right after it has opened a stream; each separate write costs 22 bytes for
// another TLS record, and a TCP segment. The header that only opens a stream is left
// out: the header of the stream's first data opens it instead.
// yamux writes from one goroutine, so held needs no mutex.
type joinConn struct {
	net.Conn
	// held are the headers that wait for the next write.
	held []byte
	// body is true when the next write is the body of a held header.
	body bool
}

// Write holds p back if it is a header after which yamux writes again at once.
// Otherwise it writes what it has held back and p together.
func (c *joinConn) Write(p []byte) (int, error) {
	if !c.body && len(p) == headerBytes && hasNextWrite(p) {
		c.hold(p)
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

// hold holds a header back. If it is that of the first data of a stream whose opening is
// held back, it opens the stream in its place.
func (c *joinConn) hold(p []byte) {
	c.body = p[1] == typeData
	header := bytes.Clone(p)
	if at := c.opening(p); c.body && at >= 0 {
		c.held = slices.Delete(c.held, at, at+headerBytes)
		binary.BigEndian.PutUint16(header[2:], binary.BigEndian.Uint16(header[2:])|flagSYN)
	}
	c.held = append(c.held, header...)
}

// opening returns the index in held of the header that opens the stream of another
// header and does nothing else, or -1.
func (c *joinConn) opening(p []byte) int {
	for at := 0; at+headerBytes <= len(c.held); at += headerBytes {
		header := c.held[at : at+headerBytes]
		isOpening := header[1] == typeWindowUpdate && binary.BigEndian.Uint16(header[2:]) == flagSYN && binary.BigEndian.Uint32(header[8:]) == 0
		if isOpening && bytes.Equal(header[4:8], p[4:8]) {
			return at
		}
	}
	return -1
}

// hasNextWrite reports whether another write follows header at once: it belongs to
// data with a body, or opens a stream. The acknowledgement of a stream must not be
// held back: the side that opened the stream waits for it while the handler runs.
func hasNextWrite(header []byte) bool {
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
