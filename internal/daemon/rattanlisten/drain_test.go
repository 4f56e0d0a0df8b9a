package rattanlisten

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// requestTime is a time after the begin of the stop at which its drain is in progress.
const requestTime = 4 * drainInterval

// drainingServer returns a server with a generous shutdown timeout.
func drainingServer(t *testing.T) (*Server, context.CancelFunc, <-chan error) {
	t.Helper()
	return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "complete response")
	}), WithShutdownTimeout(time.Minute))
}

func dialServer(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// assertAnswered sends a request on conn and checks that it gets its whole response. It
// returns whether the server closes the connection.
func assertAnswered(t *testing.T, conn net.Conn) bool {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatalf("request: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("response: %v", err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "complete response" {
		t.Fatalf("response is %q, error %v", body, err)
	}
	return response.Close
}

// assertStopped waits for the end of Serve.
func assertStopped(t *testing.T, done <-chan error, limit time.Duration) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatalf("server still runs after %s", limit)
	}
}

// TestDrainAnswers guards against a stop that reads a request on an open connection and
// closes the connection without a response.
func TestDrainAnswers(t *testing.T) {
	t.Run("new connection", func(t *testing.T) {
		server, stop, done := drainingServer(t)
		conn := dialServer(t, server)
		assertAnswered(t, dialServer(t, server)) // so that the server has accepted conn
		stop()
		time.Sleep(requestTime)
		if !assertAnswered(t, conn) {
			t.Error("response does not ask the client to close the connection")
		}
		assertStopped(t, done, 10*time.Second)
	})
	t.Run("kept connection", func(t *testing.T) {
		server, stop, done := drainingServer(t)
		conn := dialServer(t, server)
		if assertAnswered(t, conn) {
			t.Error("connection is closed before the stop")
		}
		stop()
		time.Sleep(requestTime)
		if !assertAnswered(t, conn) {
			t.Error("response does not ask the client to close the connection")
		}
		assertStopped(t, done, 10*time.Second)
	})
	t.Run("HTTP/2", func(t *testing.T) {
		server, stop, done := drainingServer(t)
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		defer client.CloseIdleConnections()
		for range 2 {
			response, err := client.Get("http://" + server.Address())
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "complete response" {
				t.Errorf("response is %q, error %v", body, err)
			}
			_ = response.Body.Close()
			stop()
			time.Sleep(requestTime)
		}
		assertStopped(t, done, 10*time.Second)
	})
}

// TestDrainWaitsForHandler guards against a stop that takes a connection for quiet while
// a handler runs on it, in each protocol.
func TestDrainWaitsForHandler(t *testing.T) {
	const handlerTime = 2 * quietLooks * drainInterval
	unencrypted := &http.Protocols{}
	unencrypted.SetUnencryptedHTTP2(true)
	encrypted := &http.Protocols{}
	encrypted.SetHTTP2(true)
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	defer certificate.Close()
	serverTLS := &tls.Config{Certificates: certificate.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}
	clientTLS := &tls.Config{InsecureSkipVerify: true}
	for _, tc := range []struct {
		name, scheme string
		transport    *http.Transport
		options      []Option
	}{
		{"HTTP/1.1", "http", &http.Transport{}, nil},
		{"HTTP/2", "http", &http.Transport{Protocols: unencrypted}, nil},
		{"HTTP/1.1 with TLS", "https", &http.Transport{TLSClientConfig: clientTLS}, []Option{WithTLS(serverTLS)}},
		{"HTTP/2 with TLS", "https", &http.Transport{TLSClientConfig: clientTLS.Clone(), Protocols: encrypted}, []Option{WithTLS(serverTLS)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			running := make(chan string, 1)
			server, stop, done := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				running <- r.Proto
				time.Sleep(handlerTime)
				_, _ = io.WriteString(w, "complete response")
			}), append(tc.options, WithShutdownTimeout(time.Minute), WithConnectionLimit(10))...)
			client := &http.Client{Transport: tc.transport}
			defer client.CloseIdleConnections()
			go func() {
				t.Logf("handler runs with %s", <-running)
				stop()
			}()
			response, err := client.Get(tc.scheme + "://" + server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "complete response" {
				t.Errorf("response is %q, error %v", body, err)
			}
			assertStopped(t, done, 10*time.Second)
		})
	}
}

// TestDrainEnds guards against a connection without requests that delays the stop.
func TestDrainEnds(t *testing.T) {
	server, stop, done := drainingServer(t)
	unused, kept := dialServer(t, server), dialServer(t, server)
	assertAnswered(t, kept)
	stop()
	assertStopped(t, done, 3*time.Second)
	for _, conn := range []net.Conn{unused, kept} {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("connection is open after the stop")
		}
	}
}
