package rattanlink

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const invalidUTF8 = "a\xff\xfeb"

// replyServer answers each borrow request with the same frame or error.
func replyServer(t *testing.T, reply *rattanv1.PeerFrame, err error) (address string) {
	t.Helper()
	server := NewServer()
	server.Handle(KindBorrow, func(context.Context, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) { return reply, err })
	server.Handle(KindToken, func(context.Context, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
		return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenResponse{TokenResponse: &rattanv1.TokenResponse{Granted: 1}}}, nil
	})
	listener := listen(t, "127.0.0.1:0")
	serve(t, server, listener)
	return listener.Addr().String()
}

func call(t *testing.T, client *Client, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return client.Call(ctx, address, frame)
}

// assertServes checks that another call over the same session succeeds.
func assertServes(t *testing.T, client *Client, address string) {
	t.Helper()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenRequest{TokenRequest: &rattanv1.TokenRequest{}}}
	if reply, err := call(t, client, address, frame); err != nil || reply.GetTokenResponse().GetGranted() != 1 {
		t.Errorf("the next call got %v, %v, want its own response", reply, err)
	}
	if got := client.Counters().Sessions; got != 1 {
		t.Errorf("%d sessions, want the first one still in use", got)
	}
}

// TestReplyOfAnotherKind guards against a frame that counts as the response to a call of
// another kind: its empty body would say that the request succeeded (MIXED).
func TestReplyOfAnotherKind(t *testing.T) {
	for name, reply := range map[string]*rattanv1.PeerFrame{
		"no body":              {},
		"response to another":  {Body: &rattanv1.PeerFrame_UsageResponse{UsageResponse: &rattanv1.UsageResponse{}}},
		"response to work":     {Body: &rattanv1.PeerFrame_WorkResponse{WorkResponse: &rattanv1.WorkResponse{}}},
		"request":              borrowFrame(1),
		"response without any": {Body: &rattanv1.PeerFrame_KnowledgeResponse{}},
	} {
		t.Run(name, func(t *testing.T) {
			var mismatches []Kind
			address := replyServer(t, reply, nil)
			client := newTestClient(t, WithMismatchObserver(func(_ string, request Kind) { mismatches = append(mismatches, request) }))
			if got, err := call(t, client, address, borrowFrame(1)); !errors.Is(err, ErrMismatchedFrame) || IsUnsent(err) {
				t.Errorf("got %v, %v, want %v", got, err, ErrMismatchedFrame)
			}
			if !slices.Equal(mismatches, []Kind{KindBorrow}) {
				t.Errorf("mismatches of %v are observed, want one of %v", mismatches, KindBorrow)
			}
			assertServes(t, client, address)
		})
	}
}

// TestRequestThatCannotBeSent guards against a request that counts as one that may have run
// although nothing of it was sent.
func TestRequestThatCannotBeSent(t *testing.T) {
	invalid, large := borrowFrame(1), borrowFrame(2)
	invalid.GetBorrowRequest().Share = invalidUTF8
	large.GetBorrowRequest().Share = strings.Repeat("x", DefaultMaxFrameBytes)
	for name, frame := range map[string]*rattanv1.PeerFrame{"invalid UTF-8": invalid, "too large": large} {
		t.Run(name, func(t *testing.T) {
			address, client := replyServer(t, nil, errors.New("handled")), newTestClient(t)
			if _, err := call(t, client, address, frame); !IsUnsent(err) || !IsUnsendable(err) {
				t.Errorf("got %v, want an error that says that nothing was sent", err)
			}
			assertServes(t, client, address)
		})
	}
}

// TestResponseThatCannotBeSent guards against a call that waits or loses its connection
// because the response cannot be encoded.
func TestResponseThatCannotBeSent(t *testing.T) {
	invalid := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_Error{Error: &rattanv1.PeerError{Message: invalidUTF8}}}
	for _, test := range []struct {
		name  string
		reply *rattanv1.PeerFrame
		err   error
	}{
		{"invalid UTF-8", invalid, nil},
		{"error with invalid UTF-8", nil, errors.New(invalidUTF8)},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, client := replyServer(t, test.reply, test.err), newTestClient(t)
			var remote *RemoteError
			if _, err := call(t, client, address, borrowFrame(1)); !errors.As(err, &remote) || IsUnsent(err) {
				t.Errorf("got %v, want a *RemoteError", err)
			}
			assertServes(t, client, address)
		})
	}
}
