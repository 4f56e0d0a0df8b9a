// Package rattanlisten runs the daemon's HTTP servers: HTTP/1.1 and HTTP/2, with
// and without TLS, with limits on connections and on the size of requests.
package rattanlisten

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the time that a client may take to send its headers.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the headers of a request: the longest session token (64 KiB)
// and the same size again for all other headers.
const maxHeaderBytes = 128 << 10

// A Server is one HTTP server on one address.
type Server struct {
	name            string
	listener        net.Listener
	server          *http.Server
	handler         http.Handler
	tls             *tls.Config
	shutdownTimeout time.Duration
}

// An Option changes a Server.
type Option func(*Server)

// WithTLS serves TLS. config is copied, since an HTTP server changes its own.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.tls = config.Clone() }
}

// WithConnectionLimit allows at most limit open connections at a time; others wait
// in the operating system's accept queue.
func WithConnectionLimit(limit int) Option {
	return func(s *Server) { s.listener = newLimitListener(s.listener, limit) }
}

// WithShutdownTimeout bounds how long Serve waits, after its context has ended, for
// running requests and until the open connections are quiet. Without it, Serve does
// not wait.
func WithShutdownTimeout(d time.Duration) Option {
	return func(s *Server) { s.shutdownTimeout = d }
}

// New returns a Server on listener. The name appears in errors.
func New(name string, listener net.Listener, handler http.Handler, options ...Option) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		name:     name,
		listener: listener,
		handler:  handler,
		server: &http.Server{
			ConnContext:       connContext,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         &protocols,
		},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// String returns the server's name for the supervisor's log.
func (s *Server) String() string { return s.name + " server" }

// Serve serves requests until ctx ends. It then accepts no more connections, answers
// the requests on the open ones within the shutdown timeout, and closes those that
// take longer.
func (s *Server) Serve(ctx context.Context) error {
	tracker := newConnTracker(s.listener)
	s.server.Handler = tracker.track(s.handler)
	failed := make(chan error, 1)
	go func() { failed <- s.serve(tracker) }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s", s.name)
	case <-ctx.Done():
	}
	tracker.stopAccepting()
	<-failed // the last accepted connection is known
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.shutdownTimeout)
	defer cancel()
	tracker.drain(drainCtx)
	_ = s.server.Close() // the requests that outlast the shutdown timeout get no answer
	return ctx.Err()
}

func (s *Server) serve(listener net.Listener) error {
	if s.tls == nil {
		return s.server.Serve(listener)
	}
	s.server.TLSConfig = s.tls
	return s.server.ServeTLS(listener, "", "")
}
