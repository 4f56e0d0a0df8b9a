package rattanlink

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// shutdownBound is longer than any shutdown of the tests.
const shutdownBound = 10 * time.Second

// serveUntilShutdown serves, and returns a channel that gets Serve's result.
func serveUntilShutdown(t *testing.T, server *Server, listener net.Listener) <-chan error {
	t.Helper()
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { served <- server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return served
}

// assertShutdown shuts a server down and checks what its Serve returns.
func assertShutdown(t *testing.T, server *Server, served <-chan error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownBound)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if err := <-served; !errors.Is(err, ErrClosed) {
		t.Errorf("Serve returned %v, want %v", err, ErrClosed)
	}
}

// A slowServer handles borrow requests when it is told to.
type slowServer struct {
	*Server
	entered chan struct{}
	release chan struct{}
}

func newSlowServer() *slowServer {
	s := &slowServer{Server: NewServer(), entered: make(chan struct{}, 2), release: make(chan struct{})}
	s.Handle(KindBorrow, func(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
		s.entered <- struct{}{}
		<-s.release
		return handleBorrow(ctx, frame)
	})
	return s
}

// TestShutdownAnswers guards against a request that has been handled and whose response is
// dropped because the server ends (LOST), and against one that has not been handled and is
// reported as possibly handled.
func TestShutdownAnswers(t *testing.T) {
	server := newSlowServer()
	listener := listen(t, "127.0.0.1:0")
	served := serveUntilShutdown(t, server.Server, listener)
	address := listener.Addr().String()
	client := newTestClient(t)
	var calling sync.WaitGroup
	calling.Go(func() { assertBorrow(t, client, address, 1) })
	<-server.entered

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assertShutdown(t, server.Server, served)
	}()
	<-server.closing.Done()
	late := make(chan error, 1)
	calling.Go(func() {
		_, err := client.Call(context.Background(), address, borrowFrame(2))
		late <- err
	})
	time.Sleep(50 * time.Millisecond)
	close(server.release)
	if err := <-late; !IsUnsent(err) {
		t.Errorf("call during the shutdown: got %v, want an error for which IsUnsent is true", err)
	}
	calling.Wait()
	<-ended
}

// TestShutdownAborts guards against a shutdown that lasts as long as a handler.
func TestShutdownAborts(t *testing.T) {
	server := newSlowServer()
	listener := listen(t, "127.0.0.1:0")
	serveUntilShutdown(t, server.Server, listener)
	client := newTestClient(t)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), listener.Addr().String(), borrowFrame(1))
		failed <- err
	}()
	<-server.entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown: got %v, want %v", err, context.DeadlineExceeded)
	}
	if err := <-failed; err == nil || IsUnsent(err) {
		t.Errorf("call that is cut off: got %v, want an error for which IsUnsent is false", err)
	}
	close(server.release)
}

// TestShutdownBeforeServe guards against a server that accepts sessions after its shutdown.
func TestShutdownBeforeServe(t *testing.T) {
	server := borrowServer()
	if err := server.Shutdown(context.Background()); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	listener := listen(t, "127.0.0.1:0")
	if err := server.Serve(context.Background(), listener); !errors.Is(err, ErrClosed) {
		t.Errorf("Serve returned %v, want %v", err, ErrClosed)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the listener is still open: %v", err)
	}
}

// A callLoad calls one address until it is stopped. It knows which requests were handled.
type callLoad struct {
	t       *testing.T
	address string
	next    atomic.Uint64
	handled sync.Map
	calling sync.WaitGroup
}

// handle records a request.
func (l *callLoad) handle(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	l.handled.Store(frame.GetBorrowRequest().GetLoan(), true)
	time.Sleep(time.Millisecond)
	return handleBorrow(ctx, frame)
}

// call calls until ctx ends.
func (l *callLoad) call(ctx context.Context, client *Client) {
	for ctx.Err() == nil {
		loan := 1000 + l.next.Add(1)
		_, err := client.Call(context.Background(), l.address, borrowFrame(loan))
		_, isHandled := l.handled.Load(loan)
		switch {
		case err != nil && isHandled:
			l.t.Errorf("the response to a request that was handled is lost: %v", err)
		case err != nil && !IsUnsent(err):
			l.t.Errorf("a request that was not handled is reported as possibly handled: %v", err)
		case err != nil:
			time.Sleep(time.Millisecond)
		}
	}
}

// TestShutdownUnderLoad guards against requests around a shutdown and a new start of the
// server whose responses are lost, or that are reported as possibly handled (LOST).
func TestShutdownUnderLoad(t *testing.T) {
	const rounds, clients, callers = 20, 4, 8
	listener := listen(t, "127.0.0.1:0")
	load := &callLoad{t: t, address: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	for range clients {
		client := newTestClient(t, WithMaxBackoff(time.Millisecond))
		for range callers {
			load.calling.Go(func() { load.call(ctx, client) })
		}
	}
	for range rounds {
		server := NewServer()
		server.Handle(KindBorrow, load.handle)
		served := serveUntilShutdown(t, server, listener)
		time.Sleep(50 * time.Millisecond)
		assertShutdown(t, server, served)
		listener = listen(t, load.address)
	}
	cancel()
	_ = listener.Close()
	load.calling.Wait()
	t.Logf("%d calls", load.next.Load())
}

// TestUnservedConnectionIsUnsent guards against a call that is reported as possibly handled
// because the kernel has accepted its connection for a process that is about to end.
func TestUnservedConnectionIsUnsent(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	time.AfterFunc(50*time.Millisecond, func() { _ = listener.Close() })
	_, err := newTestClient(t).Call(context.Background(), listener.Addr().String(), borrowFrame(1))
	if !IsUnsent(err) {
		t.Errorf("got %v, want an error for which IsUnsent is true", err)
	}
}

// TestCallsWithoutStreamAreUnsent guards against calls that are reported as possibly
// handled although they never had a stream.
func TestCallsWithoutStreamAreUnsent(t *testing.T) {
	t.Run("the client is closed", func(t *testing.T) {
		client := NewClient()
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Call(context.Background(), "127.0.0.1:1", borrowFrame(1)); !IsUnsent(err) || !errors.Is(err, ErrClosed) {
			t.Errorf("got %v, want %v as an error for which IsUnsent is true", err, ErrClosed)
		}
	})
	t.Run("all streams are in use", func(t *testing.T) {
		server := newSlowServer()
		listener := listen(t, "127.0.0.1:0")
		serve(t, server.Server, listener)
		client := newTestClient(t, WithMaxStreams(1))
		var calling sync.WaitGroup
		calling.Go(func() { assertBorrow(t, client, listener.Addr().String(), 1) })
		<-server.entered
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if _, err := client.Call(ctx, listener.Addr().String(), borrowFrame(2)); !IsUnsent(err) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want %v as an error for which IsUnsent is true", err, context.DeadlineExceeded)
		}
		close(server.release)
		calling.Wait()
	})
}

// TestGoodbye guards against a request that was handled, whose response could not be
// written, and that is reported as not handled.
func TestGoodbye(t *testing.T) {
	for _, test := range []struct {
		name       string
		isAnswered bool
	}{{"all responses are written", true}, {"a response could not be written", false}} {
		t.Run(test.name, func(t *testing.T) {
			near, far := net.Pipe()
			accepted, err := yamux.Server(&joinConn{Conn: far}, newOptions(nil).sessionConfig())
			if err != nil {
				t.Fatal(err)
			}
			observed := &goodbyeConn{Conn: near}
			session, err := yamux.Client(observed, newOptions(nil).sessionConfig())
			if err != nil {
				t.Fatal(err)
			}
			server := &serverSession{session: accepted}
			if !server.begin() {
				t.Error("a session that is not closing refuses a request")
			}
			server.close()
			if server.begin() {
				t.Error("a closing session takes a request")
			}
			if observed.hasEnded.Load() {
				t.Error("the goodbye comes before the response")
			}
			server.finish(test.isAnswered)
			<-session.CloseChan()
			<-accepted.CloseChan()
			if got := observed.hasEnded.Load(); got != test.isAnswered {
				t.Errorf("goodbye: %t, want %t", got, test.isAnswered)
			}
		})
	}
}

// TestGoodbyeAmongData guards against a goodbye that is missed, or taken from the body of a
// response.
func TestGoodbyeAmongData(t *testing.T) {
	header := func(kind byte, flags uint16, length uint32) []byte {
		h := make([]byte, headerBytes)
		h[1] = kind
		binary.BigEndian.PutUint16(h[2:], flags)
		binary.BigEndian.PutUint32(h[8:], length)
		return h
	}
	const typePing = 2
	opening := header(typeWindowUpdate, flagSYN, 0)
	response := append(header(typeData, 0, 2*headerBytes), append(opening, opening...)...)
	acknowledgement := header(typeWindowUpdate, 2, 0)
	ping := header(typePing, flagSYN, 7)
	before := append(append(acknowledgement, response...), ping...)
	for name, goodbye := range map[string][]byte{"with data": append(header(typeData, flagSYN, 1), 0), "without data": opening} {
		for _, chunk := range []int{1, 5, headerBytes, 1000} {
			conn := &goodbyeConn{}
			scan := func(p []byte) {
				for len(p) > 0 {
					n := min(chunk, len(p))
					conn.scan(p[:n])
					p = p[n:]
				}
			}
			scan(before)
			if conn.hasEnded.Load() {
				t.Errorf("%s, %d bytes at once: a goodbye is found in a response", name, chunk)
			}
			scan(goodbye)
			if !conn.hasEnded.Load() {
				t.Errorf("%s, %d bytes at once: the goodbye is missed", name, chunk)
			}
		}
	}
}
