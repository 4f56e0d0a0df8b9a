package rattandaemon

import (
	"context"
	"net"

	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A PeerClient calls other daemons; a *rattanlink.Client is one.
type PeerClient interface {
	Call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error)
	Counters() rattanlink.Counters
	Close() error
}

// A PeerServer handles the calls of other daemons; a *rattanlink.Server is one.
type PeerServer interface {
	Handle(kind rattanlink.Kind, handler rattanlink.Handler)
	Serve(ctx context.Context, listener net.Listener) error
	Counters() rattanlink.Counters
}

// WithPeerLink replaces the links between daemons, for tests in simulated time.
func WithPeerLink(client PeerClient, server PeerServer) Option {
	return func(o *options) { o.peerClient, o.peerServer = client, server }
}

// A Network opens listeners and connections.
type Network interface {
	// Listen returns a listener on an address, "host:port".
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp is the Network that uses the operating system's TCP.
type tcp struct{ net.Dialer }

// Listen implements Network.
func (*tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// WithNetwork replaces TCP, for tests in simulated time.
func WithNetwork(network Network) Option {
	return func(o *options) { o.network = network }
}
