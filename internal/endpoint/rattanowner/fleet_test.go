package rattanowner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

const (
	// modelStep is how often a daemon computes its part.
	modelStep = 100 * time.Millisecond
	// modelLease is how long a daemon that does not renew its lease stays registered,
	// modelDelay the longest time until a daemon sees a change.
	modelLease = 2 * time.Second
	modelDelay = 400 * time.Millisecond
)

// A modelDaemon is a daemon that opens as many connections as its part allows.
type modelDaemon struct {
	vm        VM
	isRunning bool
	// darkAt is when its VM lost power, cutAt when it lost the store, zero for neither.
	darkAt, cutAt time.Time
	delay         time.Duration
	tenures       Tenures
	held          int
}

// A modelFleet is a fleet whose daemons all want as many connections to one endpoint as
// they may have.
type modelFleet struct {
	budget   ConnectionBudget
	endpoint rattancatalog.Endpoint
	daemons  []*modelDaemon
	// registered has the registered VMs at each time.
	registered []map[string]bool
}

func (f *modelFleet) step(now time.Time) int {
	registered := make(map[string]bool)
	for _, d := range f.daemons {
		registered[d.vm.Name] = d.isRunning && (d.cutAt.IsZero() || now.Sub(d.cutAt) < modelLease) || !d.darkAt.IsZero() && now.Sub(d.darkAt) < modelLease-unregisteredAfter/4
	}
	f.registered = append(f.registered, registered)
	sum := 0
	for _, d := range f.daemons {
		if d.isRunning {
			d.held = f.part(d, now).Connections
		} else if d.darkAt.IsZero() || now.Sub(d.darkAt) >= DarkConnectionTime {
			d.held = 0
		}
		if d.held > f.budget.FallbackConnections() {
			sum += d.held
		}
	}
	return sum
}

// part returns the part of a daemon by what it sees.
func (f *modelFleet) part(d *modelDaemon, now time.Time) Part {
	seenAt := len(f.registered) - 1 - int(d.delay/modelStep)
	if !d.cutAt.IsZero() {
		seenAt = min(seenAt, len(f.registered)-1-int(now.Sub(d.cutAt)/modelStep))
	}
	view := f.registered[max(seenAt, 0)]
	var vms []VM
	for _, other := range f.daemons {
		if view[other.vm.Name] {
			vms = append(vms, other.vm)
		}
	}
	ranked := Rank(f.endpoint, vms, 2)
	if len(ranked) == 0 {
		return f.budget.Part(Role{})
	}
	return f.budget.Part(Role{
		IsOwner:      ranked[0] == d.vm.Name,
		IsSettled:    d.tenures.Observe(f.endpoint.ID, ranked[0], true, func(vm string) bool { return view[vm] }, now),
		IsSuperseded: !d.cutAt.IsZero() && now.Sub(d.cutAt) > modelLease+time.Second,
	})
}

// TestConnectionsOfAllOwnersStayBelowLimit guards against connections over an endpoint's
// limit, over random sequences of VMs that lose power, are killed, lose the store and come
// back, one every four seconds, while daemons see changes at different times: 236
// connections were reset on a day of the users' for that.
func TestConnectionsOfAllOwnersStayBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := &modelFleet{budget: ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 86}, endpoint: rattancatalog.Endpoint{ID: rapid.StringMatching("[a-z]{6}").Draw(t, "endpoint")}}
		for i := range rapid.IntRange(2, 6).Draw(t, "vms") {
			delay := time.Duration(rapid.IntRange(0, int(modelDelay/modelStep)).Draw(t, "delay")) * modelStep
			fleet.daemons = append(fleet.daemons, &modelDaemon{vm: VM{Name: fmt.Sprint("vm-", i)}, isRunning: true, delay: delay})
		}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			d := rapid.SampledFrom(fleet.daemons).Draw(t, "daemon")
			switch event := rapid.SampledFrom([]string{"dark", "kill", "cut"}).Draw(t, "event"); {
			case !d.isRunning || !d.cutAt.IsZero():
				d.isRunning, d.darkAt, d.cutAt, d.tenures = true, time.Time{}, time.Time{}, Tenures{}
			case event == "dark":
				d.isRunning, d.darkAt = false, now
			case event == "kill":
				d.isRunning = false
			default:
				d.cutAt = now
			}
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(modelStep) {
				if sum := fleet.step(now); sum > fleet.budget.MaxConnections {
					t.Fatalf("%d connections of %d at %s", sum, fleet.budget.MaxConnections, now.Sub(time.Unix(1000, 0)))
				}
			}
		}
	})
}
