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
	// idleConnections covers a daemon's calls in flight to one endpoint, so that
	// TCP connections are reused.
	idleConnections = 64
	idleTimeout     = time.Minute
)

// A DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client for the calls to endpoints over connections of
// dial. It uses no proxy, follows no redirect and sets no timeout beyond that of
// dialing: deadlines come from the context of each call.
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
