package rattanproxy_test

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
)

// TestLostAnswerToLeadership guards against a failover leadership that nobody has, since the
// answer to the write that took it was lost: no primary is replaced any more.
func TestLostAnswerToLeadership(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 before", waitBound)
	f.store.LoseAnswer(rattancache.LeaderKey)
	f.store.Delete(rattancache.LeaderKey)
	f.await("the leadership is taken without an answer", func() bool { return f.store.HasLostAnswer(rattancache.LeaderKey) })
	f.endpoints["e1"].Crash()
	f.store.Delete("servers/e1")
	f.assertWritesResume(caller)
}
