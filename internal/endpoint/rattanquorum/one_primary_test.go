package rattanquorum_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	depth = flag.Int("model.depth", 3, "number of events in each order that is played out")
	walks = flag.Uint64("model.walks", 1000, "number of random orders from each beginning")
)

// A beginning is a state from which events are played.
type beginning struct {
	name string
	// names are the daemons, few if empty; the last one has not started.
	names []string
	// isAlone is true when the second daemon does not start.
	isAlone bool
	// turnedAway are the daemons that the store turns away.
	turnedAway []int
	// isNewcomerUp is true when the third daemon has just been listed.
	isNewcomerUp bool
	// faults is how many of a hundred random events are faults from outside.
	faults int
}

const newcomer = "n"

// Beginnings from which a missing rule is looked for.
const (
	oneTurnedAway   = "one turned away"
	newcomerServed  = "store serves only a newcomer"
	aloneTurnedAway = "one daemon alone, store serves only a newcomer"
	oneOfFourServed = "store serves one of four"
)

var (
	few  = []string{"a", "h", newcomer}
	many = []string{"a", "h", "b", "c", newcomer}
)

var beginnings = []beginning{
	{name: "settled", faults: 8},
	{name: oneTurnedAway, turnedAway: []int{0}, faults: 3},
	{name: "store away", turnedAway: []int{0, 1}, faults: 3},
	{name: newcomerServed, turnedAway: []int{0, 1}, isNewcomerUp: true, faults: 1},
	{name: aloneTurnedAway, isAlone: true, turnedAway: []int{0}, isNewcomerUp: true},
	{name: "four settled", names: many, faults: 8},
	{name: "store away for four", names: many, turnedAway: []int{0, 1, 2, 3}, faults: 4},
	{name: oneOfFourServed, names: many, turnedAway: []int{0, 2, 3}, faults: 4},
	{name: "store serves two of four", names: many, turnedAway: []int{0, 3}, faults: 4},
}

func (b beginning) all() []string {
	if len(b.names) == 0 {
		return few
	}
	return b.names
}

// begin returns the model with two daemons that know each other well.
func (b beginning) begin(omitted string) *model {
	m := newModel(omitted, b.all())
	m.nodes[1].isStarted = !b.isAlone
	for range 2 {
		for _, n := range m.nodes {
			m.renew(n)
			m.read(n)
		}
	}
	for _, n := range m.nodes {
		if n.membership.NeedsRenewal(n.name) {
			m.enter(n)
		}
	}
	for range 12 {
		m.tick(time.Second)
		m.renewAll()
	}
	for _, at := range b.turnedAway {
		m.nodes[at].isStoreUp = false
	}
	if b.isNewcomerUp {
		m.nodes[len(m.nodes)-1].isStarted = true
		m.tick(leaseTTL)
		m.extendAll()
		m.renewAll()
	}
	return m
}

func (m *model) renewAll() bool {
	for _, n := range m.nodes {
		m.renew(n)
		m.read(n)
	}
	return true
}

func (m *model) extendAll() bool {
	for _, n := range m.nodes {
		m.extend(n)
	}
	return true
}

// walk plays random events; it returns what broke the rule, with the events.
func walk(b beginning, omitted string, seed uint64) (string, []string) {
	random := rand.New(rand.NewPCG(seed, 1))
	steps, faults := events(len(b.all()))
	m := b.begin(omitted)
	var played []string
	for range 150 {
		next := steps[random.IntN(len(steps))]
		switch at := random.IntN(100); {
		case at < b.faults:
			next = faults[random.IntN(len(faults))]
		case at < 70:
			// Daemons renew their leases and extend their grants much more often
			// than anything else happens.
			next = []event{
				{"renew all", (*model).renewAll},
				{"extend all", (*model).extendAll},
				{"tick 400", func(m *model) bool { return m.tick(400 * time.Millisecond) }},
			}[at%3]
		}
		if next.run(m) {
			played = append(played, next.name)
		}
		if broken := m.broken(); broken != "" {
			return broken, played
		}
	}
	return "", played
}

// TestOnePrimary guards against two daemons that hold different endpoints for the
// primary, over random orders of steps, losses, expiries and restarts.
func TestOnePrimary(t *testing.T) {
	t.Parallel()
	for _, b := range beginnings {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *walks {
				if broken, played := walk(b, "", seed); broken != "" {
					t.Fatalf("seed %d: %s after:\n%s", seed, broken, strings.Join(played, "\n"))
				}
			}
		})
	}
}

// TestOnePrimaryNeedsEachRule guards against a model that would not notice a rule
// that is missing.
func TestOnePrimaryNeedsEachRule(t *testing.T) {
	t.Parallel()
	for omitted, from := range map[string]string{
		withoutMembership: newcomerServed, withoutTerm: oneTurnedAway, withoutRecords: oneTurnedAway,
		withoutLimit: aloneTurnedAway, withoutLease: oneTurnedAway, withoutWitnesses: oneOfFourServed,
	} {
		t.Run(omitted, func(t *testing.T) {
			t.Parallel()
			b := beginnings[slices.IndexFunc(beginnings, func(b beginning) bool { return b.name == from })]
			for seed := range uint64(20_000) {
				if broken, _ := walk(b, omitted, seed); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Error("the model does not notice that the rule is missing")
		})
	}
}

// TestOnePrimaryExhaustive guards against a short order of events that random
// ones miss: it plays all of them from each beginning, each state once.
func TestOnePrimaryExhaustive(t *testing.T) {
	t.Parallel()
	for _, b := range beginnings {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			steps, faults := events(len(b.all()))
			all := append(steps, faults...)
			seen := make(map[string]bool)
			orders := [][]int{nil}
			for range *depth {
				var next [][]int
				for _, order := range orders {
					for at := range all {
						m := b.begin("")
						for _, before := range order {
							all[before].run(m)
						}
						if !all[at].run(m) {
							continue
						}
						if broken := m.broken(); broken != "" {
							t.Fatalf("%s after %v, %s", broken, order, all[at].name)
						}
						if key := m.key(); !seen[key] {
							seen[key] = true
							next = append(next, append(order[:len(order):len(order)], at))
						}
					}
				}
				orders = next
			}
			t.Logf("%d states", len(seen))
		})
	}
}

// key identifies the state of the model.
func (m *model) key() string {
	now := m.clock.Now()
	age := func(t time.Time) time.Duration { return min(now.Sub(t), 20*time.Second) }
	key := fmt.Sprint(m.record, m.revision, m.membership.Digest(), m.leadership, m.leading)
	for _, n := range m.nodes {
		lease, isListed := m.listed[n.name]
		key += fmt.Sprint("|", n.incarnation, n.isStarted, n.isStoreUp, n.isPeerUp, n.membership.Digest(), n.revision, n.view,
			isListed, isListed && lease.After(now), age(lease), n.grants.Remaining(), age(n.complete))
		for _, name := range many {
			key += fmt.Sprint(" ", age(n.gone[name]))
		}
		if n.running != nil {
			key += fmt.Sprint(n.running.number)
			for id, at := range n.running.confirmed {
				key += fmt.Sprint(id, age(at))
			}
		}
	}
	return key
}
