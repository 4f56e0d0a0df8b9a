package rattanlink

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve runs server until the returned function is called or the test ends.
func serve(t testing.TB, server *Server, listener net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return stop
}

func newTestClient(t testing.TB, opts ...Option) *Client {
	t.Helper()
	client := NewClient(opts...)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// handleBorrow responds with the request's loan number. For loan 99 it waits until
// the context ends.
func handleBorrow(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	loan := frame.GetBorrowRequest().GetLoan()
	if loan == 99 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := &rattanv1.BorrowResponse{Loan: loan}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_BorrowResponse{BorrowResponse: response}}, nil
}

func borrowServer(opts ...Option) *Server {
	server := NewServer(opts...)
	server.Handle(KindBorrow, handleBorrow)
	return server
}

// assertBorrow checks that a call succeeds and returns its own loan number.
func assertBorrow(t testing.TB, client *Client, address string, loan uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := client.Call(ctx, address, borrowFrame(loan))
	if err != nil || response.GetBorrowResponse().GetLoan() != loan {
		t.Errorf("Call(loan %d) = %v, %v, want the same loan", loan, response, err)
	}
}

// TestCall guards against responses that reach the wrong call, and against
// concurrent calls that do not share one session.
func TestCall(t *testing.T) {
	server := borrowServer()
	listener := listen(t, "127.0.0.1:0")
	serve(t, server, listener)
	client := newTestClient(t)
	var running sync.WaitGroup
	for loan := range uint64(50) {
		running.Go(func() { assertBorrow(t, client, listener.Addr().String(), loan) })
	}
	running.Wait()
	if got := client.Counters(); got.Sessions != 1 || got.Calls != 50 || got.Failed != 0 || got.BytesSent == 0 || got.BytesReceived == 0 {
		t.Errorf("Counters = %+v, want 1 session and 50 calls with bytes both ways", got)
	}
}

// TestExchangesAreObserved guards against bytes between failure domains that are not
// counted: the observed bytes are those of the connection, but for what opens the session
// and what is still to be written.
func TestExchangesAreObserved(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	serve(t, borrowServer(), listener)
	var mutex sync.Mutex
	var observed Exchange
	client := newTestClient(t, WithExchangeObserver(func(exchange Exchange) {
		mutex.Lock()
		defer mutex.Unlock()
		observed.Address, observed.Kind = exchange.Address, exchange.Kind
		observed.SentBytes += exchange.SentBytes
		observed.ReceivedBytes += exchange.ReceivedBytes
	}))
	for loan := range uint64(50) {
		assertBorrow(t, client, listener.Addr().String(), loan+200)
	}
	mutex.Lock()
	defer mutex.Unlock()
	counted := client.Counters()
	if observed.Address != listener.Addr().String() || observed.Kind != KindBorrow {
		t.Errorf("observed calls of kind %s to %s", observed.Kind, observed.Address)
	}
	assertNear(t, "sent", observed.SentBytes, counted.BytesSent)
	assertNear(t, "received", observed.ReceivedBytes, counted.BytesReceived)
}

// assertNear checks an observed number of bytes against that of the connection.
func assertNear(t *testing.T, what string, observed int, counted uint64) {
	t.Helper()
	const slack = 12 * headerBytes
	if difference := observed - int(counted); difference < -slack || difference > slack {
		t.Errorf("observed %d bytes %s, the connection counts %d", observed, what, counted)
	}
}

// TestCallRefused guards against a failed call that breaks the session for others:
// one without a handler, one that is too large, and one that times out.
func TestCallRefused(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	serve(t, borrowServer(WithMaxFrameBytes(1000)), listener)
	client := newTestClient(t)
	address := listener.Addr().String()
	assertBorrow(t, client, address, 1)

	forward := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ForwardRequest{ForwardRequest: &rattanv1.ForwardRequest{}}}
	var remote *RemoteError
	if _, err := client.Call(context.Background(), address, forward); !errors.As(err, &remote) {
		t.Errorf("no handler: got %v, want a *RemoteError", err)
	}
	large := borrowFrame(2)
	large.GetBorrowRequest().Share = strings.Repeat("x", 2000)
	if _, err := client.Call(context.Background(), address, large); err == nil {
		t.Error("request above the server's frame limit got a response")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Call(ctx, address, borrowFrame(99)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("slow call: got %v, want %v", err, context.DeadlineExceeded)
	}
	assertBorrow(t, client, address, 3)
	if got := client.Counters().Sessions; got != 1 {
		t.Errorf("%d sessions, want the first one still in use", got)
	}
}

// TestReconnect guards against a client that keeps using a session which has ended,
// and against connection attempts without a backoff while the peer is unavailable.
func TestReconnect(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	address := listener.Addr().String()
	stop := serve(t, borrowServer(), listener)
	var dials atomic.Int64
	client := newTestClient(t, WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}))
	assertBorrow(t, client, address, 1)
	stop()
	sawBackoff := false
	for range 100 {
		_, err := client.Call(context.Background(), address, borrowFrame(2))
		if err == nil {
			t.Fatal("call to a stopped server succeeded")
		}
		sawBackoff = sawBackoff || errors.Is(err, ErrBackoff)
	}
	if !sawBackoff {
		t.Errorf("%d connection attempts in 100 calls, want a backoff between them", dials.Load())
	}
	serve(t, borrowServer(), listen(t, address))
	deadline := time.Now().Add(20 * time.Second)
	for {
		_, err := client.Call(context.Background(), address, borrowFrame(3))
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no call succeeded after the server's restart: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestClosedStreamIsUnsent guards against a write that is reported as in doubt
// although it has certainly not run: the session to a connection owner that has just
// stopped was closed before the frame was sent.
func TestClosedStreamIsUnsent(t *testing.T) {
	near, far := net.Pipe()
	peer, err := yamux.Server(far, newOptions(nil).sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	session, err := yamux.Client(near, newOptions(nil).sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	if err := session.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := newTestClient(t).exchange(stream, borrowFrame(1)); !IsUnsent(err) {
		t.Errorf("call on a closed session: got %v, want an error for which IsUnsent is true", err)
	}
}

// TestLongestBackoff guards against daemons that stay disconnected long after a
// partition between them has healed, because their backoff grows without bound.
func TestLongestBackoff(t *testing.T) {
	const backoff = 100 * time.Millisecond
	clock := clockwork.NewFakeClock()
	client := newTestClient(t, WithClock(clock), WithMaxBackoff(backoff), WithDial(func(context.Context, string) (net.Conn, error) {
		return nil, net.ErrClosed
	}))
	for attempt := range 12 {
		_, err := client.Call(context.Background(), "127.0.0.1:1", borrowFrame(1))
		if err == nil || errors.Is(err, ErrBackoff) {
			t.Fatalf("attempt %d after the longest backoff: got %v, want the error of a new connection attempt", attempt, err)
		}
		clock.Advance(backoff + backoff/2 + time.Millisecond)
	}
}

// TestLimits guards against a peer that opens more streams or sessions than the
// server's limits.
func TestLimits(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	entered := make(chan struct{}, 1)
	server := NewServer(WithMaxStreams(1), WithMaxSessions(1))
	server.Handle(KindBorrow, func(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
		entered <- struct{}{}
		return handleBorrow(ctx, frame)
	})
	serve(t, server, listener)
	address := listener.Addr().String()
	client := newTestClient(t)
	assertBorrow(t, client, address, 1)
	<-entered

	ctx, cancel := context.WithCancel(context.Background())
	slow := make(chan error, 1)
	callSlow := func() {
		_, err := client.Call(ctx, address, borrowFrame(99))
		slow <- err
	}
	// The server frees the stream of the first call only after its response, so the
	// next one may be closed.
	for isRunning := false; !isRunning; {
		go callSlow()
		select {
		case <-entered:
			isRunning = true
		case err := <-slow:
			if errors.Is(err, context.Canceled) {
				t.Fatalf("call before the cancellation: %v", err)
			}
		}
	}
	if _, err := client.Call(ctx, address, borrowFrame(99)); err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("second stream: got %v, want it closed by the server", err)
	}
	second := newTestClient(t)
	if _, err := second.Call(context.Background(), address, borrowFrame(2)); err == nil {
		t.Error("second session was served")
	}
	cancel()
	if err := <-slow; !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled call: got %v, want %v", err, context.Canceled)
	}
}

// TestClose guards against calls that keep running or start after Close.
func TestClose(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	serve(t, borrowServer(), listener)
	client := NewClient()
	assertBorrow(t, client, listener.Addr().String(), 1)
	slow := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), listener.Addr().String(), borrowFrame(99))
		slow <- err
	}()
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-slow; err == nil {
		t.Error("running call succeeded after Close")
	}
	if _, err := client.Call(context.Background(), listener.Addr().String(), borrowFrame(1)); !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close: got %v, want %v", err, ErrClosed)
	}
}

// testCertificate returns a self-signed certificate for 127.0.0.1 and a pool that
// contains it.
func testCertificate(t testing.TB) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool
}

// TestMutualTLS guards against sessions in which a side has no certificate that the
// other side trusts, or in which the client does not use TLS.
func TestMutualTLS(t *testing.T) {
	certificate, pool := testCertificate(t)
	listener := listen(t, "127.0.0.1:0")
	address := listener.Addr().String()
	serve(t, borrowServer(WithTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	})), listener)
	client := newTestClient(t, WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool}))
	assertBorrow(t, client, address, 1)
	for name, config := range map[string]*tls.Config{
		"no certificate":   {RootCAs: pool},
		"unknown server":   {Certificates: []tls.Certificate{certificate}},
		"no TLS on a port": nil,
	} {
		t.Run(name, func(t *testing.T) {
			untrusted := newTestClient(t, WithTLS(config), WithCallTimeout(5*time.Second))
			if _, err := untrusted.Call(context.Background(), address, borrowFrame(1)); err == nil {
				t.Error("call of an untrusted client succeeded")
			}
		})
	}
}
