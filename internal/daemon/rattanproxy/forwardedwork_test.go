package rattanproxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanstop"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A heldTransaction counts how often it is aborted.
type heldTransaction struct {
	rattanupstream.Transaction
	aborts int
}

func (h *heldTransaction) Abort() { h.aborts++ }

// holdTransaction adds an open transaction of another daemon.
func (f *forwardedWork) holdTransaction(name string) *heldTransaction {
	held := &heldTransaction{}
	f.transactions[name] = &forwardedTransaction{transaction: held, lastUsed: f.proxy.clock.Now()}
	return held
}

// assertNotRun checks that a request is answered as not run.
func (f *forwardedWork) assertNotRun(t *testing.T, request *rattanv1.WorkRequest) {
	t.Helper()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_WorkRequest{WorkRequest: request}}
	reply, err := f.handle(context.Background(), frame)
	if err != nil {
		t.Fatal(err)
	}
	if got := reply.GetWorkResponse().GetFailure(); got != rattanv1.WorkFailure_WORK_FAILURE_UNKNOWN {
		t.Errorf("%s: failure %s, want the statement reported as not run", request.GetKind(), got)
	}
}

// assertWait checks what wait returns within a short time.
func (f *forwardedWork) assertWait(t *testing.T, want error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := f.wait(ctx); !errors.Is(err, want) {
		t.Errorf("wait: got %v, want %v", err, want)
	}
}

// TestClosingOwnerRunsNothing guards against a stopping connection owner that still sends
// statements to endpoints, or drops the results of those in progress (LOST).
func TestClosingOwnerRunsNothing(t *testing.T) {
	f := newIdleProxy(t, "vm-1").forwarded
	held := f.holdTransaction("vm-2/x/1")
	if !f.begin(&rattanv1.WorkRequest{}) {
		t.Fatal("an owner that is not closing refuses a statement")
	}
	f.beginClosing()
	f.beginClosing()
	for _, kind := range []rattanv1.WorkKind{
		rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE, rattanv1.WorkKind_WORK_KIND_BEGIN,
		rattanv1.WorkKind_WORK_KIND_RUN, rattanv1.WorkKind_WORK_KIND_COMMIT,
	} {
		f.assertNotRun(t, &rattanv1.WorkRequest{Kind: kind, Endpoint: "e1", Transaction: "vm-2/x/1"})
	}
	f.assertWait(t, context.DeadlineExceeded)
	if held.aborts != 0 {
		t.Error("a transaction is rolled back while its statement may be in progress")
	}
	f.finish()
	f.assertWait(t, nil)
	if held.aborts != 1 || f.count() != 0 {
		t.Errorf("the transaction was rolled back %d times, %d are open, want it rolled back once", held.aborts, f.count())
	}
}

// TestEndPeerServer guards against a daemon that accepts sessions of other
// daemons after it has taken its last statement.
func TestEndPeerServer(t *testing.T) {
	p := newIdleProxy(t, "vm-1")
	for range 2 {
		if err := p.endForwardedWork(context.Background()); err != nil {
			t.Error(err)
		}
		if err := p.endPeerServer(context.Background()); err != nil {
			t.Error(err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.peerServer.Serve(context.Background(), listener); !errors.Is(err, rattanlink.ErrClosed) {
		t.Errorf("Serve after the end: got %v, want %v", err, rattanlink.ErrClosed)
	}
}

// TestTakesDuringStop guards against statements of other daemons that a stopping owner sends
// to the endpoint so late that it gives the wait for the answer up (LOST).
func TestTakesDuringStop(t *testing.T) {
	const timeout = 6 * time.Second
	begun := time.Unix(1000, 0)
	schedule := rattanstop.New(begun, timeout)
	lastAnswers := schedule.AnswerBy().Sub(begun)
	for _, test := range []struct {
		kind  rattanv1.WorkKind
		until time.Duration
	}{
		{rattanv1.WorkKind_WORK_KIND_READ, timeout / 2},
		{rattanv1.WorkKind_WORK_KIND_WRITE, timeout / 2},
		{rattanv1.WorkKind_WORK_KIND_BEGIN, timeout / 2},
		{rattanv1.WorkKind_WORK_KIND_RUN, timeout / 2},
		{rattanv1.WorkKind_WORK_KIND_COMMIT, lastAnswers - commitAnswerTime},
		{rattanv1.WorkKind_WORK_KIND_ROLLBACK, timeout},
	} {
		if !takes(schedule, test.kind, begun.Add(test.until-time.Millisecond)) {
			t.Errorf("%s is refused before %s", test.kind, test.until)
		}
		if isEnd := test.kind == rattanv1.WorkKind_WORK_KIND_ROLLBACK; takes(schedule, test.kind, begun.Add(test.until)) != isEnd {
			t.Errorf("%s is taken after %s: %t, want %t", test.kind, test.until, !isEnd, isEnd)
		}
		if !takes(nil, test.kind, begun) {
			t.Errorf("%s is refused without a stop", test.kind)
		}
	}
}
