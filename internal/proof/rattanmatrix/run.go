package rattanmatrix

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
)

const (
	// warmTime is the time of load before the operation of the step begins.
	warmTime = 2 * time.Second
	// stepTime is the longest wait for the step.
	stepTime = 5 * time.Second
	// faultTime is how long a fault lasts. It is longer than a loan and than
	// key_freshness.
	faultTime = 6 * time.Second
	// settleTime is the time of load after the fault, longer than inForceTime.
	settleTime = 10 * time.Second
)

// A result is the outcome of one cell.
type result struct {
	// occurred is false when the step was never reached.
	occurred   bool
	violations []error
	gap        time.Duration
	events     int
	served     int
}

// run runs one cell: load, the step's operation, the fault at the step, its
// healing, more load, and the checks.
// The trace is kept in the directory traces, unless that is empty.
func run(f fault, s step, seed uint64, logs io.Writer, traces string) (result, error) {
	w, err := newWorld(seed, logs)
	if err != nil {
		return result{}, err
	}
	defer w.stop()
	w.fault = f
	w.noteSetup()
	for _, instance := range w.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.Recording = true })
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.startCallers(ctx)
	time.Sleep(warmTime)
	heal, occurred := w.injectAt(f, s)
	if occurred {
		time.Sleep(max(faultTime, s.lasts))
		heal()
	}
	time.Sleep(settleTime)
	cancel()
	w.running.Wait()
	violations, final := w.check(f, s)
	replayed, err := w.replay(final, traces, f.name+"/"+s.name)
	if err != nil {
		return result{}, err
	}
	outcome := result{occurred: occurred, violations: append(violations, replayed...), gap: w.gap}
	for _, e := range w.record.all() {
		outcome.events++
		if e.ok {
			outcome.served++
		}
	}
	return outcome, nil
}

// stop ends a world. A connection that a server accepted at the moment of its
// stop ends with its header timeout, so time has to go on for a while.
func (w *world) stop() {
	const timeouts = time.Minute
	w.cluster.Stop()
	w.network.Close()
	time.Sleep(timeouts)
}

// injectAt begins the step's operation and injects the fault when the step is
// reached. The second result is false when it is not.
func (w *world) injectAt(f fault, s step) (heal func(), occurred bool) {
	if s.reached == nil {
		if s.begin != nil {
			s.begin(w)
		}
		return w.inject(f, w.cluster.VMs()[0]), true
	}
	reached := make(chan func(), 1)
	armed := make(chan struct{}, 1)
	armed <- struct{}{}
	w.setObserver(func(call rattancluster.Call) {
		if !s.reached(call) {
			return
		}
		select {
		case <-armed:
			reached <- w.inject(f, w.vmOf(call.From))
		default:
		}
	})
	if s.begin != nil {
		s.begin(w)
	}
	select {
	case heal := <-reached:
		return heal, true
	case <-time.After(stepTime):
		w.setObserver(nil)
		return nil, false
	}
}

// fail notes a fault of the matrix itself.
func (w *world) fail(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failure = err
}

func sessionPrefix(session int) string { return fmt.Sprintf("s%d-", session) }
