package rattanproxy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// restoredBound is the users' limit for a change of the configuration, which also
	// holds once the store is back.
	restoredBound = 4 * time.Second
)

// restore takes the store away for a moment and brings it back from a copy.
func (f *fleet) restore(saved rattankvserver.Copy) {
	f.store.SetDown(true)
	time.Sleep(storeAway)
	f.store.Restore(saved)
	f.store.SetDown(false)
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
	f.restore(saved)
	f.register()
	f.configure(3, 1000, testKey, "another-key")
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
	f.restore(saved)
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

const (
	// servedBound is the goal for the longest time without writes at a daemon after the
	// store's return.
	servedBound = 2 * time.Second
	// callsBound is the goal for the calls of a daemon in callsWindow after the store's
	// return, in addition to the calls of an equal time before.
	callsBound  = 8
	callsWindow = 10 * time.Second
	// platformPage is the page size of the users' store.
	platformPage = 500
)

// TestRestorationCost guards against daemons that serve no writes for long after the
// store was restored, that all read it again and again, and that expel each other or
// replace primaries because entries went with the copy.
func TestRestorationCost(t *testing.T) {
	t.Parallel()
	const daemons = 7
	f := newFleet(t, daemons)
	f.store.SetPageSize(platformPage)
	callers := make([]*testCaller, daemons)
	for i, daemon := range f.daemons {
		callers[i] = f.dial(daemon, "checkout", testKey)
		callers[i].retryUntilOK("WRITE i1 before", waitBound)
	}
	time.Sleep(settleTime)
	before := f.chargedCalls()
	time.Sleep(callsWindow)
	usual := f.chargedCalls() - before
	expelled, switched := f.countLog(`"vm_expelled"`), f.countLog(`"switch_begin"`)
	saved := f.store.Copy()
	time.Sleep(settleTime)
	f.store.SetDown(true)
	time.Sleep(storeAway)
	f.store.Restore(saved)
	before = f.chargedCalls()
	f.store.SetDown(false)
	returned := time.Now()
	f.register()
	f.configure(2, 1000, testKey)
	longest := time.Duration(0)
	for time.Since(returned) < callsWindow {
		for _, caller := range callers {
			longest = max(longest, caller.retryUntilOK("WRITE i1 after", waitBound))
		}
		time.Sleep(20 * time.Millisecond)
	}
	extra := float64(f.chargedCalls()-before-usual) / daemons
	t.Logf("longest time until a write was served: %s; %.1f calls a daemon more than usual", longest, extra)
	if longest > servedBound {
		t.Errorf("a write was served after %s, want at most %s", longest, servedBound)
	}
	if extra > callsBound {
		t.Errorf("%.1f calls of a daemon more than usual in %s, want at most %d", extra, callsWindow, callsBound)
	}
	if got := f.countLog(`"vm_expelled"`) - expelled; got != 0 {
		t.Errorf("%d daemons were expelled", got)
	}
	if got := f.countLog(`"switch_begin"`) - switched; got != 0 {
		t.Errorf("%d switchovers began", got)
	}
}

// chargedCalls returns the number of the daemons' calls to the store but for renewals of
// leases, which are charged a tenth.
func (f *fleet) chargedCalls() int {
	count := 0
	for path, calls := range f.store.Calls() {
		if path != "/kv-keep" {
			count += calls
		}
	}
	return count
}

// countLog returns how often the daemons have logged an event.
func (f *fleet) countLog(event string) int {
	count := 0
	for _, daemon := range f.daemons {
		count += strings.Count(daemon.log.String(), event)
	}
	return count
}

// TestFreshDaemonAsksForRecords guards against a daemon that starts while the store lacks
// a switchover and uses the old primary, because no daemon that knows better reaches the
// store.
func TestFreshDaemonAsksForRecords(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 kept", waitBound)
	time.Sleep(settleTime)
	saved := f.store.Copy()
	if err := f.store.Put("servers/e1", f.endpoints["e1"].Entry("a", "draining")); err != nil {
		t.Fatal(err)
	}
	f.await("the primary is replaced", func() bool {
		return f.group.Primary() != "e1" && strings.Contains(f.storedRecord(), `"switching":false`)
	})
	primary := f.group.Primary()
	for _, daemon := range f.daemons {
		f.store.Refuse(daemon.name, true)
	}
	f.store.Restore(saved)
	f.register()
	fresh := f.start("vm-3", "a")
	f.dial(fresh, "checkout", testKey).retryUntilOK("WRITE i1 after", waitBound)
	if got := f.group.Primary(); got != primary {
		t.Errorf("the primary is %s, want %s", got, primary)
	}
}
