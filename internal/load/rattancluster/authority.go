package rattancluster

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

// certificateValidity applies to the certificates of the authority and of the VMs.
const certificateValidity = 24 * time.Hour

// A certificateAuthority signs the certificates of a cluster's VMs. Its key is kept in
// memory only.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
	serial      int64
}

func newCertificateAuthority() (*certificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the certificate authority")
	}
	template := newTemplate(1, "cluster authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create the certificate of the certificate authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the certificate of the certificate authority")
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &certificateAuthority{certificate: certificate, key: key, pool: pool, serial: 1}, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}
}

// issue returns a new certificate for a VM and its address.
func (a *certificateAuthority) issue(vm, host string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "generate the key of %s", vm)
	}
	a.serial++
	template := newTemplate(a.serial, vm)
	template.IPAddresses = []net.IP{net.ParseIP(host)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "create the certificate of %s", vm)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// daemonConfigs returns the TLS settings of a VM's daemon: server for its listeners
// towards callers and operators, mutual for connections between daemons.
func (a *certificateAuthority) daemonConfigs(vm, host string) (server, mutual *tls.Config, err error) {
	certificate, err := a.issue(vm, host)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{certificate},
	}
	mutual = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    a.pool,
		RootCAs:      a.pool,
	}
	return server, mutual, nil
}

// clientConfig returns the TLS settings of callers and operators.
func (a *certificateAuthority) clientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.pool}
}
