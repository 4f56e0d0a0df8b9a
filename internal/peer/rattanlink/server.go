package rattanlink

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// acceptRetryDelay is the time between a failed accept and the next one. Accept
// fails for example while the process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// A Handler handles one request frame and returns the response. The context ends
// with the session, with the call timeout, and with the server. An error is sent to
// the client as a PeerError.
type Handler func(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error)

// A Server accepts sessions from other daemons and handles their requests.
type Server struct {
	options  options
	counters counters
	// sessions is a semaphore for the accepted connections.
	sessions chan struct{}
	// closing ends when Shutdown begins.
	closing      context.Context
	beginClosing context.CancelFunc
	// aborted ends when Shutdown waits no longer.
	aborted context.Context
	abort   context.CancelFunc

	mutex    sync.RWMutex
	handlers map[Kind]Handler
	// serving counts the running calls of Serve; served is closed when there is none any
	// more after Shutdown has begun.
	serving int
	served  chan struct{}
}

// NewServer returns a Server without handlers.
func NewServer(opts ...Option) *Server {
	o := newOptions(opts)
	s := &Server{
		options:  o,
		sessions: make(chan struct{}, o.maxSessions),
		handlers: make(map[Kind]Handler),
		served:   make(chan struct{}),
	}
	s.closing, s.beginClosing = context.WithCancel(context.Background())
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// Handle registers the handler for frames of a kind. It replaces an earlier one.
func (s *Server) Handle(kind Kind, handler Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handlers[kind] = handler
}

// Counters returns the totals since the start.
func (s *Server) Counters() Counters {
	return s.counters.read()
}

// Shutdown makes Serve end without the loss of a response: it accepts no more sessions,
// answers the requests that are being handled, and makes calls whose requests it does not
// handle fail as unsent at the client. It returns when all sessions have ended. When ctx
// ends earlier, it closes the remaining sessions, as Serve does at the end of its own
// context, and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	if s.closing.Err() == nil && s.serving == 0 {
		close(s.served)
	}
	s.beginClosing()
	s.mutex.Unlock()
	select {
	case <-s.served:
		return nil
	case <-ctx.Done():
		s.abort()
		return ctx.Err()
	}
}

// beginServing returns false when Shutdown has begun. Otherwise endServing must be called.
func (s *Server) beginServing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing.Err() != nil {
		return false
	}
	s.serving++
	return true
}

func (s *Server) endServing() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serving--
	if s.closing.Err() != nil && s.serving == 0 {
		close(s.served)
	}
}

// Serve accepts sessions until ctx ends, Shutdown is called or the listener fails, closes
// the listener, and returns after every handler has returned. It returns ctx's
// error when ctx has ended, and ErrClosed after Shutdown.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.beginServing() {
		_ = listener.Close()
		return ErrClosed
	}
	defer s.endServing()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	stopAborted := context.AfterFunc(s.aborted, cancel)
	defer stopAborted()
	for _, end := range []context.Context{ctx, s.closing} {
		stop := context.AfterFunc(end, func() { _ = listener.Close() })
		defer stop()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.closing.Err() != nil {
				running.Wait()
				return ErrClosed
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept peer session")
			}
			if !sleep(ctx, acceptRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		select {
		case s.sessions <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		running.Go(func() {
			defer func() { <-s.sessions }()
			s.serveConn(ctx, &countingConn{Conn: conn, counters: &s.counters})
		})
	}
}

// sleep reports whether d has passed before ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveConn accepts the streams of one connection until its session ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	if s.options.tls != nil {
		secured := tls.Server(conn, s.options.tls)
		handshake, cancelHandshake := context.WithTimeout(ctx, s.options.dialTimeout)
		stopClosing := context.AfterFunc(s.closing, cancelHandshake)
		err := secured.HandshakeContext(handshake)
		stopClosing()
		cancelHandshake()
		if err != nil {
			return
		}
		conn = secured
	}
	session, err := yamux.Server(&joinConn{Conn: conn}, s.options.sessionConfig())
	if err != nil {
		return
	}
	s.counters.sessions.Add(1)
	defer s.counters.sessions.Add(-1)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	accepted := &serverSession{session: session}
	stopClosing := context.AfterFunc(s.closing, accepted.close)
	defer stopClosing()
	streams := make(chan struct{}, s.options.maxStreams)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case streams <- struct{}{}:
		default:
			_ = stream.Close()
			continue
		}
		running.Go(func() {
			defer func() { <-streams }()
			s.serveStream(ctx, accepted, stream)
		})
	}
}

// serveStream reads one request from a stream and writes the response. When the session
// is closing it leaves the stream open: the session's end tells the client that the request
// is not handled.
func (s *Server) serveStream(ctx context.Context, session *serverSession, stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(requestReadTimeout))
	request, err := ReadFrame(stream, s.options.maxFrameBytes)
	if err != nil {
		s.counters.failed.Add(1)
		return
	}
	if s.closing.Err() != nil || !session.begin() {
		<-session.session.CloseChan()
		return
	}
	s.counters.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, s.options.callTimeout)
	defer cancel()
	response, err := s.handle(ctx, request)
	if err != nil {
		s.counters.failed.Add(1)
		response = errorFrame(err)
	}
	response.Id = request.GetId()
	_ = stream.SetDeadline(time.Now().Add(requestReadTimeout))
	err = s.respond(stream, response)
	// A client that has reset the stream waits for no response.
	session.finish(err == nil || errors.Is(err, yamux.ErrConnectionReset))
}

// respond writes a response. One that is too large or cannot be encoded is replaced by an
// error.
func (s *Server) respond(stream *yamux.Stream, response *rattanv1.PeerFrame) error {
	err := WriteFrame(stream, response, s.options.maxFrameBytes)
	if !isUnwritable(err) {
		return err
	}
	s.counters.failed.Add(1)
	failure := errorFrame(err)
	failure.Id = response.GetId()
	return WriteFrame(stream, failure, s.options.maxFrameBytes)
}

func (s *Server) handle(ctx context.Context, request *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	kind := KindOf(request)
	s.mutex.RLock()
	handler := s.handlers[kind]
	s.mutex.RUnlock()
	if handler == nil {
		return nil, errors.Errorf("no handler for frames of kind %s", kind)
	}
	response, err := s.call(ctx, kind, handler, request)
	if err != nil {
		return nil, err
	}
	if response == nil {
		return nil, errors.Errorf("handler for frames of kind %s returned no response", kind)
	}
	return response, nil
}

// call calls a handler. A panic in it becomes a *PanicError, so that one message does
// not end the process.
func (s *Server) call(ctx context.Context, kind Kind, handler Handler, request *rattanv1.PeerFrame) (response *rattanv1.PeerFrame, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			panicErr := &PanicError{Kind: kind, Cause: cause, Stack: string(debug.Stack())}
			s.options.onPanic(panicErr)
			response, err = nil, panicErr
		}
	}()
	return handler(ctx, request)
}

// errorFrame returns the response that tells an error, whose text may hold any bytes of a
// request.
func errorFrame(err error) *rattanv1.PeerFrame {
	message := strings.ToValidUTF8(err.Error(), "\uFFFD")
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_Error{Error: &rattanv1.PeerError{Message: message}}}
}
