package rattanlink

import (
	"context"
	"net"
	"testing"
	"time"
)

func answersWithin(client *Client, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Answers(ctx, address)
}

// TestAnswers guards against a wait for a daemon that has stopped to answer, and against
// one that is given up although it answers.
func TestAnswers(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		listener := listen(t, "127.0.0.1:0")
		serve(t, borrowServer(), listener)
		client := newTestClient(t)
		address := listener.Addr().String()
		if answersWithin(client, address, time.Second) {
			t.Error("a daemon answers without a session")
		}
		assertBorrow(t, client, address, 1)
		if !answersWithin(client, address, 10*time.Second) {
			t.Error("a running daemon does not answer")
		}
	})
	t.Run("silent", func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		// The far side takes all bytes and answers none, as the host of a stopped process.
		go func() {
			buffer := make([]byte, 1024)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
			}
		}()
		client := newTestClient(t, WithDial(func(context.Context, string) (net.Conn, error) { return near, nil }))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if _, err := client.Call(ctx, "silent:1", borrowFrame(1)); err == nil {
			t.Fatal("a silent daemon has answered a call")
		}
		if answersWithin(client, "silent:1", 200*time.Millisecond) {
			t.Error("a silent daemon answers a ping")
		}
	})
}
