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
	// warmUpTime is the time of load before the operation of the step begins.
	warmUpTime = 2 * time.Second
	// stepTimeout is the longest wait for the step.
	stepTimeout = 5 * time.Second
	// faultTime is the duration of a fault. It is longer than a loan lasts and than
	// key_freshness.
	faultTime = 6 * time.Second
	// recoveryTime is the time of load after the fault, longer than inForceTime.
	recoveryTime = 10 * time.Second
)

// A result is the result of one cell.
type result struct {
	// occurred is false if the step was not reached.
	occurred   bool
	violations []error
	// gap is the longest time without an acknowledged insert.
	gap    time.Duration
	events int
	served int
}

// run runs one cell: load, the operation of the step, the fault at the step, its
// healing, more load, and the checks. The trace is written to the directory traces
// unless that is empty.
func run(f fault, s step, seed uint64, logs io.Writer, traces string) (result, error) {
	env, err := newEnvironment(seed, logs)
	if err != nil {
		return result{}, err
	}
	defer env.stop()
	env.fault = f
	env.recordSetup()
	for _, instance := range env.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.Recording = true })
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	env.startCallers(ctx)
	time.Sleep(warmUpTime)
	heal, occurred := env.injectAt(f, s)
	if occurred {
		time.Sleep(max(faultTime, s.minFaultTime))
		heal()
	}
	time.Sleep(recoveryTime)
	cancel()
	env.running.Wait()
	violations, final := env.check(f, s)
	replayed, err := env.replay(final, traces, f.name+"/"+s.name)
	if err != nil {
		return result{}, err
	}
	outcome := result{occurred: occurred, violations: append(violations, replayed...), gap: env.gap}
	for _, e := range env.record.all() {
		outcome.events++
		if e.ok {
			outcome.served++
		}
	}
	return outcome, nil
}

// stop stops the cluster and the network. A connection that a server accepted just as
// it stopped ends only with the server's header timeout, so stop lets simulated time
// pass that timeout.
func (env *environment) stop() {
	const timeouts = time.Minute
	env.cluster.Stop()
	env.network.Close()
	time.Sleep(timeouts)
}

// injectAt begins the operation of the step and injects the fault when the step is
// reached. occurred is false if the step is not reached in time.
func (env *environment) injectAt(f fault, s step) (heal func(), occurred bool) {
	if s.reached == nil {
		if s.begin != nil {
			s.begin(env)
		}
		return env.inject(f, env.cluster.VMs()[0]), true
	}
	reached := make(chan func(), 1)
	armed := make(chan struct{}, 1)
	armed <- struct{}{}
	env.setObserver(func(call rattancluster.Call) {
		if !s.reached(call) {
			return
		}
		select {
		case <-armed:
			reached <- env.inject(f, env.vmOf(call.From))
		default:
		}
	})
	if s.begin != nil {
		s.begin(env)
	}
	select {
	case heal := <-reached:
		return heal, true
	case <-time.After(stepTimeout):
		env.setObserver(nil)
		return nil, false
	}
}

// fail records an error of the test setup itself.
func (env *environment) fail(err error) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.failure = err
}

func sessionPrefix(session int) string { return fmt.Sprintf("s%d-", session) }
