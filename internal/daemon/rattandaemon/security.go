package rattandaemon

import (
	"crypto/tls"

	"github.com/rattanstream/rattanstream/internal/caller/rattansession"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
)

// security is the TLS configuration of the daemon: server for callers and
// operators, mutual for links between daemons. A nil field means plain TCP.
type security struct {
	server *tls.Config
	mutual *tls.Config
}

// WithTLS replaces the TLS files of the settings, for certificates that are
// created in memory. server is for callers and operators, mutual for links between
// daemons.
func WithTLS(server, mutual *tls.Config) Option {
	return func(o *options) { o.security = &security{server: server, mutual: mutual} }
}

// loadSecurity reads the certificate and authority files that the settings name.
// The error names the file.
func loadSecurity(settings rattansettings.TLSSettings) (*security, error) {
	if settings.Off() {
		return &security{}, nil
	}
	certificate, err := rattanlisten.LoadCertificate(settings.Certificate(), settings.Key())
	if err != nil {
		return nil, err
	}
	authority, err := rattanlisten.LoadCAPool(settings.Authority())
	if err != nil {
		return nil, err
	}
	return &security{server: certificate.ServerTLSConfig(), mutual: certificate.MutualTLSConfig(authority)}, nil
}

// linkOptions returns the options of links between daemons.
func (s *security) linkOptions() []rattanlink.Option {
	if s.mutual == nil {
		return nil
	}
	return []rattanlink.Option{rattanlink.WithTLS(s.mutual)}
}

// serverOptions returns the options of servers for callers and operators.
func (s *security) serverOptions() []rattanlisten.Option {
	if s.server == nil {
		return nil
	}
	return []rattanlisten.Option{rattanlisten.WithTLS(s.server)}
}

func newSealer(settings rattansettings.SessionSettings) (*rattansession.Sealer, error) {
	return rattansession.NewSealer(settings.SealKey().Bytes(),
		rattansession.WithPreviousKey(settings.PreviousSealKey().Bytes()))
}
