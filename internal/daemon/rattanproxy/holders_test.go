package rattanproxy_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
)

const (
	// forgetTime is longer than an endpoint without an entry is used.
	forgetTime = 4 * time.Second
	// refusalBound is far below the time that a request may wait for a primary.
	refusalBound = 100 * time.Millisecond
)

// unlistedMu guards fleet.unlisted, which promotes read.
var unlistedMu sync.Mutex

func (f *fleet) isUnlisted(id string) bool {
	unlistedMu.Lock()
	defer unlistedMu.Unlock()
	return f.unlisted[id]
}

func (f *fleet) setUnlisted(id string, isUnlisted bool) {
	unlistedMu.Lock()
	defer unlistedMu.Unlock()
	if f.unlisted == nil {
		f.unlisted = make(map[string]bool)
	}
	f.unlisted[id] = isUnlisted
}

// lose crashes endpoints, and their entries expire.
func (f *fleet) lose(ids ...string) {
	for _, id := range ids {
		f.endpoints[id].Crash()
		f.setUnlisted(id, true)
	}
	for _, id := range ids {
		f.store.Delete("servers/" + id)
	}
}

// returnWith starts endpoints again.
func (f *fleet) returnWith(start func(id string) error, ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		if err := start(id); err != nil {
			f.t.Fatal(err)
		}
		f.setUnlisted(id, false)
	}
	f.register()
}

func (f *fleet) withLog(id string) error    { return f.endpoints[id].Restart() }
func (f *fleet) withoutLog(id string) error { return f.endpoints[id].RestartEmpty() }

// writeAll writes data in order; each write must be acknowledged.
func (c *testCaller) writeAll(prefix string, count int) []string {
	c.t.Helper()
	var data []string
	for n := range count {
		data = append(data, fmt.Sprint(prefix, n))
		c.retryUntilOK("WRITE i1 "+data[n], waitBound)
	}
	return data
}

// assertPromoted checks the last promoted endpoint, and that each promoted log has all of the
// given data.
func (f *fleet) assertPromoted(id string, acknowledged []string) {
	f.t.Helper()
	promotes := f.group.Promotes()
	if len(promotes) == 0 || promotes[len(promotes)-1].Endpoint != id {
		f.t.Errorf("promotes %v, want the last one of %s", promotes, id)
	}
	f.assertNoneLost(acknowledged)
}

func (f *fleet) assertNoneLost(acknowledged []string) {
	f.t.Helper()
	for _, promoted := range f.group.Promotes() {
		for _, data := range acknowledged {
			if !slices.Contains(promoted.Data, data) {
				f.t.Errorf("%s was promoted without %s, which was acknowledged", promoted.Endpoint, data)
			}
		}
	}
}

// assertRefusedAtOnce checks that a write is refused as not run without a wait.
func (f *fleet) assertRefusedAtOnce(daemon *testDaemon) {
	f.t.Helper()
	caller := f.dial(daemon, "checkout", testKey)
	start := time.Now()
	answer := caller.query("WRITE i9 refused")
	if took := time.Since(start); !strings.HasPrefix(answer, "ERROR BUSY") || took > refusalBound {
		f.t.Errorf("a write got %q after %s, want a refusal at once", answer, took)
	}
}

// newSyncFleet returns a fleet with one synchronous replica, of which e3 has received nothing
// of the returned writes.
func newSyncFleet(t *testing.T) (*fleet, []string) {
	f := newFleetWithoutDaemons(t)
	f.syncReplicas, f.hasMetrics = 1, true
	f.group.SetSyncReplicas(1)
	f.configure(2, 1000, testKey)
	f.startAll(3)
	f.dial(f.daemons[0], "checkout", testKey).writeAll("before", 3)
	time.Sleep(settleTime)
	f.endpoints["e3"].SetDeaf(true)
	acknowledged := f.dial(f.daemons[1], "checkout", testKey).writeAll("kept", 5)
	return f, acknowledged
}

// TestHoldersExpire guards against the loss of acknowledged commits: the entries of the
// primary and of the only synchronous replica had expired, and the third endpoint was promoted
// without their commits (review/7, LOST).
func TestHoldersExpire(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		meanwhile func(f *fleet)
	}{
		{"the leader stays", func(*fleet) {}},
		{"all daemons start after that", func(f *fleet) { f.restartAll(func() {}) }},
		{"the store is away", func(f *fleet) {
			f.store.SetDown(true)
			time.Sleep(settleTime)
			f.store.SetDown(false)
		}},
		{"the store comes back from an older copy", func(f *fleet) { f.restore(f.store.Copy()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, acknowledged := newSyncFleet(t)
			f.lose("e1", "e2")
			f.endpoints["e3"].SetDeaf(false)
			time.Sleep(settleTime)
			test.meanwhile(f)
			time.Sleep(forgetTime)
			if promotes := f.group.Promotes(); len(promotes) > 0 {
				t.Errorf("%s was promoted although the others hold acknowledged commits", promotes[0].Endpoint)
			}
			f.assertRefusedAtOnce(f.daemons[0])
			f.returnWith(f.withLog, "e2")
			f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
			f.assertPromoted("e2", acknowledged)
		})
	}
}

// TestHolderReplaced guards against a switchover that waits for ever for an endpoint whose log
// was transferred to a new one at its address.
func TestHolderReplaced(t *testing.T) {
	t.Parallel()
	f, acknowledged := newSyncFleet(t)
	f.lose("e1", "e2")
	time.Sleep(forgetTime)
	replacement, err := f.group.Replace(f.endpoints["e2"], "e4")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replacement.Crash)
	delete(f.endpoints, "e2")
	f.endpoints["e4"] = replacement
	f.endpoints["e3"].SetDeaf(false)
	f.register()
	f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
	f.assertPromoted("e4", acknowledged)
}

// TestHolderAbandoned guards against a group without a primary for ever after endpoints with
// acknowledged commits are lost for good: an operator says so.
func TestHolderAbandoned(t *testing.T) {
	t.Parallel()
	f, _ := newSyncFleet(t)
	f.lose("e1", "e2")
	f.endpoints["e3"].SetDeaf(false)
	time.Sleep(forgetTime)
	f.assertRefusedAtOnce(f.daemons[2])
	assertContains(t, get(t, "http://"+f.daemons[2].metrics+"/metrics"), "groups_awaiting_logs 1\n")
	assertContains(t, get(t, "http://"+f.daemons[2].metrics+"/dump"), `"awaited":{"orders":["e1","e2"]}`)
	for _, id := range []string{"e1", "e2"} {
		if err := f.store.Put(rattancache.AbandonedPrefix+id, "lost"); err != nil {
			t.Fatal(err)
		}
	}
	f.await("e3 is promoted", func() bool { return f.group.Primary() == "e3" })
	f.returnWith(f.withoutLog, "e2")
	f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
	f.assertPromoted("e3", nil)
}

// TestLeftOutLogExpires guards against the promotion of a log that a later term has left out:
// the entries of the endpoints with the better logs had expired, and it was the only one that
// was still known (review/8, STALE).
func TestLeftOutLogExpires(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		meanwhile func(f *fleet)
	}{
		{"the leader stays", func(*fleet) {}},
		{"all daemons start after that", func(f *fleet) { f.restartAll(func() {}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.dial(f.daemons[0], "checkout", testKey).writeAll("before", 3)
			time.Sleep(settleTime)
			for _, id := range []string{"e2", "e3"} {
				f.endpoints[id].SetDeaf(true)
			}
			f.dial(f.daemons[1], "checkout", testKey).writeAll("left-out", 2)
			f.lose("e1")
			for _, id := range []string{"e2", "e3"} {
				f.endpoints[id].SetDeaf(false)
			}
			writer := f.dial(f.daemons[0], "checkout", testKey)
			writer.retryUntilOK("WRITE i2 new-term", switchoverBound)
			acknowledged := writer.writeAll("next", 4)
			time.Sleep(settleTime)
			f.lose("e2", "e3")
			f.returnWith(f.withLog, "e1")
			time.Sleep(settleTime)
			test.meanwhile(f)
			time.Sleep(forgetTime)
			if promotes := f.group.Promotes(); len(promotes) > 1 {
				t.Errorf("%s was promoted with a log that lacks the last term", promotes[1].Endpoint)
			}
			f.assertRefusedAtOnce(f.daemons[0])
			f.returnWith(f.withLog, "e2", "e3")
			reader := f.dial(f.daemons[1], "checkout", testKey)
			f.assertWritesResume(reader)
			for _, data := range acknowledged {
				if !slices.Contains(f.group.PrimaryData(), data) {
					t.Errorf("%s leads the group without %s", f.group.Primary(), data)
				}
			}
		})
	}
}

// TestHolderStartsEmpty guards against an endpoint that counts as a witness of what it held
// before it was started again under its id, without a log (review/6, LOST).
func TestHolderStartsEmpty(t *testing.T) {
	t.Parallel()
	f, acknowledged := newSyncFleet(t)
	f.lose("e1", "e2")
	f.endpoints["e3"].SetDeaf(false)
	time.Sleep(settleTime)
	f.returnWith(f.withoutLog, "e2")
	time.Sleep(forgetTime)
	if promotes := f.group.Promotes(); len(promotes) > 0 {
		t.Errorf("%s was promoted although the primary holds acknowledged commits", promotes[0].Endpoint)
	}
	f.returnWith(f.withLog, "e1")
	f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
	f.assertNoneLost(acknowledged)
}

// TestDrainedHolder guards against a group that cannot replace its primary any more, because a
// synchronous replica has left in order.
func TestDrainedHolder(t *testing.T) {
	t.Parallel()
	f, _ := newSyncFleet(t)
	f.endpoints["e3"].SetDeaf(false)
	if err := f.store.Put("servers/e2", f.endpoints["e2"].Entry("b", "draining")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	f.lose("e2")
	f.await("e2 is no longer among the holders", func() bool { return !strings.Contains(f.storedRecord(), `"e2"`) })
	acknowledged := f.dial(f.daemons[2], "checkout", testKey).writeAll("later", 3)
	f.lose("e1")
	f.await("e3 is promoted", func() bool { return f.group.Primary() == "e3" })
	f.assertPromoted("e3", acknowledged)
}

// TestSettingRaised guards against the loss of commits that were acknowledged before the number
// of synchronous replicas was raised.
func TestSettingRaised(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.dial(f.daemons[0], "checkout", testKey).writeAll("before", 3)
	time.Sleep(settleTime)
	for _, id := range []string{"e2", "e3"} {
		f.endpoints[id].SetDeaf(true)
	}
	acknowledged := f.dial(f.daemons[1], "checkout", testKey).writeAll("kept", 2)
	f.syncReplicas = 1
	f.configure(2, 1000, testKey)
	f.group.SetSyncReplicas(1)
	time.Sleep(settleTime)
	f.lose("e1")
	for _, id := range []string{"e2", "e3"} {
		f.endpoints[id].SetDeaf(false)
	}
	time.Sleep(forgetTime)
	if promotes := f.group.Promotes(); len(promotes) > 0 {
		t.Errorf("%s was promoted although only e1 holds acknowledged commits", promotes[0].Endpoint)
	}
	f.returnWith(f.withLog, "e1")
	f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
	f.assertNoneLost(acknowledged)
	f.await("the setting is confirmed", func() bool { return strings.Contains(f.storedRecord(), `"sync_replicas":1`) })
	f.lose("e1")
	f.await("another endpoint is promoted", func() bool { return f.group.Primary() != "e1" })
	f.assertNoneLost(acknowledged)
}
