package rattandaemon

import (
	"context"
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A fixedPeer answers every call with one frame.
type fixedPeer struct {
	PeerClient
	frame *rattanv1.PeerFrame
}

func (p fixedPeer) Call(context.Context, string, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	return p.frame, nil
}

// TestUnprovenForward guards against an answer of another daemon that is told as the
// success of a transaction's call although it is another answer or not whole.
func TestUnprovenForward(t *testing.T) {
	execute := &rattanv1.ForwardRequest{Call: "execute", Transaction: "t", Sequence: 1, Statement: &rattanv1.Statement{Text: "s"}}
	commit := &rattanv1.ForwardRequest{Call: "commit", Transaction: "t", RequestId: "w"}
	rollback := &rattanv1.ForwardRequest{Call: "rollback", Transaction: "t"}
	forwarded := func(response *rattanv1.ForwardResponse) *rattanv1.PeerFrame {
		return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ForwardResponse{ForwardResponse: response}}
	}
	committed := func(id string) *rattanv1.ForwardResponse {
		return &rattanv1.ForwardResponse{RequestId: id, Group: "shop/g", Position: &rattanv1.Position{Term: 1, Index: 2}}
	}
	loan := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_BorrowResponse{BorrowResponse: &rattanv1.BorrowResponse{}}}
	for _, tc := range []struct {
		name    string
		request *rattanv1.ForwardRequest
		frame   *rattanv1.PeerFrame
		ok      bool
	}{
		{"result", execute, forwarded(&rattanv1.ForwardResponse{Result: &rattanv1.Result{}}), true},
		{"commit", commit, forwarded(committed("w")), true},
		{"rollback", rollback, forwarded(&rattanv1.ForwardResponse{}), true},
		{"statement without a result", execute, forwarded(&rattanv1.ForwardResponse{}), false},
		{"statement with the answer to a commit", execute, forwarded(committed("w")), false},
		{"commit without a position", commit, forwarded(&rattanv1.ForwardResponse{RequestId: "w"}), false},
		{"commit of another request", commit, forwarded(committed("v")), false},
		{"commit with the answer to a statement", commit, forwarded(&rattanv1.ForwardResponse{Result: &rattanv1.Result{}}), false},
		{"commit with a loan", commit, loan, false},
		{"rollback with a loan", rollback, loan, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			self := rattanmember.Identity{VM: "vm-1", Incarnation: 1}
			members := rattanmember.New(self, rattangossip.NewStore(rattanclock.System()), rattanclock.System())
			link := &peerLink{client: fixedPeer{frame: tc.frame}, members: members}
			_, err := link.Forward(t.Context(), "vm-1", tc.request)
			refusal, isRefusal := rattanerr.AsRefusal(err)
			if (err == nil) != tc.ok || err != nil && (!isRefusal || refusal.RunState != rattanerr.Unknown) {
				t.Errorf("got error %v, want success %t, and otherwise a refusal with run state unknown", err, tc.ok)
			}
		})
	}
}
