package rattancapacity

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// A trafficCounter is a rattancluster.Network of TCP on loopback addresses. It counts
// bytes on the dialling side, by the machine that dials and the port that it dials.
type trafficCounter struct {
	mutex sync.Mutex
	bytes map[flow]*atomic.Uint64
}

var _ rattancluster.Network = (*trafficCounter)(nil)

// A flow is all connections of one machine to a port on any other machine.
type flow struct {
	host string
	port int
}

// Ports that rattancluster uses on every machine of a cluster.
const (
	peerPort    = 7301
	standinPort = 7001
)

func newTrafficCounter() *trafficCounter {
	return &trafficCounter{bytes: make(map[flow]*atomic.Uint64)}
}

// Listen implements rattancluster.Network.
func (t *trafficCounter) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dialer implements rattancluster.Network. Connections come from the machine's own
// address, so that the stand-ins can tell the senders apart.
func (t *trafficCounter) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		return &countedConn{Conn: conn, bytes: t.counter(flow{host, number})}, nil
	}
}

func (t *trafficCounter) counter(f flow) *atomic.Uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.bytes[f] == nil {
		t.bytes[f] = new(atomic.Uint64)
	}
	return t.bytes[f]
}

// total returns the bytes of TCP payload that passed in both directions on the
// connections of hosts to a port.
func (t *trafficCounter) total(hosts []string, port int) uint64 {
	var total uint64
	for _, host := range hosts {
		total += t.counter(flow{host, port}).Load()
	}
	return total
}

// A countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}
