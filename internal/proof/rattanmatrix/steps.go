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

// A step is a moment of a protocol at which a fault is injected.
type step struct {
	name string
	// begin starts the operation that has the step; nil when the callers' load has it.
	begin func(w *world)
	// reached reports whether a call to a stand-in is the step. nil means that
	// the fault is injected right after begin.
	reached func(call rattancluster.Call) bool
	// lasts is how long a fault lasts at the step when faultTime is too short
	// to show a change that does not come into force.
	lasts time.Duration
}

// steps lists the steps of the matrix: those that write state down or pass a
// duty on.
func steps() []step {
	return []step{
		{name: "write reaches the primary", reached: arrival("", "RunStatements")},
		{name: "write is committed and not acknowledged", reached: answered("", "RunStatements")},
		{name: "acknowledgement reaches a replica", reached: arrival("", "WaitPosition")},
		{name: "outcome is recorded", begin: loseAnswers, reached: answered("", "FindOutcome")},
		{name: "coordinator surveys", begin: killPrimaryFirst, reached: arrival("", "Fence")},
		{name: "coordinator has fenced one endpoint", begin: killPrimaryFirst, reached: answered("", "Fence")},
		{name: "promotion reaches the endpoint", begin: killPrimaryFirst, reached: arrival("", "Promote")},
		{name: "promotion is done and not answered", begin: killPrimaryFirst, reached: answered("", "Promote")},
		{name: "planned switch fences", begin: switchPrimary, reached: arrival("", "Fence")},
		{name: "settings reach the platform", begin: changeSettings, reached: arrival("platform", "Put")},
		{name: "settings are stored and not spread", begin: changeSettings, reached: answered("platform", "Put")},
		{name: "withdrawal is stored and not spread", begin: withdrawKey, reached: answered("platform", "Put"), lasts: inForceTime + 4*time.Second},
		{name: "failure domain is taken out", begin: takeOutDomain, reached: answered("platform", "Put")},
		{name: "daemon leaves the roster", begin: stopDaemon, reached: arrival("platform", "Put")},
		{name: "daemon joins the roster", begin: restartDaemon, reached: answered("platform", "Put")},
		{name: "loans are out"},
	}
}

func arrival(server, procedure string) func(rattancluster.Call) bool {
	return func(call rattancluster.Call) bool {
		return !call.Handled && call.Procedure == procedure && (server == "" || call.Server == server)
	}
}

func answered(server, procedure string) func(rattancluster.Call) bool {
	return func(call rattancluster.Call) bool {
		return call.Handled && call.Procedure == procedure && (server == "" || call.Server == server)
	}
}

// loseAnswers loses answers to writes, so that callers look their outcome up.
func loseAnswers(w *world) {
	w.cluster.Endpoint(w.primary()).Adjust(func(c *rattanendpoint.Controls) {
		c.LoseAnswers, c.LoseOf = 6, "WaitPosition"
	})
	for _, instance := range w.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.LoseAnswers, c.LoseOf = 6, "RunStatements" })
	}
	w.running.Go(func() {
		c := w.newCaller(102, "checkout")
		_ = c.resolve("looked-up", context.DeadlineExceeded)
	})
}

// killPrimaryFirst starts a failover, during which the matrix's own fault comes.
func killPrimaryFirst(w *world) {
	name := w.primary()
	instance := w.cluster.Endpoint(name)
	instance.Adjust(func(c *rattanendpoint.Controls) { c.Killed = true })
	const revival = 4 * time.Second
	time.AfterFunc(revival, func() { instance.Adjust(func(c *rattanendpoint.Controls) { c.Killed = false }) })
}

func switchPrimary(w *world) {
	vm := w.cluster.VMs()[1]
	w.running.Go(func() {
		const timeout = 10 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request := connect.NewRequest(&rattanv1.SwitchPrimaryRequest{Group: rattancluster.Team + "/" + service})
		// A switch that fails leaves a working group; the checks look at that.
		_, _ = w.cluster.Operator(vm, "root").SwitchPrimary(ctx, request)
	})
}

// changeSettings changes a rate and notes when the change was accepted.
func changeSettings(w *world) {
	w.running.Go(func() {
		response, err := w.edit(w.cluster.VMs()[1], rattancluster.Team,
			&rattanv1.SettingsEdit{Section: "client_account.dealers", Key: "rate", Value: "90"})
		if err != nil {
			return // not accepted, so there is nothing to hold
		}
		w.noteRate("dealers", 90, 200)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.changed, w.revision = time.Now(), response.GetRevision()
	})
}

func withdrawKey(w *world) {
	id := keyID(w.cluster.Key(withdrawAccount))
	w.running.Go(func() {
		const timeout = 15 * time.Second
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			response, err := w.cluster.Operator(w.cluster.VMs()[1], rattancluster.Team).WithdrawKey(ctx, connect.NewRequest(
				&rattanv1.WithdrawKeyRequest{Team: rattancluster.Team, KeyId: id, ChangeId: "withdrawal", MaxWaitMs: 8000}))
			cancel()
			if err == nil && response.Msg.GetAccepted() {
				w.noteChange(rattanchecker.Event{Action: rattanchecker.WithdrawKey, Target: id})
				w.mutex.Lock()
				w.withdrawnAt = time.Now()
				w.mutex.Unlock()
				return
			}
		}
	})
}

func takeOutDomain(w *world) {
	w.running.Go(func() { w.drain(w.cluster.VMs()[1], "root", "failure_domain.b", true) })
}

// drain takes a failure domain or endpoint out, or returns it, and notes when
// the change was accepted.
func (w *world) drain(vm *rattancluster.VM, team, section string, drained bool) {
	value := "false"
	if drained {
		value = "true"
	}
	if !drained {
		// Work may come back before the operator is told of the acceptance.
		w.noteDrained(section, false)
	}
	const attempts = 4
	for range attempts {
		_, err := w.edit(vm, team, &rattanv1.SettingsEdit{Section: section, Key: "drained", Value: value})
		if err == nil {
			if drained {
				w.noteDrained(section, true)
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if drained {
				w.drained[section] = time.Now()
			} else {
				delete(w.drained, section)
			}
			return
		}
	}
}

// stopDaemon stops a daemon gracefully and starts it again later.
func stopDaemon(w *world) {
	vm := w.cluster.VMs()[3]
	w.mutex.Lock()
	w.stopped = vm.Name()
	w.mutex.Unlock()
	w.running.Go(func() {
		w.keepBusy(vm)
		w.noteStop(vm, rattanchecker.StopBegin)
		vm.Stop()
		w.noteStop(vm, rattanchecker.StopEnd)
		const pause = time.Second
		time.Sleep(pause)
		if err := vm.Start(); err != nil {
			w.fail(err)
		}
		w.noteDaemon(vm, rattanchecker.Start)
	})
}

// keepBusy sends requests to a VM and returns while they run.
func (w *world) keepBusy(vm *rattancluster.VM) {
	const requests, underWay = 12, 3 * time.Millisecond
	for session := range requests {
		c := w.newCaller(300+session, busyAccount)
		w.running.Go(func() {
			e := c.begin(kindBusy, vm)
			response, err := call(c, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
				Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
			})
			e.whole = isPairCount(response)
			c.finish(e, err)
		})
	}
	time.Sleep(underWay)
}

// restartDaemon stops a daemon and starts a new one, which joins the roster.
func restartDaemon(w *world) { stopDaemon(w) }

// localName returns the name of an endpoint without its team.
func localName(fullName string) string {
	_, name, _ := strings.Cut(fullName, "/")
	return name
}
