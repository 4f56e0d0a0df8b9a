package rattanproxy

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A lateClock is ahead of its clock, like the time after a daemon was held up.
type lateClock struct {
	rattanclock.Clock
	by time.Duration
}

func (c lateClock) Now() time.Time { return c.Clock.Now().Add(c.by) }

// TestDelegationOfEndedLease guards against grants that another daemon holds for weeks because
// the daemon that delegates them was held up until its lease had ended (ONE).
func TestDelegationOfEndedLease(t *testing.T) {
	p := newIdleProxy(t, "vm-1")
	p.grants.MarkInitialSync(p.boot.Now())
	p.boot = lateClock{p.boot, 2 * grantLifetime}
	knowledge, err := p.relay.handleKnowledge(context.Background(), p.relay.knowledgeRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	watch := &rattanv1.StoreWatchResponse{}
	p.follower.fill(watch, &rattanv1.StoreWatchRequest{Vm: "vm-2"})
	for name, granted := range map[string]uint32{
		"knowledge": knowledge.GetKnowledgeResponse().GetGrantMs(), "watch": watch.GetGrantMs(),
	} {
		if granted != 0 {
			t.Errorf("%s: grants are delegated for %d ms after the end of the lease", name, granted)
		}
	}
}

// TestDelegationIsBounded guards against another daemon's response that delegates grants for
// longer than any lease lasts.
func TestDelegationIsBounded(t *testing.T) {
	for granted, want := range map[uint32]time.Duration{
		0:                                        0,
		10:                                       0,
		500:                                      500*time.Millisecond - delegationMargin,
		uint32(grantLifetime.Milliseconds()):     grantLifetime - delegationMargin,
		math.MaxUint32:                           0,
		uint32(grantLifetime.Milliseconds() + 1): 0,
	} {
		if got := delegatedTime(granted); got != want {
			t.Errorf("%d ms: grants are used for %s, want %s", granted, got, want)
		}
	}
}
