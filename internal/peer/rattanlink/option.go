package rattanlink

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// Defaults of the options.
const (
	// DefaultMaxFrameBytes is enough for one settings document of 1 MiB with its
	// envelope.
	DefaultMaxFrameBytes = 2 << 20
	// DefaultMaxStreams is the number of concurrent streams of one session.
	DefaultMaxStreams = 128
	// DefaultMaxSessions is enough for two sessions from each of 770 daemons.
	DefaultMaxSessions = 1600
	// DefaultCallTimeout bounds a call whose context has no earlier deadline,
	// and the handling of one request.
	DefaultCallTimeout = 30 * time.Second
	// DefaultDialTimeout bounds connecting, with the TLS handshake.
	DefaultDialTimeout = 3 * time.Second
	// DefaultMaxBackoff bounds the backoff between connection attempts to a peer
	// that stays unavailable.
	DefaultMaxBackoff = 5 * time.Second
	// DefaultStreamOpenTimeout is how long a peer may leave a new stream
	// unacknowledged before its session closes.
	DefaultStreamOpenTimeout = 5 * time.Second
	// DefaultIdleTimeout is the time after which a client closes an unused
	// session.
	DefaultIdleTimeout = 2 * time.Minute
)

const (
	// requestReadTimeout bounds how long a peer may take to send its request
	// after it has opened a stream, and how long a server may take to write the
	// response.
	requestReadTimeout = 5 * time.Second
	// streamCloseTimeout is how long a closed stream waits for the other side to
	// close it too.
	streamCloseTimeout = 5 * time.Second
	// sessionWriteTimeout is how long a write may block before the session closes,
	// since the peer no longer reads.
	sessionWriteTimeout = 3 * time.Second
	keepAliveInterval   = 15 * time.Second
)

type options struct {
	tls               *tls.Config
	clock             rattanclock.Clock
	maxFrameBytes     int
	maxStreams        int
	maxSessions       int
	callTimeout       time.Duration
	dialTimeout       time.Duration
	idleTimeout       time.Duration
	maxBackoff        time.Duration
	streamOpenTimeout time.Duration
	onPanic           func(*PanicError)
	onExchange        func(Exchange)
	onMismatch        func(address string, request Kind)
	dial              func(ctx context.Context, address string) (net.Conn, error)
}

// An Option changes a Client or Server.
type Option func(*options)

// WithTLS makes all sessions use TLS. For mutual TLS a server's config must have
// ClientAuth set and a client's config must have a certificate.
func WithTLS(config *tls.Config) Option {
	return func(o *options) { o.tls = config }
}

// WithClock replaces the clock of backoff and idle times. I/O deadlines always
// use the time package.
func WithClock(clock rattanclock.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithMaxFrameBytes sets the largest accepted frame, in bytes.
func WithMaxFrameBytes(limit int) Option {
	return func(o *options) { o.maxFrameBytes = limit }
}

// WithMaxStreams sets the number of concurrent streams of one session, at most
// 256. A server closes streams beyond it; a client's calls wait for a free one.
func WithMaxStreams(limit int) Option {
	return func(o *options) { o.maxStreams = min(limit, yamux.DefaultConfig().AcceptBacklog) }
}

// WithMaxSessions sets the number of sessions that a server accepts.
func WithMaxSessions(limit int) Option {
	return func(o *options) { o.maxSessions = limit }
}

// WithCallTimeout sets the timeout of a client's calls and of a server's handlers.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithIdleTimeout sets the time after which an unused client session closes.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// WithMaxBackoff sets the upper bound of the backoff between connection attempts to
// a peer; up to half of it is added as jitter.
func WithMaxBackoff(d time.Duration) Option {
	return func(o *options) { o.maxBackoff = d }
}

// WithStreamOpenTimeout sets how long a peer may leave a new stream unacknowledged
// before its session closes.
func WithStreamOpenTimeout(d time.Duration) Option {
	return func(o *options) { o.streamOpenTimeout = d }
}

// WithDial replaces the function with which a client opens a TCP connection.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithExchangeObserver sets the function that is called after each call of a client that
// has sent its request.
func WithExchangeObserver(onExchange func(Exchange)) Option {
	return func(o *options) { o.onExchange = onExchange }
}

// WithMismatchObserver sets the function that is called when a client has got a frame that is
// not the response to its request.
func WithMismatchObserver(onMismatch func(address string, request Kind)) Option {
	return func(o *options) { o.onMismatch = onMismatch }
}

// WithPanicHandler sets the function that is called with each panic of a handler.
func WithPanicHandler(onPanic func(*PanicError)) Option {
	return func(o *options) { o.onPanic = onPanic }
}

func newOptions(opts []Option) options {
	o := options{
		clock:             rattanclock.System(),
		maxFrameBytes:     DefaultMaxFrameBytes,
		maxStreams:        DefaultMaxStreams,
		maxSessions:       DefaultMaxSessions,
		callTimeout:       DefaultCallTimeout,
		dialTimeout:       DefaultDialTimeout,
		idleTimeout:       DefaultIdleTimeout,
		maxBackoff:        DefaultMaxBackoff,
		streamOpenTimeout: DefaultStreamOpenTimeout,
		onPanic:           func(*PanicError) {},
		onExchange:        func(Exchange) {},
		onMismatch:        func(string, Kind) {},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func (o options) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = sessionWriteTimeout
	config.StreamOpenTimeout = o.streamOpenTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}
