package rattancmd

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdCertificates makes a certificate authority in NAME.ca.pem, and a certificate for
// all VMs that it signs, in vm.pem and vm.key.
func cmdCertificates(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: certificates NAME")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: args[0]},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	ts.Check(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, vm := range fleetVMs {
		address, err := url.Parse(ts.Getenv(variable(vm.name)))
		ts.Check(err)
		certificate.IPAddresses = append(certificate.IPAddresses, net.ParseIP(address.Hostname()))
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate, authority, key.Public(), authorityKey)
	ts.Check(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	writePEM(ts, args[0]+".ca.pem", "CERTIFICATE", authorityDER)
	writePEM(ts, "vm.key", "EC PRIVATE KEY", keyDER)
	writePEM(ts, "vm.pem", "CERTIFICATE", der)
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
