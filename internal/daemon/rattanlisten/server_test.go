package rattanlisten

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, handler http.Handler, options ...Option) (*Server, context.CancelFunc, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New("test", listener, handler, options...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	return server, cancel, done
}

// TestGracefulShutdown guards against a graceful stop that aborts running requests.
func TestGracefulShutdown(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	server, cancel, done := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "complete response")
	}), WithShutdownTimeout(time.Minute))
	received := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address())
		if err != nil {
			received <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		received <- string(body)
	}()
	<-running
	cancel()
	close(finish)
	if got := <-received; got != "complete response" {
		t.Errorf("response to the request that ran during the stop is %q", got)
	}
	<-done
	http.DefaultClient.CloseIdleConnections()
}

// TestConnectionLimit guards against a server that serves more connections at a
// time than its limit, which the resources of the VM set.
func TestConnectionLimit(t *testing.T) {
	server, cancel, done := startServer(t, http.NotFoundHandler(), WithConnectionLimit(1))
	first, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	second, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	request := []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, _ = first.Write(request)
	_, _ = first.Read(make([]byte, 1))
	_, _ = second.Write(request)
	served := make(chan struct{})
	go func() {
		_, _ = second.Read(make([]byte, 1))
		close(served)
	}()
	select {
	case <-served:
		t.Error("second connection was served while the first was open")
	case <-time.After(50 * time.Millisecond):
	}
	first.Close()
	<-served
	second.Close()
	cancel()
	<-done
}
