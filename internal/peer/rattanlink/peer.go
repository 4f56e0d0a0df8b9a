package rattanlink

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// firstBackoff is the backoff after the first failed connection attempt to an
// address. It doubles with every further one, up to the maximum. Up to half of it is
// added as random jitter, so that the daemons do not all reconnect to a restarted
// peer at the same moment.
const firstBackoff = 100 * time.Millisecond

// peer holds the session to an address and opens a new one when it has ended.
type peer struct {
	client  *Client
	address string
	// streams is a semaphore for the session's streams.
	streams chan struct{}

	// users is the number of running calls. users and lastUsed are guarded by the
	// client's mutex.
	users    int
	lastUsed time.Time

	mutex   sync.Mutex
	closed  bool
	current *clientSession
	// attempt is the running connection attempt, nil when there is none.
	attempt *dialAttempt
	// ping is the running ping of the session, nil when there is none.
	ping *ping
	// After a failed attempt with dialErr no other one is made before retryAt.
	backoff time.Duration
	retryAt time.Time
	dialErr error
}

// dialAttempt is one connection attempt. done is closed when it has ended; session
// and err are valid then.
type dialAttempt struct {
	done    chan struct{}
	session *clientSession
	err     error
}

func newPeer(client *Client, address string) *peer {
	return &peer{client: client, address: address, streams: make(chan struct{}, client.options.maxStreams)}
}

func (p *peer) release() {
	defer p.client.running.Done()
	p.client.mutex.Lock()
	defer p.client.mutex.Unlock()
	p.users--
}

func (p *peer) acquireStream(ctx context.Context) error {
	select {
	case p.streams <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *peer) releaseStream() {
	<-p.streams
}

// session returns the open session, or waits for a connection attempt. The
// attempt has a timeout of its own, so that calls with short deadlines do not
// abort the handshake with a distant peer again and again.
func (p *peer) session(ctx context.Context) (*clientSession, error) {
	attempt, session, err := p.sessionOrAttempt()
	if attempt == nil {
		return session, err
	}
	select {
	case <-attempt.done:
		return attempt.session, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sessionOrAttempt returns the open session, or else the running connection attempt,
// which it starts if there is none.
func (p *peer) sessionOrAttempt() (*dialAttempt, *clientSession, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.client.ctx.Err() != nil {
		return nil, nil, ErrClosed
	}
	if p.current != nil && !p.current.IsClosed() {
		return nil, p.current, nil
	}
	if p.attempt != nil {
		return p.attempt, nil, nil
	}
	if p.client.options.clock.Now().Before(p.retryAt) {
		return nil, nil, errors.Wrapf(ErrBackoff, "%s (%v)", p.address, p.dialErr)
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	p.attempt = attempt
	p.client.running.Go(func() { p.dial(attempt) })
	return attempt, nil, nil
}

// dial makes a connection attempt and stores its result.
func (p *peer) dial(attempt *dialAttempt) {
	session, err := p.connect()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer close(attempt.done)
	p.attempt = nil
	if err == nil && p.closed {
		_ = session.Close()
		err = ErrClosed
	}
	if err != nil {
		attempt.err = errors.Wrapf(err, "connect to %s", p.address)
		p.scheduleRetry(err)
		return
	}
	p.backoff = 0
	p.current = session
	attempt.session = session
	p.client.counters.sessions.Add(1)
	p.client.running.Go(func() {
		select {
		case <-session.CloseChan():
		case <-p.client.ctx.Done():
			_ = session.Close()
		}
		p.client.counters.sessions.Add(-1)
	})
}

// scheduleRetry sets the time of the next connection attempt after a failed one.
func (p *peer) scheduleRetry(dialErr error) {
	p.backoff = min(max(2*p.backoff, firstBackoff), p.client.options.maxBackoff)
	jitter := time.Duration(rand.Int64N(int64(p.backoff)/2 + 1))
	p.retryAt = p.client.options.clock.Now().Add(p.backoff + jitter)
	p.dialErr = dialErr
}

// connect opens a session with a server that answers: a connection that the kernel has
// accepted for a process which is about to end is none.
func (p *peer) connect() (*clientSession, error) {
	o := p.client.options
	ctx, cancel := context.WithTimeout(p.client.ctx, o.dialTimeout)
	defer cancel()
	raw, err := o.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = &countingConn{Conn: raw, counters: &p.client.counters}
	if o.tls != nil {
		secured := tls.Client(conn, p.tlsConfig())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		conn = secured
	}
	observed := &goodbyeConn{Conn: &joinConn{Conn: conn}}
	session, err := yamux.Client(observed, o.sessionConfig())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	if _, err := session.Ping(); err != nil {
		_ = session.Close()
		return nil, errors.Wrap(err, "first ping")
	}
	return &clientSession{Session: session, conn: observed}, nil
}

// tlsConfig returns the configured TLS settings. If they have no server name, it is
// the host of the address.
func (p *peer) tlsConfig() *tls.Config {
	config := p.client.options.tls.Clone()
	if config.ServerName == "" {
		if host, _, err := net.SplitHostPort(p.address); err == nil {
			config.ServerName = host
		}
	}
	return config
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.current != nil {
		_ = p.current.Close()
	}
}
