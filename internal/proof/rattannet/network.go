// Package rattannet is an in-memory network for tests in simulated time. Links
// between its named hosts can be partitioned in one or both directions.
package rattannet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Network connects hosts by address, "host:port". Data that is sent over a
// partitioned link is held and delivered after the link is healed, as if TCP had
// retransmitted it.
type Network struct {
	latency time.Duration

	mutex sync.Mutex
	// changed is closed and replaced at each change of a link.
	changed     chan struct{}
	listeners   map[string]*listener
	partitioned map[link]bool
	conns       map[*conn]struct{}
	killed      map[string]bool
}

// A link is one direction of the path between two hosts.
type link struct{ from, to string }

// New returns a Network without hosts. latency is the delay from a write until the
// data can be read at the other end.
func New(latency time.Duration) *Network {
	return &Network{
		latency:     latency,
		changed:     make(chan struct{}),
		listeners:   make(map[string]*listener),
		partitioned: make(map[link]bool),
		conns:       make(map[*conn]struct{}),
		killed:      make(map[string]bool),
	}
}

// Cut partitions the link from one host to another until Heal. Data sent over it
// is held.
func (n *Network) Cut(from, to string) { n.setPartitioned(link{from, to}, true) }

// Heal ends a partition that Cut began.
func (n *Network) Heal(from, to string) { n.setPartitioned(link{from, to}, false) }

func (n *Network) setPartitioned(l link, isPartitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if isPartitioned {
		n.partitioned[l] = true
	} else {
		delete(n.partitioned, l)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// linkState reports whether the link is partitioned, and returns a channel that is
// closed at the next change of any link.
func (n *Network) linkState(l link) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partitioned[l], n.changed
}

// Kill closes all connections of a host and refuses new ones until Revive, as if
// its processes had ended.
func (n *Network) Kill(host string) {
	n.mutex.Lock()
	n.killed[host] = true
	var reset []*conn
	for c := range n.conns {
		if c.local.host == host || c.remote.host == host {
			reset = append(reset, c)
		}
	}
	n.mutex.Unlock()
	for _, c := range reset {
		_ = c.Close()
	}
}

// Close closes all connections of all hosts.
func (n *Network) Close() {
	n.mutex.Lock()
	open := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		open = append(open, c)
	}
	n.mutex.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Revive lets a killed host connect and accept connections again.
func (n *Network) Revive(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.killed, host)
}

// Listen returns a listener on an address, "host:port".
func (n *Network) Listen(address string) (net.Listener, error) {
	parsed, err := parseAddress(address)
	if err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: parsed, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: parsed, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function for connections from a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

// dial opens a connection. The request and the response of the handshake each
// take one crossing of the network.
func (n *Network) dial(ctx context.Context, host, target string) (net.Conn, error) {
	remote, err := parseAddress(target)
	if err != nil {
		return nil, err
	}
	for _, direction := range []link{{host, remote.host}, {remote.host, host}} {
		if err := n.cross(ctx, direction); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: remote, Err: err}
		}
	}
	n.mutex.Lock()
	l, killed := n.listeners[target], n.killed[host] || n.killed[remote.host]
	n.mutex.Unlock()
	if l == nil || killed {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: remote, Err: syscall.ECONNREFUSED}
	}
	near, far := n.newConns(hostAddress{host, "0"}, remote)
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	_ = near.Close()
	return nil, &net.OpError{Op: "dial", Net: "memory", Addr: remote, Err: err}
}

// cross waits for as long as one packet takes over a link, which includes the time
// until a partition of the link is healed.
func (n *Network) cross(ctx context.Context, l link) error {
	for {
		cut, changed := n.linkState(l)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	select {
	case <-time.After(n.latency):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (n *Network) newConns(local, remote hostAddress) (near, far *conn) {
	outbound := newStream(n, link{local.host, remote.host})
	inbound := newStream(n, link{remote.host, local.host})
	near = &conn{network: n, local: local, remote: remote, in: inbound, out: outbound}
	far = &conn{network: n, local: remote, remote: local, in: outbound, out: inbound}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// A hostAddress is the net.Addr of an end of a connection in the network.
type hostAddress struct{ host, port string }

func parseAddress(address string) (hostAddress, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return hostAddress{}, errors.Wrapf(err, "parse address %q", address)
	}
	return hostAddress{host, port}, nil
}

// Network implements net.Addr.
func (hostAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a hostAddress) String() string { return net.JoinHostPort(a.host, a.port) }
