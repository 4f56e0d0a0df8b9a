package rattannet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A LinkClient calls other daemons over a new connection for each call. Tests in
// simulated time use it in place of rattanlink.Client: that one uses yamux, which
// keeps timers in a process-wide pool, and simulated time does not allow that.
type LinkClient struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewLinkClient returns a LinkClient that dials with dial.
func NewLinkClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *LinkClient {
	return &LinkClient{dial: dial}
}

// Call sends a frame and returns the response. An error frame is returned as a
// rattanlink.RemoteError.
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
	response, err := rattanlink.ReadFrame(conn, rattanlink.DefaultMaxFrameBytes)
	if err != nil {
		return nil, err
	}
	if message := response.GetError().GetMessage(); message != "" {
		return nil, &rattanlink.RemoteError{Address: address, Message: message}
	}
	return response, nil
}

// Close does nothing, since no connection outlives its call.
func (*LinkClient) Close() error { return nil }

// Counters returns zero counters, since nothing is counted.
func (*LinkClient) Counters() rattanlink.Counters { return rattanlink.Counters{} }

// A LinkServer serves the calls of LinkClients.
type LinkServer struct {
	mutex    sync.Mutex
	handlers map[rattanlink.Kind]rattanlink.Handler
	running  sync.WaitGroup
}

// NewLinkServer returns a LinkServer without handlers.
func NewLinkServer() *LinkServer {
	return &LinkServer{handlers: make(map[rattanlink.Kind]rattanlink.Handler)}
}

// Handle registers the handler for a kind of frames.
func (s *LinkServer) Handle(kind rattanlink.Kind, handler rattanlink.Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handlers[kind] = handler
}

// Counters returns zero counters, since nothing is counted.
func (*LinkServer) Counters() rattanlink.Counters { return rattanlink.Counters{} }

// Serve handles calls until ctx ends, and returns when all handlers have returned.
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
	response, err := handler(ctx, frame)
	if err != nil {
		response = &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_Error{Error: &rattanv1.PeerError{Message: err.Error()}}}
	}
	_ = rattanlink.WriteFrame(conn, response, rattanlink.DefaultMaxFrameBytes) // on an error the client gets no response
}
