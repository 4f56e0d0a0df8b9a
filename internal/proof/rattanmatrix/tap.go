package rattanmatrix

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"path"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An exchange is one call to a stand-in as captured on its connection.
type exchange struct {
	// host is the address of the stand-in without its port.
	host       string
	begin, end time.Time
	procedure  string
	request    proto.Message
	// response is nil if the call failed or had no response.
	response proto.Message
	// received is the whole request as received, so that a key in a header is found.
	received []byte
}

// A tap is a network that captures the calls to the stand-ins and their responses.
type tap struct {
	rattancluster.Network

	mutex     sync.Mutex
	conns     map[*tapConn]struct{}
	exchanges []exchange
}

func newTap(network rattancluster.Network) *tap {
	return &tap{Network: network, conns: make(map[*tapConn]struct{})}
}

// Listen implements rattancluster.Network.
func (t *tap) Listen(address string) (net.Listener, error) {
	listener, err := t.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	// Only connections to the stand-ins are captured.
	const serverPort = "7001"
	host, port, _ := net.SplitHostPort(address)
	if port != serverPort {
		return listener, nil
	}
	return &tapListener{Listener: listener, tap: t, host: host}, nil
}

// collect returns all exchanges, including those on open connections.
func (t *tap) collect() []exchange {
	t.mutex.Lock()
	open := make([]*tapConn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mutex.Unlock()
	for _, c := range open {
		c.mutex.Lock()
		c.finish()
		c.mutex.Unlock()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.exchanges
}

type tapListener struct {
	net.Listener
	tap  *tap
	host string
}

// Accept implements net.Listener.
func (l *tapListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &tapConn{Conn: conn, tap: l.tap, host: l.host}
	l.tap.mutex.Lock()
	defer l.tap.mutex.Unlock()
	l.tap.conns[c] = struct{}{}
	return c, nil
}

// A tapConn is the server's end of an HTTP/1.1 connection. Requests are not pipelined,
// so data that is read after a write belongs to the next request.
type tapConn struct {
	net.Conn
	tap  *tap
	host string

	mutex      sync.Mutex
	in, out    []byte
	begin, end time.Time
}

// Read implements net.Conn.
func (c *tapConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n > 0 && len(c.out) > 0 {
		c.finish()
	}
	if n > 0 && len(c.in) == 0 {
		c.begin = time.Now()
	}
	c.in = append(c.in, p[:n]...)
	return n, err
}

// Write implements net.Conn.
func (c *tapConn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	c.out = append(c.out, p...)
	c.end = time.Now()
	c.mutex.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *tapConn) Close() error {
	c.mutex.Lock()
	c.finish()
	c.mutex.Unlock()
	c.tap.mutex.Lock()
	delete(c.tap.conns, c)
	c.tap.mutex.Unlock()
	return c.Conn.Close()
}

// finish parses the captured data and adds the exchange to the tap. The caller holds
// c.mutex.
func (c *tapConn) finish() {
	e, ok := parseExchange(c.in, c.out)
	e.host, e.begin, e.end = c.host, c.begin, c.end
	c.in, c.out = c.in[:0], c.out[:0]
	if !ok {
		return
	}
	c.tap.mutex.Lock()
	defer c.tap.mutex.Unlock()
	c.tap.exchanges = append(c.tap.exchanges, e)
}

// parseExchange parses a call from the captured data. It returns false if the request
// is incomplete or its procedure is not needed for the trace.
func parseExchange(in, out []byte) (exchange, bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
	if err != nil {
		return exchange{}, false
	}
	e := exchange{procedure: path.Base(request.URL.Path)}
	var response proto.Message
	switch e.procedure {
	case "RunStatements":
		e.request, response = &rattanv1.RunStatementsRequest{}, &rattanv1.RunStatementsResponse{}
	case "FindOutcome":
		e.request, response = &rattanv1.FindOutcomeRequest{}, &rattanv1.FindOutcomeResponse{}
	case "Promote":
		e.request, response = &rattanv1.PromoteRequest{}, &rattanv1.PromoteResponse{}
	default:
		return exchange{}, false
	}
	if !readMessage(request.Body, request.Header, e.request) {
		return exchange{}, false
	}
	e.received = bytes.Clone(in)
	reply, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(out)), request)
	if err == nil && reply.StatusCode == http.StatusOK && readMessage(reply.Body, reply.Header, response) {
		e.response = response
	}
	return e, true
}

// readMessage reads the message of a unary call and reports whether it is valid.
func readMessage(body io.Reader, header http.Header, message proto.Message) bool {
	if header.Get("Content-Encoding") == "gzip" {
		unzipped, err := gzip.NewReader(body)
		if err != nil {
			return false
		}
		body = unzipped
	}
	data, err := io.ReadAll(body)
	return err == nil && proto.Unmarshal(data, message) == nil
}
