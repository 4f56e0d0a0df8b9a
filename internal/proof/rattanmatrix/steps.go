package rattanmatrix

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A step is a point in a protocol at which a fault is injected.
type step struct {
	name string
	// begin starts the operation that contains the step. It is nil if the load of the
	// callers contains it.
	begin func(env *environment)
	// reached reports whether a call to a stand-in is the step. If it is nil, the
	// fault is injected immediately after begin.
	reached func(call rattancluster.Call) bool
	// minFaultTime is the minimum duration of a fault at the step, for steps at which
	// faultTime is too short to detect a change that does not come into force.
	minFaultTime time.Duration
}

// steps returns the steps of the matrix: the points at which state is stored or a
// responsibility is handed over. The seed of a cell is computed from their names.
func steps() []step {
	return []step{
		{name: "write reaches the primary", reached: arrival("", "RunStatements")},
		{name: "write is committed and not acknowledged", reached: handled("", "RunStatements")},
		{name: "acknowledgement reaches a replica", reached: arrival("", "WaitPosition")},
		{name: "outcome is recorded", begin: loseAnswers, reached: handled("", "FindOutcome")},
		{name: "coordinator surveys", begin: killPrimaryFirst, reached: arrival("", "Fence")},
		{name: "coordinator has fenced one endpoint", begin: killPrimaryFirst, reached: handled("", "Fence")},
		{name: "promotion reaches the endpoint", begin: killPrimaryFirst, reached: arrival("", "Promote")},
		{name: "promotion is done and not answered", begin: killPrimaryFirst, reached: handled("", "Promote")},
		{name: "planned switch fences", begin: switchPrimary, reached: arrival("", "Fence")},
		{name: "settings reach the platform", begin: changeSettings, reached: arrival("platform", "Put")},
		{name: "settings are stored and not spread", begin: changeSettings, reached: handled("platform", "Put")},
		{name: "withdrawal is stored and not spread", begin: withdrawKey, reached: handled("platform", "Put"), minFaultTime: inForceTime + 4*time.Second},
		{name: "failure domain is taken out", begin: drainDomain, reached: handled("platform", "Put")},
		{name: "daemon leaves the roster", begin: stopDaemon, reached: arrival("platform", "Put")},
		{name: "daemon joins the roster", begin: restartDaemon, reached: handled("platform", "Put")},
		{name: "loans are out"},
	}
}

// arrival returns a function that reports whether a call of a procedure has arrived at
// a server, of any name if server is empty.
func arrival(server, procedure string) func(rattancluster.Call) bool {
	return func(call rattancluster.Call) bool {
		return !call.Handled && call.Procedure == procedure && (server == "" || call.Server == server)
	}
}

// handled returns a function that reports whether a server has handled a call of a
// procedure but not yet responded. An empty server stands for any.
func handled(server, procedure string) func(rattancluster.Call) bool {
	return func(call rattancluster.Call) bool {
		return call.Handled && call.Procedure == procedure && (server == "" || call.Server == server)
	}
}

// loseAnswers makes endpoints lose responses to writes, so that callers look up the
// outcomes.
func loseAnswers(env *environment) {
	env.cluster.Endpoint(env.primary()).Adjust(func(c *rattanendpoint.Controls) {
		c.LoseAnswers, c.LoseOf = 6, "WaitPosition"
	})
	for _, instance := range env.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 6, "RunStatements" })
	}
	env.running.Go(func() {
		c := env.newCaller(102, "checkout")
		_ = c.resolve("looked-up", context.DeadlineExceeded)
	})
}

// killPrimaryFirst kills the primary, so that the fault of the cell is injected during
// a failover.
func killPrimaryFirst(env *environment) {
	name := env.primary()
	instance := env.cluster.Endpoint(name)
	instance.Adjust(func(c *rattanendpoint.Controls) { c.Killed = true })
	const revival = 4 * time.Second
	time.AfterFunc(revival, func() { instance.Adjust(func(c *rattanendpoint.Controls) { c.Killed = false }) })
}

func switchPrimary(env *environment) {
	vm := env.cluster.VMs()[1]
	env.running.Go(func() {
		const timeout = 10 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request := connect.NewRequest(&rattanv1.SwitchPrimaryRequest{Group: rattancluster.Team + "/" + service})
		// A failed switchover must leave a working group, which the checks verify.
		_, _ = env.cluster.Operator(vm, "root").SwitchPrimary(ctx, request)
	})
}

// changeSettings changes a rate and records when the change was accepted.
func changeSettings(env *environment) {
	env.running.Go(func() {
		response, err := env.edit(env.cluster.VMs()[1], rattancluster.Team,
			&rattanv1.SettingsEdit{Section: "client_account.dealers", Key: "rate", Value: "90"})
		if err != nil {
			return // not accepted, so there is nothing to check
		}
		env.recordRate("dealers", 90, 200)
		env.mutex.Lock()
		defer env.mutex.Unlock()
		env.changedAt, env.revision = time.Now(), response.GetRevision()
	})
}

func withdrawKey(env *environment) {
	id := keyID(env.cluster.Key(withdrawAccount))
	env.running.Go(func() {
		const timeout = 15 * time.Second
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			response, err := env.cluster.Operator(env.cluster.VMs()[1], rattancluster.Team).WithdrawKey(ctx, connect.NewRequest(
				&rattanv1.WithdrawKeyRequest{Team: rattancluster.Team, KeyId: id, ChangeId: "withdrawal", MaxWaitMs: 8000}))
			cancel()
			if err == nil && response.Msg.GetAccepted() {
				env.recordChange(rattanchecker.Event{Action: rattanchecker.WithdrawKey, Target: id})
				env.mutex.Lock()
				env.withdrawnAt = time.Now()
				env.mutex.Unlock()
				return
			}
		}
	})
}

func drainDomain(env *environment) {
	env.running.Go(func() { env.drain(env.cluster.VMs()[1], "root", "failure_domain.b", true) })
}

// drain takes out a failure domain or endpoint, or returns it, and records when the
// change was accepted.
func (env *environment) drain(vm *rattancluster.VM, team, section string, drained bool) {
	value := "false"
	if drained {
		value = "true"
	}
	if !drained {
		// New work may arrive before the operator gets the response to the change.
		env.recordDrained(section, false)
	}
	const attempts = 4
	for range attempts {
		_, err := env.edit(vm, team, &rattanv1.SettingsEdit{Section: section, Key: "drained", Value: value})
		if err == nil {
			if drained {
				env.recordDrained(section, true)
			}
			env.mutex.Lock()
			defer env.mutex.Unlock()
			if drained {
				env.drainedAt[section] = time.Now()
			} else {
				delete(env.drainedAt, section)
			}
			return
		}
	}
}

// stopDaemon stops a daemon gracefully while it has requests in flight, and starts it
// again after a pause.
func stopDaemon(env *environment) {
	vm := env.cluster.VMs()[3]
	env.mutex.Lock()
	env.stoppedVM = vm.Name()
	env.mutex.Unlock()
	env.running.Go(func() {
		env.startRequests(vm)
		env.recordStop(vm, rattanchecker.StopBegin)
		vm.Stop()
		env.recordStop(vm, rattanchecker.StopEnd)
		const pause = time.Second
		time.Sleep(pause)
		if err := vm.Start(); err != nil {
			env.fail(err)
		}
		env.recordDaemon(vm, rattanchecker.Start)
	})
}

// startRequests sends requests to a VM and returns while they are in flight.
func (env *environment) startRequests(vm *rattancluster.VM) {
	const requests, startDelay = 12, 3 * time.Millisecond
	for session := range requests {
		c := env.newCaller(300+session, busyAccount)
		env.running.Go(func() {
			e := c.begin(kindBusy, vm)
			response, err := call(c, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
				Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
			})
			e.whole = isPairCount(response)
			c.finish(e, err)
		})
	}
	time.Sleep(startDelay)
}

// restartDaemon stops a daemon and starts it again, so that it joins the roster.
func restartDaemon(env *environment) { stopDaemon(env) }

// localName returns the name of an endpoint without the team prefix.
func localName(fullName string) string {
	_, name, _ := strings.Cut(fullName, "/")
	return name
}
