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

// A fault is something that fails. Inject must not wait for simulated time: it
// runs inside the step. The VM is the one that takes the step.
type fault struct {
	name   string
	inject func(w *world, vm *rattancluster.VM) (heal func())
	// stopsWrites says that the group may take no writes while the fault lasts.
	stopsWrites bool
	// stopsChanges says that settings may not spread while the fault lasts.
	stopsChanges bool
	// elsewhere says that the fault hits a failure domain other than that of
	// the VM that takes the step, so that the step's change is accepted.
	elsewhere bool
}

// faults lists the faults of the matrix.
func faults() []fault {
	single := []fault{
		{name: "none", inject: func(*world, *rattancluster.VM) func() { return func() {} }},
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

// both injects two faults at the same step.
func both(a, b fault) fault {
	return fault{
		name: a.name + " and " + b.name,
		inject: func(w *world, vm *rattancluster.VM) func() {
			healA, healB := a.inject(w, vm), b.inject(w, vm)
			return func() { healA(); healB() }
		},
		stopsWrites:  a.stopsWrites || b.stopsWrites,
		stopsChanges: a.stopsChanges || b.stopsChanges,
	}
}

// twice injects a fault again after the first one has healed.
func twice(f fault) fault {
	const between = 3 * time.Second
	f.name += " twice"
	once := f.inject
	f.inject = func(w *world, vm *rattancluster.VM) func() {
		heal := once(w, vm)
		return func() {
			heal()
			time.Sleep(between)
			again := once(w, vm)
			time.Sleep(faultTime)
			again()
		}
	}
	return f
}

// hosts returns all machines but the callers'.
func (w *world) hosts() []string {
	hosts := []string{w.cluster.PlatformHost()}
	for _, vm := range w.cluster.VMs() {
		hosts = append(hosts, vm.Host())
	}
	for name := range w.cluster.Endpoints() {
		hosts = append(hosts, w.cluster.EndpointHost(name))
	}
	return hosts
}

// cut cuts links from and to a host and returns the function that heals them.
func (w *world) cut(host string, others []string, inwards, outwards bool) func() {
	for _, other := range others {
		if other != host && inwards {
			w.network.Cut(other, host)
		}
		if other != host && outwards {
			w.network.Cut(host, other)
		}
	}
	return func() {
		for _, other := range others {
			w.network.Heal(other, host)
			w.network.Heal(host, other)
		}
	}
}

// killDaemon ends the process and starts a new one when it heals.
func killDaemon(w *world, vm *rattancluster.VM) func() {
	w.network.Kill(vm.Host())
	w.noteDaemon(vm, rattanchecker.Crash)
	stopped := make(chan struct{})
	go func() {
		// The process is cut off from everything, so its stop has no effect.
		vm.Stop()
		close(stopped)
	}()
	return func() {
		<-stopped
		w.network.Revive(vm.Host())
		if err := vm.Start(); err != nil {
			w.fail(err)
		}
		w.noteDaemon(vm, rattanchecker.Start)
	}
}

func freezeDaemon(w *world, vm *rattancluster.VM) func() {
	w.mutex.Lock()
	clock := w.clocks[vm.Name()]
	w.mutex.Unlock()
	clock.freeze()
	heal := w.cut(vm.Host(), append(w.hosts(), rattancluster.CallerHost), true, true)
	return func() {
		heal()
		clock.unfreeze()
	}
}

// cutDaemon cuts a daemon off from everything but its callers.
func cutDaemon(inwards, outwards bool) func(w *world, vm *rattancluster.VM) func() {
	return func(w *world, vm *rattancluster.VM) func() { return w.cut(vm.Host(), w.hosts(), inwards, outwards) }
}

// cutDomain cuts the failure domain of the VM off from the other failure
// domains, the platform, or both.
func cutDomain(domains, platform bool) func(w *world, vm *rattancluster.VM) func() {
	return func(w *world, vm *rattancluster.VM) func() {
		var inside, outside []string
		for _, other := range w.cluster.VMs() {
			if other.FailureDomain() == vm.FailureDomain() {
				inside = append(inside, other.Host())
			} else if domains {
				outside = append(outside, other.Host())
			}
		}
		for name, instance := range w.cluster.Endpoints() {
			if instance.Status().GetFailureDomain() == vm.FailureDomain() {
				inside = append(inside, w.cluster.EndpointHost(name))
			} else if domains {
				outside = append(outside, w.cluster.EndpointHost(name))
			}
		}
		if platform {
			outside = append(outside, w.cluster.PlatformHost())
		}
		var heals []func()
		for _, host := range inside {
			heals = append(heals, w.cut(host, outside, true, true))
		}
		return func() {
			for _, heal := range heals {
				heal()
			}
		}
	}
}

// controlPrimary changes the controls of the present primary.
func controlPrimary(change func(*rattanendpoint.Controls)) func(w *world, _ *rattancluster.VM) func() {
	return func(w *world, _ *rattancluster.VM) func() {
		instance := w.cluster.Endpoint(w.primary())
		before := instance.Controls()
		instance.Adjust(change)
		return func() { instance.SetControls(before) }
	}
}

// crossAnswers makes every endpoint answer some calls with the answer of the
// call before.
func crossAnswers(w *world, _ *rattancluster.VM) func() {
	const calls = 6
	for _, instance := range w.cluster.Endpoints() {
		instance.Adjust(func(c *rattanendpoint.Controls) { c.CrossAnswers = calls })
	}
	return func() {
		for _, instance := range w.cluster.Endpoints() {
			instance.Adjust(func(c *rattanendpoint.Controls) { c.CrossAnswers = 0 })
		}
	}
}

func cutPrimary(w *world, _ *rattancluster.VM) func() {
	return w.cut(w.cluster.EndpointHost(w.primary()), w.hosts(), true, true)
}

func replicaBehind(w *world, _ *rattancluster.VM) func() {
	instance := w.cluster.Endpoint(w.replica())
	instance.Adjust(func(c *rattanendpoint.Controls) { c.ReplicationStopped = true })
	return func() { instance.Adjust(func(c *rattanendpoint.Controls) { c.ReplicationStopped = false }) }
}

// endpointLeaving takes the primary's endpoint out of service by settings.
func endpointLeaving(w *world, vm *rattancluster.VM) func() {
	name := localName(w.primary())
	w.running.Go(func() { w.drain(vm, rattancluster.Team, "endpoint."+name, true) })
	return func() { w.drain(w.cluster.VMs()[0], rattancluster.Team, "endpoint."+name, false) }
}

func platformFault(request *rattanv1.SetFaultRequest) func(w *world, _ *rattancluster.VM) func() {
	return func(w *world, _ *rattancluster.VM) func() {
		w.setPlatformFault(request)
		return func() { w.setPlatformFault(&rattanv1.SetFaultRequest{}) }
	}
}

func (w *world) setPlatformFault(request *rattanv1.SetFaultRequest) {
	if _, err := w.cluster.Platform().SetFault(context.Background(), connect.NewRequest(request)); err != nil {
		w.fail(err)
	}
}

// raceOperators changes one key through several VMs at the same time.
func raceOperators(w *world, _ *rattancluster.VM) func() {
	for i, vm := range w.cluster.VMs() {
		w.running.Go(func() {
			edit := &rattanv1.SettingsEdit{Section: "client_account.dealers", Key: "burst", Value: []string{"201", "202", "203", "204"}[i]}
			// A conflict is a valid answer.
			_, _ = w.edit(vm, rattancluster.Team, edit)
		})
	}
	return func() {}
}

// driftClocks makes one VM's clock fast and another's slow, within the drift
// that loans allow for.
func driftClocks(w *world, _ *rattancluster.VM) func() {
	const drift = 0.004
	vms := w.cluster.VMs()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.clocks[vms[0].Name()].setRate(1 + drift)
	w.clocks[vms[1].Name()].setRate(1 - drift)
	return func() {}
}
