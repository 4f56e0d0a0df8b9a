package rattanadapter

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP connections to one endpoint.
const (
	dialTimeout = time.Second
	// idleConnections is enough for the calls of a daemon that are in flight to one
	// endpoint, so that TCP connections are reused.
	idleConnections = 64
	idleTimeout     = time.Minute
)

// A DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client for calls to endpoints over connections that dial
// opens. It uses no proxy and follows no redirects. Its only timeout is that of dialing;
// deadlines come from the context of each call.
func NewHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return dial(ctx, network, address)
			},
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
