package rattanlisten

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
