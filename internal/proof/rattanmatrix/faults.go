package rattanmatrix

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A fault is a kind of fault of the matrix. inject runs inside the step, so it must
// not wait for simulated time. Its VM is the one at which the step occurs.
type fault struct {
	name   string
	inject func(env *environment, vm *rattancluster.VM) (heal func())
	// stopsWrites is true if the group may be unable to accept writes during the
	// fault.
	stopsWrites bool
	// stopsChanges is true if changes of settings may not reach the daemons during
	// the fault.
	stopsChanges bool
	// elsewhere is true if the fault affects a failure domain other than that of
	// the VM at which the step occurs, so that the step's change is accepted.
	elsewhere bool
}

// faults returns the faults of the matrix. The seed of a cell is computed from their
// names.
func faults() []fault {
	single := []fault{
		{name: "none", inject: func(*environment, *rattancluster.VM) func() { return func() {} }},
		{name: "daemon killed", inject: killDaemon},
		{name: "daemon frozen", inject: freezeDaemon},
		{name: "daemon cut off inwards", inject: cutDaemon(true, false)},
		{name: "daemon cut off outwards", inject: cutDaemon(false, true)},
		{name: "daemon cut off both ways", inject: cutDaemon(true, true)},
		{name: "domain cut off from domains", inject: cutDomain(true, false)},
		{name: "domain cut off from platform", inject: cutDomain(false, true)},
		{name: "domain cut off from both", inject: cutDomain(true, true)},
		{name: "another domain cut off from both", inject: cutDomain(true, true), elsewhere: true},
		{name: "primary killed", inject: controlPrimary(func(c *rattanendpoint.Controls) { c.Killed = true })},
		{name: "primary frozen", inject: controlPrimary(func(c *rattanendpoint.Controls) { c.Frozen = true })},
		{name: "primary cut off", inject: cutPrimary},
		{name: "primary answers late", inject: controlPrimary(func(c *rattanendpoint.Controls) { c.Late = 1500 * time.Millisecond })},
		{name: "answers crossed", inject: crossAnswers},
		{name: "replica behind", inject: replicaBehind},
		{name: "endpoint leaving", inject: endpointLeaving},
		{name: "platform down", inject: platformFault(&rattanv1.SetFaultRequest{Down: true}), stopsChanges: true},
		{name: "platform slow", inject: platformFault(&rattanv1.SetFaultRequest{DelayMs: 1500}), stopsChanges: true},
		{name: "platform answers lost", inject: platformFault(&rattanv1.SetFaultRequest{LoseAnswers: 3})},
		{name: "platform watch stalled", inject: platformFault(&rattanv1.SetFaultRequest{StallWatches: true}), stopsChanges: true},
		{name: "operators race", inject: raceOperators},
		{name: "clocks drift", inject: driftClocks},
	}
	named := func(name string) fault {
		return single[slices.IndexFunc(single, func(f fault) bool { return f.name == name })]
	}
	return append(single,
		both(named("primary killed"), named("platform down")),
		both(named("domain cut off from both"), named("daemon killed")),
		both(named("primary frozen"), named("daemon killed")),
		twice(named("primary killed")),
		twice(named("daemon killed")),
	)
}

// both returns a fault that injects two faults at the same step.
func both(a, b fault) fault {
	return fault{
		name: a.name + " and " + b.name,
		inject: func(env *environment, vm *rattancluster.VM) func() {
			healA, healB := a.inject(env, vm), b.inject(env, vm)
			return func() { healA(); healB() }
		},
		stopsWrites:  a.stopsWrites || b.stopsWrites,
		stopsChanges: a.stopsChanges || b.stopsChanges,
	}
}

// twice returns a fault that is injected again after it was healed.
func twice(f fault) fault {
	const between = 3 * time.Second
	f.name += " twice"
	once := f.inject
	f.inject = func(env *environment, vm *rattancluster.VM) func() {
		heal := once(env, vm)
		return func() {
			heal()
			time.Sleep(between)
			again := once(env, vm)
			time.Sleep(faultTime)
			again()
		}
	}
	return f
}

// hosts returns all hosts except that of the callers.
func (env *environment) hosts() []string {
	hosts := []string{env.cluster.PlatformHost()}
	for _, vm := range env.cluster.VMs() {
		hosts = append(hosts, vm.Host())
	}
	for name := range env.cluster.Endpoints() {
		hosts = append(hosts, env.cluster.EndpointHost(name))
	}
	return hosts
}

// cut partitions links from and to a host and returns the function that heals them.
func (env *environment) cut(host string, others []string, inwards, outwards bool) func() {
	for _, other := range others {
		if other != host && inwards {
			env.network.Cut(other, host)
		}
		if other != host && outwards {
			env.network.Cut(host, other)
		}
	}
	return func() {
		for _, other := range others {
			env.network.Heal(other, host)
			env.network.Heal(host, other)
		}
	}
}

// killDaemon kills the daemon. Healing starts a new one.
func killDaemon(env *environment, vm *rattancluster.VM) func() {
	env.network.Kill(vm.Host())
	env.recordDaemon(vm, rattanchecker.Crash)
	stopped := make(chan struct{})
	go func() {
		// The daemon cannot reach any host, so its graceful stop has no effect
		// outside of it.
		vm.Stop()
		close(stopped)
	}()
	return func() {
		<-stopped
		env.network.Revive(vm.Host())
		if err := vm.Start(); err != nil {
			env.fail(err)
		}
		env.recordDaemon(vm, rattanchecker.Start)
	}
}

func freezeDaemon(env *environment, vm *rattancluster.VM) func() {
	env.mutex.Lock()
	clock := env.clocks[vm.Name()]
	env.mutex.Unlock()
	clock.freeze()
	heal := env.cut(vm.Host(), append(env.hosts(), rattancluster.CallerHost), true, true)
	return func() {
		heal()
		clock.unfreeze()
	}
}

// cutDaemon partitions a daemon from all hosts except its callers.
func cutDaemon(inwards, outwards bool) func(env *environment, vm *rattancluster.VM) func() {
	return func(env *environment, vm *rattancluster.VM) func() {
		return env.cut(vm.Host(), env.hosts(), inwards, outwards)
	}
}

// cutDomain partitions the failure domain of the VM from the other failure domains,
// the platform, or both.
func cutDomain(domains, platform bool) func(env *environment, vm *rattancluster.VM) func() {
	return func(env *environment, vm *rattancluster.VM) func() {
		var inside, outside []string
		for _, other := range env.cluster.VMs() {
			if other.FailureDomain() == vm.FailureDomain() {
				inside = append(inside, other.Host())
			} else if domains {
				outside = append(outside, other.Host())
			}
		}
		for name, instance := range env.cluster.Endpoints() {
			if instance.Status().GetFailureDomain() == vm.FailureDomain() {
				inside = append(inside, env.cluster.EndpointHost(name))
			} else if domains {
				outside = append(outside, env.cluster.EndpointHost(name))
			}
		}
		if platform {
			outside = append(outside, env.cluster.PlatformHost())
		}
		var heals []func()
		for _, host := range inside {
			heals = append(heals, env.cut(host, outside, true, true))
		}
		return func() {
			for _, heal := range heals {
				heal()
			}
		}
	}
}

// controlPrimary changes the controls of the current primary until it is healed.
func controlPrimary(change func(*rattanendpoint.Controls)) func(env *environment, _ *rattancluster.VM) func() {
	return func(env *environment, _ *rattancluster.VM) func() {
		instance := env.cluster.Endpoint(env.primary())
		before := instance.Controls()
		instance.Adjust(change)
		return func() { instance.SetControls(before) }
	}
}

// crossAnswers makes every endpoint return the response of the previous call to some
// calls.
func crossAnswers(env *environment, _ *rattancluster.VM) func() {
	const calls = 6
	for _, instance := range env.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.CrossAnswers = calls })
	}
	return func() {
		for _, instance := range env.cluster.Endpoints() {
			instance.Adjust(func(c *rattanendpoint.Controls) { c.CrossAnswers = 0 })
		}
	}
}

func cutPrimary(env *environment, _ *rattancluster.VM) func() {
	return env.cut(env.cluster.EndpointHost(env.primary()), env.hosts(), true, true)
}

func replicaBehind(env *environment, _ *rattancluster.VM) func() {
	instance := env.cluster.Endpoint(env.replica())
	instance.Adjust(func(c *rattanendpoint.Controls) { c.ReplicationStopped = true })
	return func() { instance.Adjust(func(c *rattanendpoint.Controls) { c.ReplicationStopped = false }) }
}

// endpointLeaving takes the primary's endpoint out by a change of settings.
func endpointLeaving(env *environment, vm *rattancluster.VM) func() {
	name := localName(env.primary())
	env.running.Go(func() { env.drain(vm, rattancluster.Team, "endpoint."+name, true) })
	return func() { env.drain(env.cluster.VMs()[0], rattancluster.Team, "endpoint."+name, false) }
}

func platformFault(request *rattanv1.SetFaultRequest) func(env *environment, _ *rattancluster.VM) func() {
	return func(env *environment, _ *rattancluster.VM) func() {
		env.setPlatformFault(request)
		return func() { env.setPlatformFault(&rattanv1.SetFaultRequest{}) }
	}
}

func (env *environment) setPlatformFault(request *rattanv1.SetFaultRequest) {
	if _, err := env.cluster.Platform().SetFault(context.Background(), connect.NewRequest(request)); err != nil {
		env.fail(err)
	}
}

// raceOperators changes one settings key through all VMs at the same time.
func raceOperators(env *environment, _ *rattancluster.VM) func() {
	for i, vm := range env.cluster.VMs() {
		env.running.Go(func() {
			edit := &rattanv1.SettingsEdit{Section: "client_account.dealers", Key: "burst", Value: []string{"201", "202", "203", "204"}[i]}
			// A conflict is a valid result.
			_, _ = env.edit(vm, rattancluster.Team, edit)
		})
	}
	return func() {}
}

// driftClocks makes one VM's clock fast and another's slow, within the clock drift
// that loans allow for.
func driftClocks(env *environment, _ *rattancluster.VM) func() {
	const drift = 0.004
	vms := env.cluster.VMs()
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.clocks[vms[0].Name()].setRate(1 + drift)
	env.clocks[vms[1].Name()].setRate(1 - drift)
	return func() {}
}
