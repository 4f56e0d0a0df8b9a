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

func start(t *testing.T, handler http.Handler, options ...Option) (*Server, context.CancelFunc, <-chan error) {
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

// TestGracefulShutdown guards against a planned stop that cuts running requests off.
func TestGracefulShutdown(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	server, cancel, done := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "whole answer")
	}), WithShutdownTimeout(time.Minute))
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	<-running
	cancel()
	close(finish)
	if got := <-answer; got != "whole answer" {
		t.Errorf("got %q", got)
	}
	<-done
	http.DefaultClient.CloseIdleConnections()
}

// TestConnectionLimit guards against more connections than the VM can carry.
func TestConnectionLimit(t *testing.T) {
	server, cancel, done := start(t, http.NotFoundHandler(), WithConnectionLimit(1))
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
	answered := make(chan struct{})
	go func() {
		_, _ = second.Read(make([]byte, 1))
		close(answered)
	}()
	select {
	case <-answered:
		t.Error("second connection was served beside the first")
	case <-time.After(50 * time.Millisecond):
	}
	first.Close()
	<-answered
	second.Close()
	cancel()
	<-done
}
