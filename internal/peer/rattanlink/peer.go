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

// firstBackoff separates the first attempts to connect to one address. The pause
// doubles up to the longest one, each lengthened by up to half at random, so that
// the daemons do not return to a restarted peer at the same moment.
const firstBackoff = 100 * time.Millisecond

// peer is the one session to an address.
type peer struct {
	client  *Client
	address string
	streams chan struct{}

	// users and lastUsed are guarded by the client's mutex.
	users    int
	lastUsed time.Time

	mutex   sync.Mutex
	closed  bool
	current *yamux.Session
	dialing *dialing
	backoff time.Duration
	notNow  time.Time
	cause   error
}

// dialing is one connection attempt; done is closed when it has ended.
type dialing struct {
	done    chan struct{}
	session *yamux.Session
	err     error
}

func newPeer(client *Client, address string) *peer {
	return &peer{client: client, address: address, streams: make(chan struct{}, client.options.streams)}
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
// attempt has its own time limit, so that callers with short deadlines do not
// break off the handshake of a distant peer again and again.
func (p *peer) session(ctx context.Context) (*yamux.Session, error) {
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

func (p *peer) sessionOrAttempt() (*dialing, *yamux.Session, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.client.ctx.Err() != nil {
		return nil, nil, ErrClosed
	}
	if p.current != nil && !p.current.IsClosed() {
		return nil, p.current, nil
	}
	if p.dialing != nil {
		return p.dialing, nil, nil
	}
	if p.client.options.clock.Now().Before(p.notNow) {
		return nil, nil, errors.Wrapf(ErrBackoff, "%s (%v)", p.address, p.cause)
	}
	attempt := &dialing{done: make(chan struct{})}
	p.dialing = attempt
	p.client.running.Go(func() { p.dial(attempt) })
	return attempt, nil, nil
}

func (p *peer) dial(attempt *dialing) {
	session, err := p.connect()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer close(attempt.done)
	p.dialing = nil
	if err == nil && p.closed {
		_ = session.Close()
		err = ErrClosed
	}
	if err != nil {
		attempt.err = errors.Wrapf(err, "connect to %s", p.address)
		p.delay(err)
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

func (p *peer) delay(cause error) {
	p.backoff = min(max(2*p.backoff, firstBackoff), p.client.options.backoff)
	jitter := time.Duration(rand.Int64N(int64(p.backoff)/2 + 1))
	p.notNow = p.client.options.clock.Now().Add(p.backoff + jitter)
	p.cause = cause
}

func (p *peer) connect() (*yamux.Session, error) {
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
	session, err := yamux.Client(&joinConn{Conn: conn}, o.sessionConfig())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return session, nil
}

// tlsConfig returns the configured TLS settings with the address's host as the
// name to verify, unless a name is configured.
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
