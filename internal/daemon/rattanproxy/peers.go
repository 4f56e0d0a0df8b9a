package rattanproxy

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
)

// newPeerServer returns the server for the requests of other daemons.
func (p *Proxy) newPeerServer() *rattanlink.Server {
	server := rattanlink.NewServer(rattanlink.WithPanicHandler(func(err *rattanlink.PanicError) {
		p.logPanic("peer "+err.Kind.String(), err.Cause, err.Stack)
	}))
	server.Handle(rattanlink.KindToken, p.admission.handleTokens)
	server.Handle(rattanlink.KindWork, p.forwarded.handle)
	server.Handle(rattanlink.KindKnowledge, p.relay.handleKnowledge)
	server.Handle(rattanlink.KindStoreWatch, p.follower.handleWatch)
	server.Handle(rattanlink.KindStop, p.relay.handleStop)
	server.Handle(rattanlink.KindPromise, p.extension.handleGrantExtension)
	if p.usage != nil {
		server.Handle(rattanlink.KindUsage, p.usage.handle)
	}
	return server
}

// servePeers handles the requests of other daemons.
func (p *Proxy) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	err = p.peerServer.Serve(ctx, listener)
	switch {
	case ctx.Err() != nil:
		return nil
	case errors.Is(err, rattanlink.ErrClosed):
		return suture.ErrDoNotRestart
	default:
		return errors.Wrap(err, "serve peers")
	}
}

// endForwardedWork takes no more statements of other daemons and waits for those in
// progress. Other daemons learn of each statement that arrives later that it has not run.
// After it, no statement of another daemon is sent to an endpoint, unless ctx has ended before.
func (p *Proxy) endForwardedWork(ctx context.Context) error {
	p.forwarded.beginClosing()
	return errors.Wrap(p.forwarded.wait(ctx), "statements of other daemons in progress")
}

// endPeerServer answers the requests of other daemons that are in progress and takes no more.
// It comes after the unregistration: until then other daemons rely on this one for their
// tokens and for the changes of the store.
func (p *Proxy) endPeerServer(ctx context.Context) error {
	p.follower.endWatches()
	return errors.Wrap(p.peerServer.Shutdown(ctx), "shut the server for other daemons down")
}

// dialPeer connects to another daemon. The kernel closes a connection whose peer
// does not answer keep-alive probes, so that a session does not long outlive its
// network path.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: peerKeepAlive, Interval: peerKeepAlive, Count: 2,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

const (
	// peerDialTimeout limits the connection attempt to another daemon.
	peerDialTimeout = 300 * time.Millisecond
	// peerKeepAlive is after how long without traffic a connection is probed.
	peerKeepAlive = 1 * time.Second
	// peerBackoff is the longest pause between attempts to reach another daemon,
	// so that the daemons on both sides of a partition reconnect soon after it has
	// healed.
	peerBackoff = 400 * time.Millisecond
	// peerAckTimeout is how long another daemon may leave a new stream
	// unacknowledged before a new connection is tried. After a partition the
	// kernel retransmits lost data only after about as long as the partition has
	// lasted.
	peerAckTimeout = 2 * time.Second
)
