package rattanproxy_test

import (
	"strings"
	"testing"
	"time"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// restoredBound is the users' limit for a change of the configuration, which also
	// holds once the store is back.
	restoredBound = 4 * time.Second
)

// restore brings the store back from a copy. What operators and endpoints wrote since
// is written again.
func (f *fleet) restore(restoreCopy func(), version int, keys ...string) {
	f.t.Helper()
	f.store.SetDown(true)
	time.Sleep(storeAway)
	restoreCopy()
	f.store.SetDown(false)
	f.register()
	f.configure(version, 1000, keys...)
}

// TestStoreRestored guards against daemons that go on with what the store has lost: a
// cache that takes older revisions for newer ones ignores every change until the
// store's revisions have caught up, and no primary can be replaced.
func TestStoreRestored(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 kept", waitBound)
	time.Sleep(settleTime)
	saved := f.store.Copy()
	// Many changes, so that the revisions of the copy are far behind.
	for range 200 {
		f.configure(2, 1000, testKey)
	}
	caller.retryUntilOK("WRITE i2 later", waitBound)
	f.restore(func() { f.store.Restore(saved) }, 3, testKey, "another-key")
	start := time.Now()
	f.dial(f.daemons[1], "checkout", "another-key")
	if took := time.Since(start); took > restoredBound {
		t.Errorf("a key that was given after the restoration is known after %s, want at most %s", took, restoredBound)
	}
	again := f.dial(f.daemons[0], "checkout", testKey)
	again.retryUntilOK("WRITE i3 after", waitBound)
	assertContains(t, again.query("READ i1"), "ROW kept")
	assertContains(t, again.query("READ i2"), "ROW later")
	// A primary that crashes now is replaced.
	other := f.dial(f.daemons[2], "pick", testKey)
	other.retryUntilOK("WRITE i4 before", waitBound)
	f.endpoints["e1"].Crash()
	f.store.Delete("servers/e1")
	f.assertWritesResume(other)
	for _, daemon := range f.daemons {
		if !strings.Contains(daemon.log.String(), `"store_restored"`) {
			t.Errorf("%s has not logged that the store was restored", daemon.name)
		}
	}
}

// TestStoreLosesSwitchover guards against daemons that go back to an old primary because
// the store came back from a copy from before its switchover.
func TestStoreLosesSwitchover(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 kept", waitBound)
	time.Sleep(settleTime)
	saved := f.store.Copy()
	drained := func() error { return f.store.Put("servers/e1", f.endpoints["e1"].Entry("a", "draining")) }
	if err := drained(); err != nil {
		t.Fatal(err)
	}
	f.await("the primary is replaced", func() bool {
		return strings.Contains(f.storedRecord(), `"primary":"e2"`) || strings.Contains(f.storedRecord(), `"primary":"e3"`)
	})
	primary := f.group.Primary()
	caller.retryUntilOK("WRITE i1 newer", waitBound)
	f.store.SetDown(true)
	time.Sleep(storeAway)
	f.store.Restore(saved)
	f.store.SetDown(false)
	// A daemon that knows nothing of the switchover starts before the record is written
	// again.
	fresh := f.start("vm-4", "b")
	if err := drained(); err != nil {
		t.Fatal(err)
	}
	for _, daemon := range append(f.daemons[:3:3], fresh) {
		reader := f.dial(daemon, "checkout", testKey)
		reader.retryUntilOK("READ i1", waitBound)
		assertContains(t, reader.query("READ i1"), "ROW newer")
	}
	f.await("the record is written again", func() bool { return strings.Contains(f.storedRecord(), `"primary":"`+primary+`"`) })
	if got := f.group.Primary(); got != primary {
		t.Errorf("the primary is %s, want %s: the lost record caused another switchover", got, primary)
	}
}

// storedRecord returns the record of the group's primary in the store.
func (f *fleet) storedRecord() string {
	value, _ := f.store.Value("rattanstream/groups/orders")
	return string(value)
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > waitBound {
			f.t.Fatalf("within %s: not %s", waitBound, what)
		}
	}
}
