// Package rattanlisten runs the daemon's HTTP servers: HTTP/1.1 and HTTP/2,
// with and without TLS, bounded in connections and message sizes.
package rattanlisten

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the time in which a client sends its headers.
const headerTimeout = 10 * time.Second

// maxHeaderBytes bounds the headers of a request: the longest session token (64 KiB)
// and as much for everything else.
const maxHeaderBytes = 128 << 10

// A Server is one HTTP server on one address.
type Server struct {
	name     string
	listener net.Listener
	server   *http.Server
	tls      *tls.Config
	grace    time.Duration
}

// An Option changes a Server.
type Option func(*Server)

// WithTLS serves TLS. The settings are copied, since an HTTP server changes its own.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.tls = config.Clone() }
}

// WithConnectionLimit accepts at most limit connections at a time; others wait
// in the operating system's queue.
func WithConnectionLimit(limit int) Option {
	return func(s *Server) { s.listener = newLimitListener(s.listener, limit) }
}

// WithShutdownTimeout bounds how long Serve waits for running requests after its context ended.
func WithShutdownTimeout(d time.Duration) Option {
	return func(s *Server) { s.grace = d }
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
		server: &http.Server{
			Handler:           handler,
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

// Serve serves until ctx ends, then waits for running requests.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.serve() }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s", s.name)
	case <-ctx.Done():
	}
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.grace)
	defer cancel()
	if err := s.server.Shutdown(graceCtx); err != nil {
		_ = s.server.Close() // requests that outlast the grace are cut off
	}
	<-failed
	return ctx.Err()
}

func (s *Server) serve() error {
	if s.tls == nil {
		return s.server.Serve(s.listener)
	}
	s.server.TLSConfig = s.tls
	return s.server.ServeTLS(s.listener, "", "")
}
