package rattanadapter

import (
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

// NewHTTPClient returns a client for the calls to endpoints. It uses no proxy,
// follows no redirect and sets no timeout: deadlines come from the context of
// each call.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
