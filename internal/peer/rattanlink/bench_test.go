package rattanlink

import (
	"crypto/tls"
	"testing"
)

// BenchmarkCall reports the bytes that one call sends and receives, without TLS and
// with mutual TLS. It guards against overhead that the traffic of simulated fleets
// leaves out.
func BenchmarkCall(b *testing.B) {
	certificate, pool := testCertificate(b)
	server := &tls.Config{Certificates: []tls.Certificate{certificate}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	client := &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	for _, bc := range []struct {
		name           string
		server, client []Option
	}{
		{"plain", nil, nil},
		{"mutual_tls", []Option{WithTLS(server)}, []Option{WithTLS(client)}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			listener := listen(b, "127.0.0.1:0")
			serve(b, borrowServer(bc.server...), listener)
			client := newTestClient(b, bc.client...)
			assertBorrow(b, client, listener.Addr().String(), 1)
			before := client.Counters()
			for b.Loop() {
				assertBorrow(b, client, listener.Addr().String(), 1)
			}
			after := client.Counters()
			b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(b.N), "sent_B/op")
			b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/float64(b.N), "received_B/op")
		})
	}
}
