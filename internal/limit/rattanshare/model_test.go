package rattanshare

import (
	"context"
	"flag"
	"slices"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes each run of the property tests the same.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const (
	modelAccount    = "account/shop/dealer-1"
	modelConnection = "connection/shop/orders-a"
	// modelDrift is the largest drift of a clock, in thousandths of the elapsed time.
	modelDrift = 5
)

// modelVMs are the VMs of the model; the first letter names the failure domain.
var modelVMs = []string{"a0", "a1", "a2", "b0", "b1", "b2"}

// A modelClock has a monotonic and a wall clock that drift, stand still and step
// independently of each other.
type modelClock struct {
	base       time.Time
	mono, wall time.Duration
	drift      int64
}

func (c *modelClock) Now() time.Time { return clockReading(c.base, c.mono, c.wall) }

func (c *modelClock) After(time.Duration) <-chan time.Time { return nil }

// clockReading returns the time that is mono after base by the monotonic clock and
// wall after base by the wall clock. The time package offers no way to make such a
// time, so it changes the monotonic reading in place.
func clockReading(base time.Time, mono, wall time.Duration) time.Time {
	t := base.Add(wall)
	monotonic := (*int64)(unsafe.Add(unsafe.Pointer(&t), unsafe.Sizeof(uint64(0))))
	*monotonic += int64(mono - wall)
	return t
}

// TestClockReading guards against a change of the layout of time.Time, after which the
// two clocks of the model would no longer differ as intended.
func TestClockReading(t *testing.T) {
	base := time.Now()
	got := clockReading(base, time.Second, time.Minute)
	if got.Sub(base) != time.Second || got.Round(0).Sub(base.Round(0)) != time.Minute {
		t.Errorf("clock advanced by %s monotonic and %s wall time, want 1 s and 1 min", got.Sub(base), got.Round(0).Sub(base.Round(0)))
	}
}

// noPeers loses every message. The model delivers messages itself.
type noPeers struct{}

func (noPeers) Borrow(context.Context, BorrowRequest) (Loan, error) { return Loan{}, errLost }

func (noPeers) Return(context.Context, LoanReturn) error { return errLost }

// A modelVM is one VM of the model. manager is nil while no process runs there.
type modelVM struct {
	name        string
	domain      string
	incarnation uint64
	clock       *modelClock
	manager     *Manager
	// root and shop are the revisions of the settings documents received.
	root, shop  int
	pausedUntil time.Duration
	// resumed is the time at which the VM resumes from its last suspension, and
	// steppedBack the time at which its wall clock was last set back.
	resumed, steppedBack time.Duration
}

// A replacedVersion is an earlier version of the settings, as revisions of the root and
// shop documents, and the time until which its amounts can be in use.
type replacedVersion struct {
	settings [2]int
	until    time.Duration
}

// A model is a fleet in which every message can be lost, late or repeated. It also has
// the true global state, such as the settings in force, which no daemon sees.
type model struct {
	now        time.Duration
	vms        []*modelVM
	root       [][]string          // failure domains by revision
	shop       []map[string]Amount // amounts by revision
	rosters    map[string][]Roster // by failure domain, all revisions
	requests   []BorrowRequest
	loans      []func()
	returns    []LoanReturn
	heartbeats []func(*Manager)
	// inForce is the newest version of the settings that is in force, as the revisions
	// of the root and shop documents.
	inForce [2]int
	// replaced has the earlier versions. The loans of a process that ended before it
	// confirmed the present version can still be in use for some time.
	replaced []replacedVersion
	// level is the level of a leaky bucket of the admitted units, in 1e-9 thousandths,
	// and depth the largest burst allowed since the bucket was last empty, in
	// thousandths. The bucket overflows when too much was admitted in any interval.
	level, depth int64
	admitted     int
	loansIn      int
}

func newModel(t *rapid.T) *model {
	m := &model{rosters: make(map[string][]Roster)}
	base := time.Now()
	for _, name := range modelVMs {
		m.rosters[name[:1]] = []Roster{{}}
		m.vms = append(m.vms, &modelVM{
			name:   name,
			domain: name[:1],
			clock:  &modelClock{base: base, drift: rapid.Int64Range(-modelDrift, modelDrift).Draw(t, "drift")},
		})
	}
	m.root = [][]string{nil}
	m.shop = []map[string]Amount{nil}
	m.changeSettings(t)
	m.changeRoot(t)
	for _, vm := range m.vms {
		m.start(vm)
		vm.root, vm.shop = 1, 1
	}
	return m
}

func (m *model) changeSettings(t *rapid.T) {
	amount := rapid.SampledFrom([]int64{1, 999, 20_000, 100_001, 500_000})
	m.shop = append(m.shop, map[string]Amount{
		modelAccount:    {Rate: amount.Draw(t, "rate"), Burst: amount.Draw(t, "burst")},
		modelConnection: {Burst: Unit * rapid.Int64Range(0, 20).Draw(t, "connections")},
	})
}

func (m *model) changeRoot(t *rapid.T) {
	m.root = append(m.root, rapid.SampledFrom([][]string{{"a", "b"}, {"a"}, {"b"}, {"a", "b", "c"}}).Draw(t, "domains"))
	if len(m.rosters["c"]) == 0 {
		m.rosters["c"] = []Roster{{}}
	}
}

// start starts a process and adds it to the roster.
func (m *model) start(vm *modelVM) {
	if vm.manager != nil {
		return
	}
	vm.incarnation++
	vm.root, vm.shop = 0, 0
	vm.manager = New(vm.clock, vm.name, vm.incarnation, vm.domain, noPeers{})
	m.changeRoster(vm.domain, func(r Roster) (Roster, bool) { return r.Join(vm.member()) })
}

func (m *model) changeRoster(domain string, change func(Roster) (Roster, bool)) {
	history := m.rosters[domain]
	if roster, ok := change(history[len(history)-1]); ok {
		roster.Revision = uint64(len(history))
		m.rosters[domain] = append(history, roster)
	}
}

// free returns the thousandths of the account's share that can be taken now.
func (vm *modelVM) free() int64 {
	snapshot, _ := vm.manager.ledger.Share(modelAccount)
	return snapshot.Free
}

func (vm *modelVM) member() Member { return Member{VM: vm.name, Incarnation: vm.incarnation} }

// deliver gives vm the settings documents of the given revisions and the rosters as
// they were lag revisions ago. It checks that reductions are in force at once.
func (m *model) deliver(t *rapid.T, vm *modelVM, root, shop, lag int) {
	vm.root, vm.shop = max(vm.root, root), max(vm.shop, shop)
	vm.manager.SetSettings(Settings{
		Revisions: map[string]uint64{"root": uint64(vm.root), "shop": uint64(vm.shop)},
		Domains:   m.root[vm.root],
		Shares:    m.shop[vm.shop],
	})
	for domain, history := range m.rosters {
		vm.manager.SetRoster(domain, history[max(len(history)-1-lag, 0)])
	}
	for share := range m.shop[vm.shop] {
		if base, part := vm.manager.ledger.Base(share), vm.manager.version.base(share); !part.covers(base) {
			t.Fatalf("%s has the base share %v of %s, after settings and rosters that give it %v", vm.name, base, share, part)
		}
	}
}

// heartbeat queues a heartbeat with the confirmation of vm.
func (m *model) heartbeat(vm *modelVM) {
	member, confirmation := vm.member(), vm.manager.Confirmation()
	m.heartbeats = append(m.heartbeats, func(to *Manager) { to.SetConfirmation(member, confirmation) })
}

// applyIncreases does the part of the periodic work of vm that applies increases.
// Settings are in force when any daemon finds that all have confirmed them. From then
// on the fleet may not have more than they allow.
func (m *model) applyIncreases(vm *modelVM) {
	vm.manager.mu.Lock()
	defer vm.manager.mu.Unlock()
	vm.manager.applyIncreases()
	if !vm.manager.increasesApplied || vm.root < m.inForce[0] || vm.shop < m.inForce[1] || m.inForce == [2]int{vm.root, vm.shop} {
		return
	}
	m.replaced = append(m.replaced, replacedVersion{m.inForce, m.now + reclaimTime})
	m.inForce = [2]int{vm.root, vm.shop}
}

// allowed returns the amount that the whole fleet may have of a share now.
func (m *model) allowed(share string) Amount {
	allowed := m.shop[m.inForce[1]][share]
	for _, replaced := range m.replaced {
		if m.now < replaced.until {
			allowed = allowed.max(m.shop[replaced.settings[1]][share])
		}
	}
	return allowed
}

// drain lowers the level for the time d at the rate that is allowed now, plus the
// largest drift of a clock.
func (m *model) drain(d time.Duration) {
	m.level = max(m.level-m.allowed(modelAccount).Rate*int64(d)/1000*(1000+modelDrift), 0)
	if m.level == 0 {
		m.depth = 0
	}
	m.depth = max(m.depth, m.allowed(modelAccount).Burst)
}

// admit records that a daemon has admitted units thousandths, and checks that the fleet
// was allowed to.
func (m *model) admit(t *rapid.T, units int64) {
	m.drain(0)
	m.admitted++
	m.level += units * int64(time.Second)
	if excess := m.level/int64(time.Second) - m.depth; excess > 0 {
		t.Fatalf("admitted %d thousandths more than burst %d and rate %d allow", excess, m.depth, m.allowed(modelAccount).Rate)
	}
}

// check checks that the amounts that all processes could use now add up to no more than
// allowed. It does not change the state of any process.
func (m *model) check(t *rapid.T) {
	for _, share := range []string{modelAccount, modelConnection} {
		sum := Amount{}
		for _, vm := range m.vms {
			if vm.manager == nil {
				continue
			}
			if s, ok := vm.manager.ledger.find(share); ok {
				sum = sum.add(usable(s, vm.clock.Now()))
			}
		}
		if allowed := m.allowed(share); !allowed.covers(sum) {
			t.Fatalf("%s: the daemons together could use %v, want at most %v", share, sum, allowed)
		}
	}
}

// usable returns the limit that s would have after a refresh at now.
func usable(s *share, now time.Time) Amount {
	amount := s.base
	for _, loan := range s.lent {
		debit := Amount{}
		for _, response := range loan.responses {
			if now.Sub(response.at) < reclaimTime {
				debit = debit.max(response.Amount)
			}
		}
		amount = amount.sub(debit)
	}
	amount = amount.max(Amount{})
	for _, loan := range s.borrowed {
		if !loan.isOver(now) {
			amount = amount.add(loan.Amount)
		}
	}
	return amount
}

// uniform draws one of choices, each with nearly the same probability. SampledFrom
// prefers the first ones, so that the others would be drawn too rarely.
func uniform[T any](t *rapid.T, label string, choices []T) T {
	index := rapid.Custom(func(t *rapid.T) int {
		index := 0
		for range 16 {
			index <<= 1
			if rapid.Bool().Draw(t, "bit") {
				index++
			}
		}
		return index % len(choices)
	}).Draw(t, label)
	return choices[index]
}

// pickMessage returns a random message of a queue, and false when it is lost or the
// queue is empty. It removes the message or leaves it in the queue for another delivery.
func pickMessage[T any](t *rapid.T, queue *[]T) (T, bool) {
	var zero T
	if len(*queue) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	message := (*queue)[i]
	if rapid.IntRange(0, 3).Draw(t, "keep") > 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
	return message, rapid.IntRange(0, 9).Draw(t, "lost") > 0
}

func (m *model) byName(name string) *modelVM {
	return m.vms[slices.IndexFunc(m.vms, func(vm *modelVM) bool { return vm.name == name })]
}

// running returns a VM on which a process runs and is not paused.
func (m *model) running(t *rapid.T) (*modelVM, bool) {
	vm := m.byName(uniform(t, "vm", modelVMs))
	return vm, m.isRunning(vm)
}

func (m *model) isRunning(vm *modelVM) bool { return vm.manager != nil && vm.pausedUntil <= m.now }

// advance moves the time forward by d. The monotonic clock of a suspended VM stands
// still meanwhile.
func (m *model) advance(d time.Duration) {
	for _, vm := range m.vms {
		drifted := func(d time.Duration) time.Duration { return d + d*time.Duration(vm.clock.drift)/1000 }
		vm.clock.wall += drifted(d)
		vm.clock.mono += drifted(d - min(max(vm.resumed-m.now, 0), d))
	}
	m.drain(d)
	m.now += d
}
