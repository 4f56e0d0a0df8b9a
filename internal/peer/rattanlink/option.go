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
	// DefaultMaxFrameBytes fits one settings document of 1 MiB with its envelope.
	DefaultMaxFrameBytes = 2 << 20
	// DefaultMaxStreams is the number of concurrent streams of one session.
	DefaultMaxStreams = 128
	// DefaultMaxSessions fits two sessions of each of 770 daemons.
	DefaultMaxSessions = 1600
	// DefaultCallTimeout bounds a call whose context has no earlier deadline,
	// and the handling of one request.
	DefaultCallTimeout = 30 * time.Second
	// DefaultDialTimeout bounds connecting, with the TLS handshake.
	DefaultDialTimeout = 3 * time.Second
	// DefaultMaxBackoff separates connection attempts to a peer that stays away.
	DefaultMaxBackoff = 5 * time.Second
	// DefaultStreamOpenTimeout is how long a peer may leave a new stream unacknowledged
	// before its session closes.
	DefaultStreamOpenTimeout = 5 * time.Second
	// DefaultIdleTimeout is the time after which an unused client session closes.
	DefaultIdleTimeout = 2 * time.Minute
)

const (
	// requestReadTimeout bounds how long a peer may take to send its request
	// after it has opened a stream.
	requestReadTimeout = 5 * time.Second
	// streamGrace is how long a closed stream waits for the other side to close.
	streamGrace = 5 * time.Second
	// sessionWriteTimeout bounds how long a session to a peer that no longer
	// reads stays in use.
	sessionWriteTimeout = 3 * time.Second
	keepAliveInterval   = 15 * time.Second
)

type options struct {
	tls         *tls.Config
	clock       rattanclock.Clock
	frameBytes  int
	streams     int
	sessions    int
	callTimeout time.Duration
	dialTimeout time.Duration
	idleTimeout time.Duration
	backoff     time.Duration
	silence     time.Duration
	dial        func(ctx context.Context, address string) (net.Conn, error)
}

// An Option changes a Client or Server.
type Option func(*options)

// WithTLS makes all sessions use TLS. For mutual TLS a server's config has
// ClientAuth set and a client's config has a certificate.
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
	return func(o *options) { o.frameBytes = limit }
}

// WithMaxStreams sets the number of concurrent streams of one session, at most
// 256. A server closes streams above it; a client waits.
func WithMaxStreams(limit int) Option {
	return func(o *options) { o.streams = min(limit, yamux.DefaultConfig().AcceptBacklog) }
}

// WithMaxSessions sets the number of sessions that a server accepts.
func WithMaxSessions(limit int) Option {
	return func(o *options) { o.sessions = limit }
}

// WithCallTimeout bounds a client's calls, and a server's handlers.
func WithCallTimeout(d time.Duration) Option {
	return func(o *options) { o.callTimeout = d }
}

// WithIdleTimeout sets the time after which an unused client session closes.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// WithMaxBackoff limits the pause between connection attempts to a peer.
func WithMaxBackoff(d time.Duration) Option {
	return func(o *options) { o.backoff = d }
}

// WithStreamOpenTimeout limits how long a session stays in use whose peer leaves a new
// stream unacknowledged.
func WithStreamOpenTimeout(d time.Duration) Option {
	return func(o *options) { o.silence = d }
}

// WithDial replaces how a client opens a TCP connection.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

func newOptions(opts []Option) options {
	o := options{
		clock:       rattanclock.System(),
		frameBytes:  DefaultMaxFrameBytes,
		streams:     DefaultMaxStreams,
		sessions:    DefaultMaxSessions,
		callTimeout: DefaultCallTimeout,
		dialTimeout: DefaultDialTimeout,
		idleTimeout: DefaultIdleTimeout,
		backoff:     DefaultMaxBackoff,
		silence:     DefaultStreamOpenTimeout,
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
	config.StreamOpenTimeout = o.silence
	config.StreamCloseTimeout = streamGrace
	config.LogOutput = io.Discard
	return config
}
