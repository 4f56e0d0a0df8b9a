package rattanproxy_test

import (
	"strings"
	"testing"
	"time"
)

// cutAfterRestart is how long a cut of the old primary lasts after the daemons have been
// started again.
const cutAfterRestart = 700 * time.Millisecond

// restartAll stops all daemons and starts as many with the same names. Between the two it
// calls do.
func (f *fleet) restartAll(do func()) {
	f.t.Helper()
	count := len(f.daemons)
	f.stopAll()
	f.daemons = nil
	do()
	f.startAll(count)
}

func (f *fleet) setCut(id string, isCut bool) {
	f.t.Helper()
	if err := f.endpoints[id].SetCut(isCut); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) assertNoDeposedWrites() {
	f.t.Helper()
	if writes := f.group.DeposedWrites(); writes > 0 {
		f.t.Errorf("%d writes ran at a deposed primary", writes)
	}
}

// TestRestoredRecordOfOldPrimary guards against writes at an old primary after all daemons
// have been started again and the store came back from a copy from before its switchover, so
// that only the endpoints know of the new one (review/2, ONE).
func TestRestoredRecordOfOldPrimary(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 kept", waitBound)
	time.Sleep(settleTime)
	saved := f.store.Copy()
	f.setCut("e1", true)
	f.assertWritesResume(f.dial(f.daemons[1], "checkout", testKey))
	primary := f.group.Primary()
	f.restartAll(func() { f.restore(saved) })
	time.AfterFunc(cutAfterRestart, func() { f.setCut("e1", false) })
	for _, daemon := range f.daemons {
		writer := f.dial(daemon, "checkout", testKey)
		writer.retryUntilOK("WRITE i2 again", switchoverBound)
		writer.writeRepeatedly(settleTime, switchoverBound)
	}
	f.assertNoDeposedWrites()
	if got := f.group.Primary(); got != primary {
		t.Errorf("the primary is %s, want %s, which led the group all the while", got, primary)
	}
	assertContains(t, f.storedRecord(), `"primary":"`+primary+`"`)
}

// TestUnrecordedPromote guards against a group that serves no writes any more because the
// recorded primary is a replica, which nobody notices: it answers, and refuses each write.
func TestUnrecordedPromote(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 kept", waitBound)
	time.Sleep(settleTime)
	if !f.group.Promote("e2") {
		t.Fatal("e2 was not promoted")
	}
	f.register()
	f.assertWritesResume(caller)
	if !strings.Contains(f.storedRecord(), `"primary":"e2"`) {
		t.Errorf("the record is %s, want the primary e2", f.storedRecord())
	}
}
