package rattannet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A LinkClient calls other daemons with one connection for each call. It stands
// in for rattanlink.Client, since yamux keeps timers in a pool of the process,
// which simulated time does not allow.
type LinkClient struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewLinkClient returns a LinkClient that dials with dial.
func NewLinkClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *LinkClient {
	return &LinkClient{dial: dial}
}

// Call sends a frame and returns the answer.
func (c *LinkClient) Call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, rattanlink.DefaultCallTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, rattanlink.DefaultDialTimeout)
	defer cancelDial()
	conn, err := c.dial(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := rattanlink.WriteFrame(conn, frame, rattanlink.DefaultMaxFrameBytes); err != nil {
		return nil, err
	}
	answer, err := rattanlink.ReadFrame(conn, rattanlink.DefaultMaxFrameBytes)
	if err != nil {
		return nil, err
	}
	if message := answer.GetError().GetMessage(); message != "" {
		return nil, &rattanlink.RemoteError{Address: address, Message: message}
	}
	return answer, nil
}

// Close does nothing: no connection outlives its call.
func (*LinkClient) Close() error { return nil }

// Counters returns no counts.
func (*LinkClient) Counters() rattanlink.Counters { return rattanlink.Counters{} }

// A LinkServer answers LinkClients.
type LinkServer struct {
	mutex    sync.Mutex
	handlers map[rattanlink.Kind]rattanlink.Handler
	running  sync.WaitGroup
}

// NewLinkServer returns a LinkServer without handlers.
func NewLinkServer() *LinkServer {
	return &LinkServer{handlers: make(map[rattanlink.Kind]rattanlink.Handler)}
}

// Handle registers the handler of a kind of frames.
func (s *LinkServer) Handle(kind rattanlink.Kind, handler rattanlink.Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handlers[kind] = handler
}

// Counters returns no counts.
func (*LinkServer) Counters() rattanlink.Counters { return rattanlink.Counters{} }

// Serve answers calls until ctx ends.
func (s *LinkServer) Serve(ctx context.Context, listener net.Listener) error {
	defer s.running.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return ctx.Err()
		}
		s.running.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *LinkServer) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	frame, err := rattanlink.ReadFrame(conn, rattanlink.DefaultMaxFrameBytes)
	if err != nil {
		return
	}
	s.mutex.Lock()
	handler := s.handlers[rattanlink.KindOf(frame)]
	s.mutex.Unlock()
	if handler == nil {
		return
	}
	answer, err := handler(ctx, frame)
	if err != nil {
		answer = &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_Error{Error: &rattanv1.PeerError{Message: err.Error()}}}
	}
	_ = rattanlink.WriteFrame(conn, answer, rattanlink.DefaultMaxFrameBytes) // the caller sees a lost answer
}
