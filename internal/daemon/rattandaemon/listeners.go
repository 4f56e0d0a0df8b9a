package rattandaemon

import (
	"net"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// listeners are the open listeners of a daemon. One without an address in the
// settings, such as debug, is nil.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	debug    net.Listener
}

// listen opens a listener on each address in the settings. If one cannot be
// opened, it closes the others and returns an error that names the setting.
func listen(network Network, settings rattansettings.DaemonSettings) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"caller_address", settings.CallerAddress(), &l.caller},
		{"operator_address", settings.OperatorAddress(), &l.operator},
		{"peer_address", settings.PeerAddress(), &l.peer},
		{"debug_address", settings.DebugAddress(), &l.debug},
	} {
		if open.address == "" {
			continue
		}
		listener, err := network.Listen(open.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "[daemon] %s", open.name)
		}
		*open.listener = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer, l.debug} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
