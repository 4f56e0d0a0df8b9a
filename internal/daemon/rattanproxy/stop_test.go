package rattanproxy_test

import (
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// transactionsAtStop is how many transactions are open when a daemon is stopped.
	transactionsAtStop = 12
	// statementDelay is how long each of their statements takes at its endpoint.
	statementDelay = 40 * time.Millisecond
	// lateCommit is after the first half of stop_timeout, when statements are refused.
	lateCommit = 2100 * time.Millisecond
	// endTime is longer than stop_timeout of the daemons.
	endTime = 5 * time.Second
)

// runUntilRefused runs statements of one transaction until one is refused, and returns the
// refusal, or the error if a statement stayed without an answer.
func (c *testCaller) runUntilRefused() (string, error) {
	for start := time.Now(); time.Since(start) < waitBound; {
		answer, err := c.tryQuery("READ i1")
		if err != nil || !strings.Contains(answer, "COMPLETE") {
			return answer, err
		}
	}
	return "no refusal", nil
}

// TestStopAnswersTransactions guards against statements of open transactions that a stopping
// daemon passes on until its end, and that then stay without an answer (review/5, LOST).
func TestStopAnswersTransactions(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
	time.Sleep(settleTime)
	for _, endpoint := range f.endpoints {
		endpoint.SetDelay(statementDelay)
	}
	callers := make([]*testCaller, transactionsAtStop)
	for i := range callers {
		callers[i] = f.dial(f.daemons[1], "browse", testKey)
		assertContains(t, callers[i].query("BEGIN READ"), "COMPLETE")
		assertContains(t, callers[i].query("READ i1"), "COMPLETE")
	}
	f.daemons[1].stop()
	var pending sync.WaitGroup
	for _, caller := range callers {
		pending.Go(func() {
			answer, err := caller.runUntilRefused()
			if err != nil {
				t.Errorf("a statement stayed without an answer: %v", err)
				return
			}
			assertContains(t, answer, "ERROR ABORTED")
			if answer, err := caller.tryQuery("ROLLBACK"); err != nil || !strings.Contains(answer, "COMPLETE") {
				t.Errorf("the transaction was not ended: %s, %v", answer, err)
			}
			caller.assertClosed()
		})
	}
	pending.Wait()
	select {
	case <-f.daemons[1].stopped:
	case <-time.After(endTime):
		t.Error("the daemon has not ended")
	}
}

// TestStopTakesLateCommit guards against a transaction that is ready for its commit and is
// rolled back, although the daemon has time for the answer.
func TestStopTakesLateCommit(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 before", waitBound)
	assertContains(t, caller.query("BEGIN"), "COMPLETE")
	assertContains(t, caller.query("WRITE i1 late"), "COMPLETE")
	f.daemons[0].stop()
	time.Sleep(lateCommit)
	assertContains(t, caller.query("COMMIT"), "COMPLETE")
	if runs := f.group.Runs("late"); runs != 1 {
		t.Errorf("the write took effect %d times, want once", runs)
	}
	caller.assertClosed()
}
