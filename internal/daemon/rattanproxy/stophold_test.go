package rattanproxy_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// idleStopBound is when a daemon has stopped whose sessions are all idle: they close 2.2 s
	// after the signal.
	idleStopBound = 4 * time.Second
)

// TestStopIgnoresUnfinishedMessage guards against a caller that has sent half a message before
// the stop, sends no more, and holds the daemon until the end of stop_timeout.
func TestStopIgnoresUnfinishedMessage(t *testing.T) {
	t.Parallel()
	f := newFleetWithoutDaemons(t)
	f.stopTimeout = deployedStopTimeout
	f.startAll(1)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 before", waitBound)
	if _, err := fmt.Fprint(caller.conn, "QUERY id9 WRI"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lastStatementDelay)
	begun := time.Now()
	f.daemons[0].stop()
	<-f.daemons[0].stopped
	if took := time.Since(begun); took > idleStopBound {
		t.Errorf("the stop took %s, want at most %s", took, idleStopBound)
	}
}
