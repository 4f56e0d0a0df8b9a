// Package rattanplatform connects the daemon to the users' platform: its store, its
// endpoints, its callers' protocol and its service that promotes endpoints.
package rattanplatform

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/platform"
)

// New returns the users' platform as the daemon uses it. The addresses (host:port)
// are those of the shared store and of the service that promotes endpoints
// and takes the reports of usage.
func New(storeAddress, promoterAddress string) rattanproxy.Platform {
	store := platform.NewStore(storeAddress)
	return rattanproxy.Platform{
		Store:         store,
		Decoder:       platform.Decoder{},
		Promoter:      platform.NewPromoter(promoterAddress),
		UsageReporter: platform.NewUsageReporter(promoterAddress),
		ObserveDates:  store.ObserveDates,
		Dial: func(address string, timeout time.Duration) (rattanupstream.Conn, error) {
			conn, err := platform.DialEndpoint(address, timeout)
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		Caller: func(conn net.Conn) rattanproxy.CallerConn { return platform.NewCallerConn(conn) },
		ParseCallerError: func(err error) (rattanproxy.ProtocolError, bool) {
			var protocolErr *platform.ProtocolError
			if !errors.As(err, &protocolErr) {
				return rattanproxy.ProtocolError{}, false
			}
			return rattanproxy.ProtocolError(*protocolErr), true
		},
		IsTerminated: func(err error) bool { return errors.Is(err, platform.ErrTerminated) },
		Readiness:    platform.ReadinessHandler,
	}
}
