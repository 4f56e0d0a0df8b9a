package rattansoak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// ownerRounds is how often each owner is stopped, with its store as it is.
	ownerRounds = 2
	// bothGap separates the stops of the owner and of the callers' daemon.
	bothGap = 300 * time.Millisecond
	// settleTime is how long a daemon takes after its start until it owns connections again.
	settleTime = 1500 * time.Millisecond
)

// primaryOwners are the daemons in the failure domain of the primary, one of which owns the
// connections to it, callersDaemons those with callers.
var primaryOwners, callersDaemons = []int{0, 3}, []int{1, 2}

// An ownerLoad is load on daemons whose statements other daemons, the owners of the
// connections to the primary, send to it.
type ownerLoad struct {
	*stopLoad

	mu      sync.Mutex
	done    int
	aborted int
	lost    []string
}

// run runs one caller until ctx ends.
func (l *ownerLoad) run(ctx context.Context, d *Daemon, database string) {
	c := &client{fleet: l.fleet, daemon: d, database: database}
	defer c.close()
	for ctx.Err() == nil {
		if err := openOnce(c); err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		n := l.next.Add(1)
		texts := []string{fmt.Sprintf("WRITE item %d", n)}
		if n%4 == 0 {
			texts = []string{"BEGIN", fmt.Sprintf("WRITE item %d", n), "COMMIT"}
		}
		for i, text := range texts {
			if !l.query(c, fmt.Sprintf("o%d-%d", n, i), text) {
				break
			}
		}
	}
}

// query runs one statement. It returns false when the operation has failed.
func (l *ownerLoad) query(c *client, id, text string) bool {
	got, err := c.query(id, text)
	isReceived := l.fleet.group.HasReceived(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && isReceived, got.code() == "INDOUBT":
		l.lost = append(l.lost, fmt.Sprintf("%s, %s at %s at %s: %s, %v (the endpoint has received it: %t)",
			id, text, c.daemon.name, time.Now().Format(time.StampMilli), got.failure, err, isReceived))
	case got.code() == "ABORTED":
		l.aborted++
	case err == nil && got.isSuccess():
		l.done++
		return true
	}
	c.close()
	return false
}

// startOwnerLoad starts a fleet with callers at some daemons.
func startOwnerLoad(t *testing.T, loaded ...int) *ownerLoad {
	t.Helper()
	l := &ownerLoad{stopLoad: startLoad(t, 0, 0, nil)}
	ctx, cancel := context.WithCancel(context.Background())
	for _, i := range loaded {
		for range manyCallers {
			l.calling.Go(func() { l.run(ctx, l.fleet.daemons[i], "checkout") })
		}
	}
	t.Cleanup(cancel)
	time.Sleep(time.Second)
	return l
}

// restart stops a daemon while some daemons do not reach the store, and starts it again.
func (l *ownerLoad) restart(d *Daemon, cut []*Daemon) {
	l.t.Helper()
	setStores(cut, Silent)
	l.stop(d)
	setStores(cut, Open)
	if err := d.Start(); err != nil {
		l.t.Error(err)
	}
	time.Sleep(settleTime)
}

// setStores sets the links of daemons to the store.
func setStores(daemons []*Daemon, state LinkState) {
	for _, d := range daemons {
		d.store.Set(state)
	}
}

// assertNoneLost checks that each statement that may have reached an endpoint has its answer.
func (l *ownerLoad) assertNoneLost() {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.t.Logf("%d statements answered, %d transactions rolled back", l.done, l.aborted)
	for _, statement := range l.lost {
		l.t.Errorf("no result: %s", statement)
	}
}

// TestStopOfOwnerLosesNoResult guards against statements of callers at daemons that nobody
// stops, whose results are lost because the daemon that sends them stops (LOST). A daemon
// without a store cannot tell the others that it stops.
func TestStopOfOwnerLosesNoResult(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(daemons []*Daemon, owner int) []*Daemon
	}{
		{"the store answers", func([]*Daemon, int) []*Daemon { return nil }},
		{"no store for the owner", func(daemons []*Daemon, owner int) []*Daemon { return daemons[owner : owner+1] }},
		{"no store for all", func(daemons []*Daemon, _ int) []*Daemon { return daemons }},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := startOwnerLoad(t, callersDaemons...)
			for range ownerRounds {
				for _, owner := range primaryOwners {
					l.restart(l.fleet.daemons[owner], test.cut(l.fleet.daemons, owner))
				}
			}
			l.assertNoneLost()
		})
	}
}

// TestStopOfOwnerAndCallersDaemon guards against statements whose results are lost because
// the daemon that sends them and the callers' daemon stop at about the same time (LOST).
func TestStopOfOwnerAndCallersDaemon(t *testing.T) {
	for name, order := range map[string][]int{"owners first": {0, 3, 1}, "callers' daemon first": {1, 0, 3}} {
		t.Run(name, func(t *testing.T) {
			l := startOwnerLoad(t, callersDaemons...)
			var stopping sync.WaitGroup
			for _, i := range order {
				stopping.Go(func() { l.restart(l.fleet.daemons[i], nil) })
				time.Sleep(bothGap)
			}
			stopping.Wait()
			l.assertNoneLost()
		})
	}
}
