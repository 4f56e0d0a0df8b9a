// Package rattannet is a small network in memory for tests in simulated time:
// connections between named hosts that can be cut, one way or both ways.
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
// cut link is held and arrives after the link is healed, as TCP would
// retransmit it.
type Network struct {
	latency time.Duration

	mutex     sync.Mutex
	changed   chan struct{}
	listeners map[string]*listener
	cuts      map[link]bool
	conns     map[*conn]struct{}
	down      map[string]bool
}

// A link is one direction between two hosts.
type link struct{ from, to string }

// New returns a Network without hosts. latency is the time from a write to the
// read on the other side.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		changed:   make(chan struct{}),
		listeners: make(map[string]*listener),
		cuts:      make(map[link]bool),
		conns:     make(map[*conn]struct{}),
		down:      make(map[string]bool),
	}
}

// Cut drops what from sends to to, until Heal.
func (n *Network) Cut(from, to string) { n.set(link{from, to}, true) }

// Heal ends a cut.
func (n *Network) Heal(from, to string) { n.set(link{from, to}, false) }

func (n *Network) set(l link, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if cut {
		n.cuts[l] = true
	} else {
		delete(n.cuts, l)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns whether the link is cut and a channel that is closed at the
// next change of any link.
func (n *Network) state(l link) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[l], n.changed
}

// Kill ends all connections of a host and refuses new ones until Revive, as the
// end of its processes does.
func (n *Network) Kill(host string) {
	n.mutex.Lock()
	n.down[host] = true
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

// Revive ends Kill.
func (n *Network) Revive(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.down, host)
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

// Dialer returns the dial function of a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

// dial opens a connection. The request and its answer each cross the network.
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
	l, down := n.listeners[target], n.down[host] || n.down[remote.host]
	n.mutex.Unlock()
	if l == nil || down {
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

// cross waits until one packet has passed a link.
func (n *Network) cross(ctx context.Context, l link) error {
	for {
		cut, changed := n.state(l)
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
	forth := newStream(n, link{local.host, remote.host})
	back := newStream(n, link{remote.host, local.host})
	near = &conn{network: n, local: local, remote: remote, in: back, out: forth}
	far = &conn{network: n, local: remote, remote: local, in: forth, out: back}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// A hostAddress is an address in the network.
type hostAddress struct{ host, port string }

func parseAddress(address string) (hostAddress, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return hostAddress{}, errors.Wrapf(err, "address %q", address)
	}
	return hostAddress{host, port}, nil
}

// Network implements net.Addr.
func (hostAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a hostAddress) String() string { return net.JoinHostPort(a.host, a.port) }
