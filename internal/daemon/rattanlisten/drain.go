package rattanlisten

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainInterval is the time between two looks at the open connections of a
	// server that stops.
	drainInterval = 50 * time.Millisecond
	// quietLooks is the number of looks in a row without a use after which a
	// connection is closed. Until then, its client may send one more request and
	// learns from the response that the connection closes.
	quietLooks = 10
)

// connKey is the key of the *trackedConn in the context of a request.
type connKey struct{}

// A connTracker knows the open connections of a server and which of them are in use.
// Unlike http.Server.Shutdown, it closes no connection on which a request was read
// that has no response yet.
type connTracker struct {
	net.Listener

	mutex sync.Mutex
	open  map[*trackedConn]struct{}
	// draining is true once the server no longer accepts connections.
	draining bool
}

func newConnTracker(listener net.Listener) *connTracker {
	return &connTracker{Listener: listener, open: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (t *connTracker) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, tracker: t}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.open[tracked] = struct{}{}
	return tracked, nil
}

func (t *connTracker) remove(conn *trackedConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, conn)
}

func (t *connTracker) connections() []*trackedConn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	connections := make([]*trackedConn, 0, len(t.open))
	for conn := range t.open {
		connections = append(connections, conn)
	}
	return connections
}

func (t *connTracker) isDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// stopAccepting closes the listener and begins to end the open connections.
func (t *connTracker) stopAccepting() {
	t.mutex.Lock()
	t.draining = true
	t.mutex.Unlock()
	_ = t.Close() // an error means that the listener is closed already
}

// drain closes each open connection when it is quiet. It returns when none is open or
// ctx has ended.
func (t *connTracker) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		connections := t.connections()
		if len(connections) == 0 {
			return
		}
		for _, conn := range connections {
			conn.look()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// connContext adds the connection to the context of its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// track marks the connection of each request as in use until handler returns. While
// the server drains, the response asks the client to close the connection, which
// HTTP/2 sends as GOAWAY.
func (t *connTracker) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
			conn.begin()
			defer conn.end()
		}
		if t.isDraining() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// A trackedConn is an open connection of a server.
type trackedConn struct {
	net.Conn
	tracker *connTracker

	mutex sync.Mutex
	// running is the number of requests and writes in progress.
	running int
	// used is true when a request, read or write has ended since the last look.
	used bool
	// quiet is the number of looks in a row without a use.
	quiet  int
	closed bool
}

// Read implements net.Conn. It returns no bytes once the connection is closed, so that
// no request is handled that cannot be answered.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.used = c.used || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.begin()
	defer c.end()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *trackedConn) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running++
}

func (c *trackedConn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running--
	c.used = true
}

// look closes the connection when it has been quiet for quietLooks looks.
func (c *trackedConn) look() {
	if c.isQuiet() {
		_ = c.Close() // nothing is left to send, so an error does not matter
	}
}

func (c *trackedConn) isQuiet() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running > 0 || c.used {
		c.quiet = 0
	} else {
		c.quiet++
	}
	c.used = false
	c.closed = c.closed || c.quiet > quietLooks
	return c.closed
}
