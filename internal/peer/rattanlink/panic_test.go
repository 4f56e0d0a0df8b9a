package rattanlink

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestPanicInHandler guards against one message whose handler panics and so ends the
// whole process.
func TestPanicInHandler(t *testing.T) {
	panics := make(chan *PanicError, 1)
	server := borrowServer(WithPanicHandler(func(err *PanicError) { panics <- err }))
	server.Handle(KindToken, func(context.Context, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
		var items []int
		return nil, errorOf(items[len(items)])
	})
	listener := listen(t, "127.0.0.1:0")
	serve(t, server, listener)
	client := newTestClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenRequest{TokenRequest: &rattanv1.TokenRequest{}}}
	if _, err := client.Call(ctx, listener.Addr().String(), frame); err == nil || !strings.Contains(err.Error(), "panic") {
		t.Errorf("got error %v, want one that names the panic", err)
	}
	if err := <-panics; err.Kind != KindToken || !strings.Contains(err.Stack, "panic_test.go") {
		t.Errorf("the panic of kind %s is reported with the stack %s", err.Kind, err.Stack)
	}
	assertBorrow(t, client, listener.Addr().String(), 7)
}

func errorOf(int) error { return nil }
