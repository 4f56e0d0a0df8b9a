package rattanshare

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelProfiles has the weight of each action. One profile mostly tests loans and
// clocks, the other settings and members.
var modelProfiles = []map[string]int{
	{
		"advance": 20, "advance far": 2, "deliver message": 40, "take": 10, "take all": 20, "connect": 10,
		"borrow": 30, "return": 3, "pause": 3, "raise": 1, "converge": 1,
	},
	{
		"advance": 20, "advance far": 4, "deliver message": 30, "take": 5, "take all": 10, "connect": 5,
		"borrow": 15, "return": 1, "pause": 1, "crash": 1, "leave": 1, "remove gone": 1, "start": 4,
		"change settings": 1, "change domains": 1, "deliver documents": 8, "beat": 8, "raise": 10, "converge": 2,
	},
}

// actions returns the name of each action as often as its weight says.
func actions(weights map[string]int) []string {
	var actions []string
	for _, action := range slices.Sorted(maps.Keys(weights)) {
		actions = append(actions, slices.Repeat([]string{action}, weights[action])...)
	}
	return actions
}

// step does one random action of the model.
func (m *model) step(t *rapid.T, actions []string) {
	vm, ok := m.running(t)
	switch action := uniform(t, "action", actions); {
	case action == "advance":
		m.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	case action == "advance far":
		m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case action == "deliver message":
		m.deliverMessage(t)
	case action == "start":
		m.start(vm)
	case !ok:
	case action == "take":
		units := rapid.Int64Range(1, 10_000).Draw(t, "units")
		if ok, _ := vm.manager.ledger.Take(modelAccount, units); ok {
			m.admit(t, units)
		}
	case action == "take all":
		if units := vm.free(); units > 0 {
			if ok, _ := vm.manager.ledger.Take(modelAccount, units); !ok {
				t.Fatal("units that are reported as free cannot be taken")
			}
			m.admit(t, units)
		}
	case action == "connect":
		if ok, _ := vm.manager.ledger.Take(modelConnection, Unit); ok && vm.manager.ledger.Excess(modelConnection) > 0 {
			t.Fatal("a connection beyond the limit was admitted")
		}
		if rapid.Bool().Draw(t, "release") {
			vm.manager.ledger.Release(modelConnection, max(Unit, vm.manager.ledger.Excess(modelConnection)))
		}
	case action == "borrow":
		m.borrow(t, vm)
	case action == "return":
		share := rapid.SampledFrom([]string{modelAccount, modelConnection}).Draw(t, "share")
		for _, lender := range vm.manager.ledger.lendersOf(share) {
			if loanReturn, ok := vm.manager.ledger.Return(share, lender); ok {
				m.returns = append(m.returns, loanReturn)
			}
		}
	case action == "pause":
		m.pause(t, vm)
	case action == "crash":
		vm.manager = nil
	case action == "leave":
		vm.manager.Leave()
		m.changeRoster(vm.domain, func(r Roster) (Roster, bool) { return r.Leave(vm.member()) })
		vm.manager = nil
	case action == "remove gone":
		terminated := func(name string) bool { return m.byName(name).manager == nil }
		m.changeRoster(vm.domain, func(r Roster) (Roster, bool) { return r.Remove(terminated) })
	case action == "change settings":
		m.changeSettings(t)
	case action == "change domains":
		m.changeRoot(t)
	case action == "deliver documents":
		root, shop := rapid.IntRange(1, len(m.root)-1).Draw(t, "root"), rapid.IntRange(1, len(m.shop)-1).Draw(t, "shop")
		m.deliver(t, vm, root, shop, rapid.IntRange(0, 3).Draw(t, "lag"))
	case action == "beat":
		m.heartbeat(vm)
	case action == "raise":
		m.applyIncreases(vm)
	case action == "converge":
		m.converge(t)
	}
}

// deliverMessage delivers or loses a random message of each kind. A message can stay
// on the network and be delivered again.
func (m *model) deliverMessage(t *rapid.T) {
	if request, ok := pickMessage(t, &m.requests); ok {
		if lender := m.byName(request.Lender); m.isRunning(lender) {
			loan := lender.manager.ledger.Lend(request)
			m.loans = append(m.loans, func() {
				if borrower := m.byName(request.VM); m.isRunning(borrower) && borrower.manager.ledger.Accept(request, loan) {
					m.loansIn++
				}
			})
		}
	}
	if accept, ok := pickMessage(t, &m.loans); ok {
		accept()
	}
	if loanReturn, ok := pickMessage(t, &m.returns); ok {
		if lender := m.byName(loanReturn.Lender); m.isRunning(lender) {
			lender.manager.ledger.HandleReturn(loanReturn)
		}
	}
	if heartbeat, ok := pickMessage(t, &m.heartbeats); ok {
		if vm, ok := m.running(t); ok {
			heartbeat(vm.manager)
		}
	}
}

// borrow requests a loan from a random peer, or makes the request to it fail if one is
// pending.
func (m *model) borrow(t *rapid.T, vm *modelVM) {
	lender := m.byName(uniform(t, "lender", modelVMs))
	share := rapid.SampledFrom([]string{modelAccount, modelAccount, modelConnection}).Draw(t, "share")
	if lender == vm {
		return
	}
	spec := LoanSpec{
		Lender: lender.name,
		Amount: Amount{Rate: rapid.Int64Range(0, 100_000).Draw(t, "rate"), Burst: rapid.Int64Range(0, 100_000).Draw(t, "burst")},
		Tokens: rapid.Int64Range(0, 50_000).Draw(t, "tokens"),
	}
	if share == modelConnection {
		spec.Amount = Amount{Burst: wholeUnits(spec.Burst / 10)}
	}
	request, ok := vm.manager.ledger.Borrow(share, spec)
	if !ok {
		if s, found := vm.manager.ledger.find(share); found {
			vm.manager.ledger.Fail(s.pending[lender.name])
		}
		return
	}
	m.requests = append(m.requests, request)
}

// pause stops a process, suspends a VM, or sets its wall clock. It does not both
// suspend a VM and set its wall clock back within the time of a loan, because then
// neither of its clocks would show the time that has passed.
func (m *model) pause(t *rapid.T, vm *modelVM) {
	d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
	switch uniform(t, "pause", []string{"process", "VM", "wall forward", "wall back"}) {
	case "process":
		vm.pausedUntil = m.now + d
	case "VM":
		if m.now < vm.steppedBack+reclaimTime {
			return
		}
		vm.pausedUntil = m.now + d
		vm.resumed = vm.pausedUntil
	case "wall forward":
		vm.clock.wall += d
	default:
		if m.now < vm.resumed+reclaimTime {
			return
		}
		vm.steppedBack = m.now
		vm.clock.wall -= d
	}
}

// converge gives every running daemon the newest documents and heartbeats, so that the
// increases of base shares can be applied.
func (m *model) converge(t *rapid.T) {
	for _, vm := range m.vms {
		if m.isRunning(vm) {
			m.deliver(t, vm, len(m.root)-1, len(m.shop)-1, 0)
			m.heartbeat(vm)
		}
	}
	for _, vm := range m.vms {
		if !m.isRunning(vm) {
			continue
		}
		for _, heartbeat := range m.heartbeats[max(len(m.heartbeats)-len(m.vms), 0):] {
			heartbeat(vm.manager)
		}
		m.applyIncreases(vm)
	}
}

// TestConservation guards against daemons that together have, or admit, more than the
// settings in force allow, after any sequence of takes, loans, lost, late and repeated
// messages, pauses, clock steps, restarts, joins, leaves and changes of rate and
// failure domains.
func TestConservation(t *testing.T) {
	var admitted, loans, inForce int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.converge(t)
		m.advance(2 * reclaimTime)
		m.converge(t)
		actions := actions(rapid.SampledFrom(modelProfiles).Draw(t, "profile"))
		for range rapid.SampledFrom([]int{100, 600, 1500}).Draw(t, "steps") {
			m.step(t, actions)
			m.check(t)
		}
		admitted += m.admitted
		loans += m.loansIn
		inForce += m.inForce[0] + m.inForce[1]
	})
	t.Logf("%d takes admitted, %d loans used, %d revisions in force", admitted, loans, inForce)
	if admitted < 1000 || loans < 100 || inForce < 100 {
		t.Error("the model ran too few actions for the check to be meaningful")
	}
}
