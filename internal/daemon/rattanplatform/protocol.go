// Package rattanplatform connects the daemon to the users' platform.
package rattanplatform

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/platform"
)

// New returns the users' platform as the daemon uses it; the addresses
// (host:port) are those of the store and of the duties.
func New(storeAddress, dutyAddress string) rattanproxy.Platform {
	return rattanproxy.Platform{
		Store:    platform.NewStore(storeAddress),
		Decoder:  platform.Decoder{},
		Promoter: platform.NewPromoter(dutyAddress),
		Dial: func(address string, timeout time.Duration) (rattanupstream.Conn, error) {
			conn, err := platform.DialEndpoint(address, timeout)
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		Caller: func(conn net.Conn) rattanproxy.CallerConn { return platform.NewCallerConn(conn) },
		ParseCallerError: func(err error) (rattanproxy.ProtocolError, bool) {
			var syntax *platform.ProtocolError
			if !errors.As(err, &syntax) {
				return rattanproxy.ProtocolError{}, false
			}
			return rattanproxy.ProtocolError(*syntax), true
		},
		IsTerminated: func(err error) bool { return errors.Is(err, platform.ErrTerminated) },
		Readiness:    platform.ReadinessHandler,
	}
}
