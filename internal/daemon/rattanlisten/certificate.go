package rattanlisten

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A Certificate is a pair of certificate and key files that may be replaced while
// the daemon runs. While the new pair cannot be read, the last valid one stays in
// use.
type Certificate struct {
	certificateFile string
	keyFile         string

	mutex    sync.Mutex
	modified time.Time
	loaded   *tls.Certificate
}

// LoadCertificate reads the certificate and key files. The error names the file.
func LoadCertificate(certificateFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// reload reads the pair if the certificate file has changed since the last time.
func (c *Certificate) reload() error {
	info, err := os.Stat(c.certificateFile)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	if c.loaded != nil && info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", c.certificateFile)
	}
	c.loaded, c.modified = &pair, info.ModTime()
	return nil
}

// current returns the newest valid pair, after checking whether the files have changed.
func (c *Certificate) current() *tls.Certificate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.reload() // a partly written file must not make connections fail
	return c.loaded
}

// ServerTLSConfig returns the TLS configuration of a server that presents the
// certificate.
func (c *Certificate) ServerTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}
}

// MutualTLSConfig returns the TLS configuration of links between daemons: both
// sides present a certificate that authority has issued.
func (c *Certificate) MutualTLSConfig(authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      authority,
		RootCAs:        authority,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current(), nil
		},
	}
}

// LoadCAPool reads the certificates of a certificate authority. The error names
// the file.
func LoadCAPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority %s holds no certificate", file)
	}
	return pool, nil
}
