// Package rattansoak runs daemons as separate processes, injects faults from the
// outside, and checks the guarantees against what callers and endpoints observe.
package rattansoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// A LinkState determines how a link handles data.
type LinkState int

// The states of a link.
const (
	// Open forwards everything.
	Open LinkState = iota
	// Slow delays each chunk of data.
	Slow
	// Narrow lets narrowRate bytes pass in a second.
	Narrow
	// Silent accepts connections and forwards nothing.
	Silent
	// DropAnswers forwards requests and drops responses.
	DropAnswers
)

// slowDelay is the delay of each chunk on a slow link.
const slowDelay = 40 * time.Millisecond

// narrowRate is the capacity of a narrow link in bytes per second.
const narrowRate = 500_000

// A Link is a TCP proxy on the loopback interface between a daemon and a server, the
// store or an endpoint.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]struct{}
}

// NewLink returns a link to an address (host:port).
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the state of the link, also for open connections.
func (l *Link) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

// Reset closes all connections of the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(conn net.Conn) {
	defer conn.Close()
	l.add(conn)
	defer l.remove(conn)
	upstream, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	l.add(upstream)
	defer l.remove(upstream)
	var done sync.WaitGroup
	done.Go(func() { l.copy(upstream, conn, false) })
	done.Go(func() { l.copy(conn, upstream, true) })
	done.Wait()
}

func (l *Link) add(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
}

func (l *Link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// copy forwards the data of one direction. When one direction ends, both connections
// are closed.
func (l *Link) copy(to io.WriteCloser, from io.ReadCloser, isResponse bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.passes(n, isResponse) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes waits for the delay of the link, if any, and reports whether a chunk of n bytes is
// forwarded.
func (l *Link) passes(n int, isResponse bool) bool {
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	switch state {
	case Slow:
		time.Sleep(slowDelay)
		return true
	case Narrow:
		time.Sleep(time.Duration(n) * time.Second / narrowRate)
		return true
	case Silent:
		return false
	case DropAnswers:
		return !isResponse
	default:
		return true
	}
}
