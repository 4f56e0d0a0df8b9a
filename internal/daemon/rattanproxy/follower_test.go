package rattanproxy_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// followedFleet is a number of daemons of which at most five watch the store: two
	// in each of the two failure domains, and the failover leader.
	followedFleet   = 12
	followedWatches = 5
	// calmTime is how long the calls to the store are counted.
	calmTime = 6 * time.Second
	// followedChangeBound is the time within which a change reaches all daemons. The
	// smallest fleets with followers have a config_apply_ms of 5 s.
	followedChangeBound = 5 * time.Second
)

// TestFollowers guards against calls to the store in proportion to the daemons, and
// against daemons that do not learn of changes because others watch for them.
func TestFollowers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, followedFleet)
	caller := f.dial(f.daemons[followedFleet-1], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 first", waitBound)
	// Members are renewed for some seconds after the start.
	time.Sleep(5 * settleTime)
	t.Run("calls do not grow with the fleet", func(t *testing.T) {
		before := f.store.Calls()
		time.Sleep(calmTime)
		after := f.store.Calls()
		// A watch without changes returns after a second.
		limit := followedWatches * (int(calmTime/time.Second) + 2)
		if watches := after["/kv-watch"] - before["/kv-watch"]; watches > limit {
			t.Errorf("%d watches in %s, want at most %d", watches, calmTime, limit)
		}
		if reads := after["/kv-range"] - before["/kv-range"]; reads > 0 {
			t.Errorf("%d full reads in a calm time", reads)
		}
	})
	t.Run("a new key works everywhere", func(*testing.T) {
		f.configure(2, 1000, "another-key")
		f.assertKeyWorks("another-key", followedChangeBound)
	})
	t.Run("a switchover reaches all daemons", func(t *testing.T) {
		other := f.dial(f.daemons[0], "checkout", "another-key")
		f.endpoints[f.group.Primary()].Crash()
		f.assertWritesResume(other)
		last := f.dial(f.daemons[followedFleet-1], "checkout", "another-key")
		last.retryUntilOK("WRITE i1 third", switchoverBound)
		assertContains(t, other.query("READ i1"), "ROW third")
	})
	t.Run("changes arrive after watchers have ended", func(*testing.T) {
		for _, daemon := range f.daemons[:followedFleet/2] {
			daemon.stop()
			<-daemon.stopped
		}
		f.daemons = f.daemons[followedFleet/2:]
		f.configure(3, 1000, "third-key")
		f.assertKeyWorks("third-key", followedChangeBound)
	})
}

// assertKeyWorks checks that all daemons accept a key within a bound.
func (f *fleet) assertKeyWorks(key string, bound time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, daemon := range f.daemons {
		for !acceptsKey(daemon, key) {
			if time.Since(start) > bound {
				f.t.Errorf("%s does not accept the new key after %s", daemon.name, bound)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// acceptsKey reports whether a daemon opens a session with a key.
func acceptsKey(daemon *testDaemon, key string) bool {
	conn, err := net.Dial("tcp", daemon.callers)
	if err != nil {
		return false
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitBound)); err != nil {
		return false
	}
	if _, err := fmt.Fprintf(conn, "START browse %s\r\n", key); err != nil {
		return false
	}
	answer := make([]byte, len("READY I"))
	_, err = conn.Read(answer)
	return err == nil && strings.HasPrefix(string(answer), "READY I")
}
