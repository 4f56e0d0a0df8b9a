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
	depth = flag.Int("model.depth", 3, "number of events in each sequence of the exhaustive test")
	walks = flag.Uint64("model.walks", 1000, "number of random sequences from each initial state")
)

// A beginning is an initial state from which events run.
type beginning struct {
	name string
	// names are the daemons, twoAndNewcomer if empty; the last one has not started.
	names []string
	// isAlone is true when the second daemon does not start.
	isAlone bool
	// partitioned are the indexes of the daemons that cannot reach the store.
	partitioned []int
	// isNewcomerUp is true when the last daemon has just registered.
	isNewcomerUp bool
	// isRestored is true when the store has lost a switchover.
	isRestored bool
	// faults is the percentage of random events that are faults from outside.
	faults int
}

const newcomer = "n"

// Beginnings from which TestOnePrimaryNeedsEachRule omits a rule.
const (
	onePartitioned   = "one cannot reach the store"
	newcomerServed   = "store serves only a newcomer"
	alonePartitioned = "one daemon alone, store serves only a newcomer"
	oneOfFourServed  = "store serves one of four"
	lostSwitchover   = "store lost a switchover"
)

var (
	twoAndNewcomer  = []string{"a", "h", newcomer}
	fourAndNewcomer = []string{"a", "h", "b", "c", newcomer}
)

var beginnings = []beginning{
	{name: "settled", faults: 8},
	{name: onePartitioned, partitioned: []int{0}, faults: 3},
	{name: "none can reach the store", partitioned: []int{0, 1}, faults: 3},
	{name: newcomerServed, partitioned: []int{0, 1}, isNewcomerUp: true, faults: 1},
	{name: alonePartitioned, isAlone: true, partitioned: []int{0}, isNewcomerUp: true},
	{name: "four settled", names: fourAndNewcomer, faults: 8},
	{name: "none of four can reach the store", names: fourAndNewcomer, partitioned: []int{0, 1, 2, 3}, faults: 4},
	{name: oneOfFourServed, names: fourAndNewcomer, partitioned: []int{0, 2, 3}, faults: 4},
	{name: lostSwitchover, isRestored: true, faults: 8},
	{name: "store lost a switchover, one cannot reach it", isRestored: true, partitioned: []int{0}, faults: 8},
	{name: "store of four lost a switchover", names: fourAndNewcomer, isRestored: true, partitioned: []int{2}, faults: 8},
	{name: "store serves two of four", names: fourAndNewcomer, partitioned: []int{0, 3}, faults: 4},
}

func (b beginning) all() []string {
	if len(b.names) == 0 {
		return twoAndNewcomer
	}
	return b.names
}

// begin returns a model whose started daemons have been registered and synced for
// long, with the faults of the beginning.
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
	if b.isRestored {
		m.loseSwitchover()
	}
	for _, at := range b.partitioned {
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

// walk runs random events. It returns the first violation, if any, with the events.
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
			// Lease renewals and grant extensions are much more frequent than all
			// other events.
			next = []event{
				{"renew all", (*model).renewAll},
				{"extend all", (*model).extendAll},
				{"tick 400", func(m *model) bool { return m.tick(400 * time.Millisecond) }},
			}[at%3]
		}
		if next.run(m) {
			played = append(played, next.name)
		}
		if violation := m.violation(); violation != "" {
			return violation, played
		}
	}
	return "", played
}

// TestOnePrimary guards against two daemons that use different endpoints as the
// primary, over random sequences of steps, partitions, lease expiries and restarts.
func TestOnePrimary(t *testing.T) {
	t.Parallel()
	for _, b := range beginnings {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *walks {
				if violation, played := walk(b, "", seed); violation != "" {
					t.Fatalf("seed %d: %s after:\n%s", seed, violation, strings.Join(played, "\n"))
				}
			}
		})
	}
}

// TestOnePrimaryNeedsEachRule guards against a model that does not detect that a rule
// is missing.
func TestOnePrimaryNeedsEachRule(t *testing.T) {
	t.Parallel()
	for omitted, from := range map[string]string{
		withoutMembership: newcomerServed, withoutTerm: onePartitioned, withoutRecords: onePartitioned,
		withoutLimit: alonePartitioned, withoutLease: onePartitioned, withoutWitnesses: oneOfFourServed,
		withoutVersions: lostSwitchover, withoutAsking: lostSwitchover,
	} {
		t.Run(omitted, func(t *testing.T) {
			t.Parallel()
			b := beginnings[slices.IndexFunc(beginnings, func(b beginning) bool { return b.name == from })]
			for seed := range uint64(20_000) {
				if violation, _ := walk(b, omitted, seed); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("the model does not detect that the rule is missing")
		})
	}
}

// TestOnePrimaryExhaustive guards against a short sequence of events that violates
// the rule and that random sequences miss. It runs all sequences up to a length from
// each beginning, and continues from each state once.
func TestOnePrimaryExhaustive(t *testing.T) {
	t.Parallel()
	for _, b := range beginnings {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			steps, faults := events(len(b.all()))
			all := append(steps, faults...)
			seen := make(map[string]bool)
			sequences := [][]int{nil}
			for range *depth {
				var next [][]int
				for _, sequence := range sequences {
					for at := range all {
						m := b.begin("")
						for _, earlier := range sequence {
							all[earlier].run(m)
						}
						if !all[at].run(m) {
							continue
						}
						if violation := m.violation(); violation != "" {
							t.Fatalf("%s after %v, %s", violation, sequence, all[at].name)
						}
						if key := m.key(); !seen[key] {
							seen[key] = true
							next = append(next, append(sequence[:len(sequence):len(sequence)], at))
						}
					}
				}
				sequences = next
			}
			t.Logf("%d states", len(seen))
		})
	}
}

// key identifies the state of the model, so that equal states are explored once.
func (m *model) key() string {
	now := m.clock.Now()
	age := func(t time.Time) time.Duration { return min(now.Sub(t), 20*time.Second) }
	key := fmt.Sprint(m.record, m.revision, m.membership.Digest(), m.leader, m.primaryNumber, m.settledEra, m.isForgotten)
	if m.saved != nil {
		key += fmt.Sprint(m.saved.record, m.saved.revision, m.saved.membership.Digest(), m.saved.leader, m.saved.registered, m.saved.settledEra)
	}
	for _, n := range m.nodes {
		lease, isRegistered := m.registered[n.name]
		key += fmt.Sprint("|", n.incarnation, n.isStarted, n.isFresh, n.isStoreUp, n.isPeerUp, n.leaseEra, n.era, n.membership.Digest(), n.revision, n.registeredSeen,
			isRegistered, isRegistered && lease.After(now), age(lease), n.grants.Remaining(), age(n.firstSyncAt))
		for _, name := range fourAndNewcomer {
			key += fmt.Sprint(" ", age(n.unregisteredAt[name]))
		}
		if n.switchover != nil {
			key += fmt.Sprint(n.switchover.version)
			for id, at := range n.switchover.confirmed {
				key += fmt.Sprint(id, age(at))
			}
		}
	}
	return key
}
