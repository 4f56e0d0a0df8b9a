package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// stopDaemons is the number of daemons of a stop test, in three failure domains.
	stopDaemons = 6
	// manyCallers and fewCallers are numbers of callers at a daemon that is stopped. With few
	// of them there are moments without a session.
	manyCallers = 10
	fewCallers  = 12
	// stopDelay is how long a statement takes at its endpoint.
	stopDelay = 20 * time.Millisecond
	// secondSignalAfter separates two signals to one daemon, and rollGap the stops of two.
	secondSignalAfter = 300 * time.Millisecond
	rollGap           = 1200 * time.Millisecond
	// storeTroubleAfter is how long after the signal the store's link is impaired: the daemon
	// is about to unregister.
	storeTroubleAfter = 1800 * time.Millisecond
	// rarePause is the mean pause of a caller that has no session most of the time.
	rarePause = 130 * time.Millisecond
)

// A stopLoad is the load on daemons that are stopped. Its callers use their daemon until its
// process is gone.
type stopLoad struct {
	t       *testing.T
	fleet   *Fleet
	next    atomic.Uint64
	calling sync.WaitGroup

	mu         sync.Mutex
	answered   int
	unanswered []string
}

// An opener opens the session for the next operation of a caller.
type opener func(c *client) error

// openEach opens a session for each operation, openOnce keeps one while it can.
func openEach(c *client) error {
	c.close()
	return c.open()
}

func openOnce(c *client) error {
	if c.conn != nil {
		return nil
	}
	return c.open()
}

// openRarely is openEach with a pause before each operation.
func openRarely(c *client) error {
	c.close()
	time.Sleep(rand.N(2 * rarePause))
	return c.open()
}

// call runs one caller until ctx ends.
func (l *stopLoad) call(ctx context.Context, d *Daemon, database string, open opener) {
	c := &client{fleet: l.fleet, daemon: d, database: database}
	defer c.close()
	for ctx.Err() == nil {
		if err := open(c); err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		n := l.next.Add(1)
		texts := []string{fmt.Sprintf("WRITE item %d", n)}
		switch n % 4 {
		case 0:
			texts = []string{"READ item"}
		case 1:
			texts = []string{"BEGIN", fmt.Sprintf("WRITE item %d", n), "COMMIT"}
		}
		l.operate(c, n, texts)
	}
}

// operate runs the statements of one operation.
func (l *stopLoad) operate(c *client, n uint64, texts []string) {
	for i, text := range texts {
		id := fmt.Sprintf("s%d-%d", n, i)
		got, err := c.query(id, text)
		l.mu.Lock()
		if err == nil {
			l.answered++
		} else if l.fleet.group.HasReceived(id) {
			l.unanswered = append(l.unanswered, fmt.Sprintf("%s at %s at %s: %v", text, c.daemon.name, time.Now().Format(time.StampMilli), err))
		}
		l.mu.Unlock()
		if err != nil || !got.isSuccess() {
			c.close()
			return
		}
	}
}

// startLoad starts a fleet whose first daemons are under load.
func startLoad(t *testing.T, loaded, callers int, open opener) *stopLoad {
	t.Helper()
	fleet, err := NewFleet(buildProgram(t), t.TempDir(), stopDaemons)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &stopLoad{t: t, fleet: fleet}
	t.Cleanup(func() {
		cancel()
		l.calling.Wait()
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			saveLogs(t, fleet, Result{}, "stop")
		}
	})
	if err := (&run{fleet: fleet}).awaitService("start"); err != nil {
		t.Fatal(err)
	}
	for _, endpoint := range fleet.endpoints {
		endpoint.SetDelay(stopDelay)
	}
	for _, d := range fleet.daemons[:loaded] {
		for i := range callers {
			database := []string{"checkout", "browse", "pick"}[i%3]
			l.calling.Go(func() { l.call(ctx, d, database, open) })
		}
	}
	time.Sleep(time.Second)
	return l
}

// stop sends signals to a daemon and waits for the end of its process.
func (l *stopLoad) stop(d *Daemon, more ...syscall.Signal) {
	l.t.Helper()
	for _, signal := range more {
		if err := d.Signal(signal); err != nil {
			l.t.Error(err)
		}
		time.Sleep(secondSignalAfter)
	}
	begun := time.Now()
	if err := d.End(syscall.SIGTERM); err != nil {
		l.t.Error(err)
	}
	l.t.Logf("%s has ended %s after the last signal, at %s", d.name, time.Since(begun).Round(time.Millisecond), time.Now().Format(time.StampMilli))
}

// assertAnswered checks that all statements that reached an endpoint have been answered.
func (l *stopLoad) assertAnswered() {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.t.Logf("%d statements answered", l.answered)
	for _, statement := range l.unanswered {
		l.t.Errorf("no whole answer: %s", statement)
	}
}

// TestStopAnswersLastSessions guards against statements of sessions that a stopping daemon
// accepts shortly before its exit, and that then stay without an answer (LOST).
func TestStopAnswersLastSessions(t *testing.T) {
	for _, test := range []struct {
		name    string
		callers int
		open    opener
		store   LinkState
	}{
		{"new sessions", manyCallers, openEach, Open},
		{"new sessions, slow store", manyCallers, openEach, Slow},
		{"few new sessions", fewCallers, openRarely, Open},
		{"few new sessions, slow store", fewCallers, openRarely, Slow},
		{"few new sessions, silent store", fewCallers, openRarely, Silent},
		{"kept sessions, slow store", manyCallers, openOnce, Slow},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := startLoad(t, 1, test.callers, test.open)
			time.AfterFunc(storeTroubleAfter, func() { l.fleet.daemons[0].store.Set(test.store) })
			l.stop(l.fleet.daemons[0])
			l.assertAnswered()
		})
	}
}

// TestStopAnswersAfterSecondSignal guards against a stop that a second SIGTERM cuts short,
// with all its statements in flight (LOST).
func TestStopAnswersAfterSecondSignal(t *testing.T) {
	l := startLoad(t, 1, manyCallers, openOnce)
	l.stop(l.fleet.daemons[0], syscall.SIGTERM)
	l.assertAnswered()
}

// TestStopsAnswerInTurn guards against statements without an answer while a daemon stops
// and daemons that send its statements stop and start as well (LOST).
func TestStopsAnswerInTurn(t *testing.T) {
	l := startLoad(t, stopDaemons/2, manyCallers, openEach)
	var stopping sync.WaitGroup
	for _, d := range l.fleet.daemons[:stopDaemons/2] {
		stopping.Go(func() {
			l.stop(d)
			if err := d.Start(); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(rollGap)
	}
	stopping.Wait()
	l.assertAnswered()
}
