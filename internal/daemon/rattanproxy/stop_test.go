package rattanproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
)

const (
	// transactionsAtStop is how many transactions are open when a daemon is stopped.
	transactionsAtStop = 12
	// statementDelay is how long each of their statements takes at its endpoint.
	statementDelay = 40 * time.Millisecond
	// lateCommit is after the first half of stop_timeout, when statements are refused.
	lateCommit = 2100 * time.Millisecond
	// lastStatementDelay is how long a statement takes that arrives shortly before the exit.
	lastStatementDelay = 200 * time.Millisecond
	// beforeIdleClose is after the signal, shortly before idle sessions are closed.
	beforeIdleClose = 2150 * time.Millisecond
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

// A revokeGate is a store that reports when a daemon revokes its lease, and answers when it
// is told to.
type revokeGate struct {
	rattankv.Store
	revoked, released chan struct{}
}

func (g *revokeGate) RevokeLease(ctx context.Context, _ rattankv.Lease) error {
	close(g.revoked)
	select {
	case <-g.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestStopTakesNoSessionWhileUnregistering guards against sessions that a stopping daemon
// accepts after its last look at them, and whose statements its exit cuts off (LOST).
func TestStopTakesNoSessionWhileUnregistering(t *testing.T) {
	t.Parallel()
	f := newFleetWithoutDaemons(t)
	gate := &revokeGate{revoked: make(chan struct{}), released: make(chan struct{})}
	f.platform = func(address string) rattanproxy.Platform {
		platform := rattanplatform.New(address, address)
		gate.Store = platform.Store
		platform.Store = gate
		return platform
	}
	f.stopTimeout = deployedStopTimeout
	f.startAll(1)
	f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
	for _, endpoint := range f.endpoints {
		endpoint.SetDelay(lastStatementDelay)
	}
	f.daemons[0].stop()
	<-gate.revoked
	answered := make(chan error, 1)
	go func() { answered <- f.writeLate() }()
	for !f.group.HasReceived(lateID) && len(answered) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(gate.released)
	select {
	case <-f.daemons[0].stopped:
		if f.group.HasReceived(lateID) && len(answered) == 0 {
			t.Error("the daemon has ended before it answered a statement")
		}
	case err := <-answered:
		if f.group.HasReceived(lateID) && err != nil {
			t.Errorf("a statement stayed without an answer: %v", err)
		}
	}
}

// A leaseCounter is a store that counts the leases which it grants after a daemon has revoked
// its own, and answers the revocation late.
type leaseCounter struct {
	rattankv.Store
	isRevoked atomic.Bool
	granted   atomic.Int32
}

func (c *leaseCounter) RevokeLease(ctx context.Context, lease rattankv.Lease) error {
	err := c.Store.RevokeLease(ctx, lease)
	c.isRevoked.Store(true)
	<-ctx.Done()
	return err
}

func (c *leaseCounter) GrantLease(ctx context.Context, ttl time.Duration) (rattankv.Lease, time.Duration, error) {
	if c.isRevoked.Load() {
		c.granted.Add(1)
	}
	return c.Store.GrantLease(ctx, ttl)
}

// TestStopDoesNotRegisterAgain guards against a daemon that registers again while it
// unregisters, and that others then wait for after its exit.
func TestStopDoesNotRegisterAgain(t *testing.T) {
	t.Parallel()
	f := newFleetWithoutDaemons(t)
	counter := &leaseCounter{}
	f.platform = func(address string) rattanproxy.Platform {
		platform := rattanplatform.New(address, address)
		counter.Store = platform.Store
		platform.Store = counter
		return platform
	}
	f.startAll(1)
	f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
	f.daemons[0].stop()
	<-f.daemons[0].stopped
	if granted := counter.granted.Load(); !counter.isRevoked.Load() || granted > 0 {
		t.Errorf("revoked: %t; %d leases granted after it, want none", counter.isRevoked.Load(), granted)
	}
}

// lateID is the id of the statement of writeLate.
const lateID = "late"

// writeLate opens a session at the first daemon and writes.
func (f *fleet) writeLate() error {
	conn, err := net.Dial("tcp", f.daemons[0].callers)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, message := range []string{"START checkout " + testKey, "QUERY " + lateID + " WRITE i1 late"} {
		if _, err := fmt.Fprintf(conn, "%s\r\n", message); err != nil {
			return err
		}
		if _, err := reader.ReadString('\n'); err != nil {
			return err
		}
	}
	return nil
}

// TestStopAnswersWhatHasArrived guards against a statement that has reached a stopping daemon
// and is dropped with its session, which closes as idle (LOST).
func TestStopAnswersWhatHasArrived(t *testing.T) {
	t.Parallel()
	const first, second = "QUERY id1 WRITE i1 first\r\n", "QUERY id2 WRITE i1 second\r\n"
	for _, test := range []struct {
		name string
		// parts are sent one after the other, the second when sessions close.
		parts [2]string
	}{
		{"behind another statement", [2]string{first, second}},
		{"in two parts", [2]string{first + second[:9], second[9:]}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithoutDaemons(t)
			f.stopTimeout = deployedStopTimeout
			f.startAll(1)
			caller := f.dial(f.daemons[0], "checkout", testKey)
			caller.retryUntilOK("WRITE i1 before", waitBound)
			for _, endpoint := range f.endpoints {
				endpoint.SetDelay(lastStatementDelay)
			}
			f.daemons[0].stop()
			time.Sleep(beforeIdleClose)
			for _, part := range test.parts {
				if _, err := fmt.Fprint(caller.conn, part); err != nil {
					t.Fatal(err)
				}
				time.Sleep(lastStatementDelay / 2)
			}
			caller.assertAnswers(2)
			caller.assertClosed()
		})
	}
}

// assertAnswers reads the whole answers to a number of statements.
func (c *testCaller) assertAnswers(want int) {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(waitBound)); err != nil {
		c.t.Fatal(err)
	}
	for got := 0; got < want; {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("%d answers, want %d: %v", got, want, err)
		}
		if strings.HasPrefix(line, "READY ") {
			got++
		}
	}
}
