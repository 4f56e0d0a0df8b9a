package rattanproxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// openSession returns owners with a session to the daemon at address, which does not
// answer the first call in time.
func openSession(t *testing.T, address string) *owners {
	t.Helper()
	client := rattanlink.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkRequest{WorkRequest: &rattanv1.WorkRequest{}}}
	if _, err := client.Call(ctx, address, frame); err == nil {
		t.Fatal("the daemon has answered")
	}
	return newOwners(&Proxy{peers: client})
}

func testListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestWaitWhileOwnerAnswers guards against a read that is given up and run again although
// it only waits at an owner whose daemon is well: lookups run up to 410 ms.
func TestWaitWhileOwnerAnswers(t *testing.T) {
	t.Parallel()
	listener := testListener(t)
	server := rattanlink.NewServer()
	server.Handle(rattanlink.KindWork, func(ctx context.Context, _ *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	serving, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = server.Serve(serving, listener) }()
	owners := openSession(t, listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 2*forwardTimeout)
	defer cancel()
	owners.cancelWhenSilent(ctx, cancel, listener.Addr().String())
	if ctx.Err() != context.DeadlineExceeded {
		t.Errorf("the call ended with %v, want to wait until its deadline", ctx.Err())
	}
}

// TestSilentOwnerIsLeft guards against a read that waits until its deadline for an owner
// whose daemon has stopped.
func TestSilentOwnerIsLeft(t *testing.T) {
	t.Parallel()
	listener := testListener(t)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	owners := openSession(t, listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	owners.cancelWhenSilent(ctx, cancel, listener.Addr().String())
	if ctx.Err() != context.Canceled {
		t.Errorf("the call ended with %v, want to be given up", ctx.Err())
	}
}
