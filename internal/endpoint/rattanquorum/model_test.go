package rattanquorum_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanquorum"
)

const (
	lifetime = time.Second
	leaseTTL = 2 * time.Second
	margin   = 100 * time.Millisecond
	group    = "orders"
)

// Rules that a run of the model leaves out, to show that it notices their absence.
const (
	withoutMembership = "roll"
	withoutTerm       = "term"
	withoutRecords    = "records"
	withoutLimit      = "limit"
	withoutLease      = "lease"
	// withoutWitnesses waits for one daemon that has stopped, however many answers
	// may be missing.
	withoutWitnesses = "witnesses"
)

// A model is a store and some daemons before one group. Its daemons use the
// decisions of rattangrant and rattanquorum; the steps of a switch are those of
// rattanswitchover, one event each.
type model struct {
	clock   *clockwork.FakeClock
	omitted string
	record  rattangrant.PrimaryRecord
	// recorded is the revision of the record, revision that of the store.
	recorded, revision int64
	membership         rattanquorum.Membership
	listed             map[string]time.Time // until when the lease lasts
	leadership         string
	nodes              []*node
	// lowered is when fewer daemons than before were tolerated.
	lowered time.Time
	// leading is the number of the last promotion.
	leading int
}

type node struct {
	name        string
	incarnation int
	isStarted   bool
	isStoreUp   bool
	isPeerUp    bool
	grants      *rattangrant.Grants
	membership  rattanquorum.Membership
	record      rattangrant.PrimaryRecord
	revision    int64
	view        map[string]bool
	gone        map[string]time.Time
	complete    time.Time
	running     *running
}

type running struct {
	number, revision int64
	confirmed        map[string]time.Time
}

func newModel(omitted string, names []string) *model {
	m := &model{
		clock: clockwork.NewFakeClock(), omitted: omitted, recorded: 1, revision: 1,
		record:     rattangrant.PrimaryRecord{Primary: "p0", Version: 1},
		membership: make(rattanquorum.Membership), listed: make(map[string]time.Time),
	}
	for _, name := range names {
		n := &node{name: name, isStoreUp: true, isPeerUp: true}
		m.nodes = append(m.nodes, n)
		m.restart(n)
		n.isStarted = name != newcomer
	}
	return m
}

func (m *model) restart(n *node) {
	n.incarnation++
	n.isStarted = true
	n.grants = rattangrant.New(m.clock, lifetime)
	n.membership, n.record, n.revision = nil, rattangrant.PrimaryRecord{}, 0
	n.view, n.gone = nil, make(map[string]time.Time)
	n.complete, n.running = time.Time{}, nil
}

func (n *node) id() string { return fmt.Sprint(n.incarnation) }

func (m *model) expire() {
	for name, until := range m.listed {
		if !m.clock.Now().Before(until) {
			delete(m.listed, name)
		}
	}
	if _, ok := m.listed[m.leadership]; !ok {
		m.leadership = ""
	}
}

func (n *node) learn(record rattangrant.PrimaryRecord, revision int64) {
	if revision > n.revision {
		n.record, n.revision = record, revision
		n.grants.UpdateRecord(group, record, revision)
	}
}

// renew renews the lease, or lists the daemon again.
func (m *model) renew(n *node) bool {
	if !n.isStarted || !n.isStoreUp {
		return false
	}
	now := m.clock.Now()
	if _, ok := m.listed[n.name]; ok && n.membership != nil {
		m.listed[n.name] = now.Add(leaseTTL)
		n.grants.Renew(now)
		return true
	}
	n.grants.MarkLeaseLost()
	m.listed[n.name] = now.Add(leaseTTL)
	m.enter(n)
	if n.membership == nil {
		m.read(n)
	}
	n.learn(m.record, m.recorded)
	n.grants.MarkInitialSync(now)
	return true
}

// enter writes the daemon's entry on the roll.
func (m *model) enter(n *node) bool {
	if _, ok := m.listed[n.name]; !ok || !n.isStarted || !n.isStoreUp {
		return false
	}
	m.revision++
	entry := m.membership[n.name]
	if entry.Created == 0 {
		entry.Created = m.revision
	}
	entry.Incarnation, entry.Revision = n.id(), m.revision
	m.membership[n.name] = entry
	return true
}

// read takes everything in the store in, as a watch does.
func (m *model) read(n *node) bool {
	if !n.isStarted || !n.isStoreUp {
		return false
	}
	now := m.clock.Now()
	n.learn(m.record, m.recorded)
	n.membership = make(rattanquorum.Membership)
	for name, entry := range m.membership {
		n.membership[name] = entry
	}
	view := make(map[string]bool)
	for name := range m.listed {
		view[name] = true
		delete(n.gone, name)
	}
	for name := range n.view {
		if !view[name] {
			n.gone[name] = now
		}
	}
	n.view = view
	if n.complete.IsZero() {
		n.complete = now
	}
	n.grants.MarkSynced(now)
	return true
}

func (m *model) find(name string) *node {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// reaches reports whether a daemon's question to another one, of an incarnation,
// is answered.
func (m *model) reaches(from, to *node, incarnation string) bool {
	return from == to || to.isStarted && from.isPeerUp && to.isPeerUp && to.id() == incarnation
}

// extend asks for everyone's promise, as the extension of a daemon does.
func (m *model) extend(n *node) bool {
	if !n.isStarted || n.membership[n.name].Incarnation != n.id() {
		return false
	}
	asked := m.clock.Now()
	if m.omitted == withoutLease {
		n.grants.Extend(asked.Add(rattanquorum.AnswerLifetime), rattanquorum.MaxLifetime)
		return true
	}
	for _, name := range n.membership.Collectors() {
		collector := m.find(name)
		if m.reaches(n, collector, n.membership[name].Incarnation) && m.collect(collector, n.membership) {
			return m.rely(n, collector, asked)
		}
	}
	return false
}

// collect asks all daemons on a roll for their records.
func (m *model) collect(collector *node, membership rattanquorum.Membership) bool {
	var answered []*node
	for name, entry := range membership {
		other := m.find(name)
		if m.reaches(collector, other, entry.Incarnation) && other.membership.Digest() == membership.Digest() {
			answered = append(answered, other)
		}
	}
	if len(answered) < len(membership)-rattanquorum.Tolerated(len(membership)) {
		return false
	}
	if m.omitted != withoutRecords {
		for _, other := range answered {
			collector.learn(other.record, other.revision)
		}
	}
	return true
}

func (m *model) rely(n, collector *node, asked time.Time) bool {
	until := asked.Add(rattanquorum.AnswerLifetime)
	if m.omitted != withoutRecords {
		n.learn(collector.record, collector.revision)
	}
	limit := rattanquorum.MaxLifetime
	if m.omitted == withoutLimit {
		limit *= 100
	}
	n.grants.Extend(until.Add(-rattanquorum.Margin), limit)
	return true
}

func (m *model) hasToken(n *node) bool {
	_, isOwned := n.grants.LeaseExpiry()
	return isOwned && m.leadership == n.name
}

// mark takes the duty if it is free and marks a switch.
func (m *model) mark(n *node) bool {
	_, isOwned := n.grants.LeaseExpiry()
	_, isListed := m.listed[n.name]
	if !n.isStarted || !n.isStoreUp || !isOwned || !isListed || n.running != nil || n.revision != m.recorded {
		return false
	}
	if m.leadership == "" {
		m.leadership = n.name
	}
	if m.leadership != n.name {
		return false
	}
	m.record.IsSwitching = true
	m.record.Version++
	m.revision++
	m.recorded = m.revision
	m.read(n)
	n.running = &running{number: m.record.Version, revision: m.recorded, confirmed: map[string]time.Time{n.name + "/" + n.id(): m.clock.Now()}}
	return true
}

// tell asks a daemon on the roll directly to stop.
func (m *model) tell(n, other *node) bool {
	if n.running == nil || other == n || !m.reaches(n, other, n.membership[other.name].Incarnation) {
		return false
	}
	other.learn(n.record, n.revision)
	if _, ok := n.running.confirmed[other.name+"/"+other.id()]; !ok {
		n.running.confirmed[other.name+"/"+other.id()] = m.clock.Now()
	}
	return true
}

// advance revokes the leases of those that have not confirmed, or promotes.
func (m *model) advance(n *node) bool {
	if n.running == nil || !n.isStoreUp || n.revision != m.recorded {
		return false
	}
	m.read(n)
	if !m.hasToken(n) {
		return false
	}
	now := m.clock.Now()
	isWaiting := false
	for name := range m.listed {
		if _, ok := n.running.confirmed[name+"/"+n.membership[name].Incarnation]; !ok {
			delete(m.listed, name)
			isWaiting = true
		}
	}
	if isWaiting {
		m.read(n)
		return true
	}
	since := now.Add(-lifetime - margin)
	for _, at := range n.gone {
		isWaiting = isWaiting || at.After(since)
	}
	outstanding := n.membership.Outstanding(now, func(name string) rattanquorum.MemberStatus {
		at, ok := n.running.confirmed[name+"/"+n.membership[name].Incarnation]
		standing := rattanquorum.MemberStatus{HasStopped: ok, StoppedAt: at}
		if ok && m.omitted == withoutTerm {
			standing.StoppedAt = now.Add(-time.Minute)
		}
		if !n.view[name] {
			standing.UnregisteredSince = n.unlistedSince(name)
		}
		return standing
	})
	switch m.omitted {
	case withoutMembership:
		outstanding = nil
	case withoutWitnesses:
		outstanding = slices.DeleteFunc(outstanding, func(name string) bool { return n.hasOneWitness(name, now) })
	}
	if isWaiting || n.complete.After(since) || len(outstanding) > 0 {
		return false
	}
	m.leading++
	m.record = rattangrant.PrimaryRecord{Primary: fmt.Sprintf("p%d", m.leading), Version: m.record.Version + 1}
	m.revision++
	m.recorded = m.revision
	n.learn(m.record, m.recorded)
	n.running = nil
	return true
}

// hasOneWitness reports whether one VM that was on the roll before a daemon has
// stopped long ago.
func (n *node) hasOneWitness(name string, now time.Time) bool {
	for other, entry := range n.membership {
		at, ok := n.running.confirmed[other+"/"+entry.Incarnation]
		if ok && entry.Created < n.membership[name].Revision && now.Sub(at) >= rattanquorum.AnswerLifetime+rattanquorum.Margin {
			return true
		}
	}
	return false
}

// abandon ends a switch without the duty.
func (m *model) abandon(n *node) bool {
	if n.running == nil || m.hasToken(n) {
		return false
	}
	n.running = nil
	return true
}

func (n *node) unlistedSince(name string) time.Time {
	if at, ok := n.gone[name]; ok {
		return at
	}
	return n.complete
}

// sweep removes daemons that have not been listed for long from the roll.
func (m *model) sweep(n *node) bool {
	if !n.isStarted || !n.isStoreUp || !m.hasToken(n) {
		return false
	}
	m.read(n)
	if !n.membership.CanRemove(m.clock.Since(m.lowered)) {
		return false
	}
	for name := range n.membership {
		if !n.view[name] && m.clock.Since(n.unlistedSince(name)) >= rattanquorum.MaxLifetime+rattanquorum.Margin {
			before := len(m.membership)
			delete(m.membership, name)
			m.revision++
			if rattanquorum.Tolerated(len(m.membership)) < rattanquorum.Tolerated(before) {
				m.lowered = m.clock.Now()
			}
			return true
		}
	}
	return false
}

func (m *model) tick(d time.Duration) bool {
	m.clock.Advance(d)
	m.expire()
	return true
}

// broken returns what breaks the rule that there is one primary at a time.
func (m *model) broken() string {
	for _, n := range m.nodes {
		primary, ok := n.grants.Primary(group)
		if ok && primary != fmt.Sprintf("p%d", m.leading) {
			return fmt.Sprintf("%s may send primary work to %s although p%d leads", n.name, primary, m.leading)
		}
	}
	return ""
}

// An event is one thing that may happen; run returns false when it cannot.
type event struct {
	name string
	run  func(*model) bool
}

func nodeEvent(name string, at int, run func(*model, *node) bool) event {
	return event{fmt.Sprintf("%s %d", name, at), func(m *model) bool { return run(m, m.nodes[at]) }}
}

// events returns all events; faults are those that come from outside.
func events(size int) (steps, faults []event) {
	for at := range size {
		steps = append(steps,
			nodeEvent("renew", at, (*model).renew), nodeEvent("read", at, (*model).read),
			nodeEvent("extend", at, (*model).extend), nodeEvent("mark", at, (*model).mark),
			nodeEvent("advance", at, (*model).advance), nodeEvent("abandon", at, (*model).abandon),
			nodeEvent("sweep", at, (*model).sweep), nodeEvent("enter", at, (*model).enter),
		)
		for other := range size {
			steps = append(steps, nodeEvent(fmt.Sprintf("tell %d by", other), at, func(m *model, n *node) bool { return m.tell(n, m.nodes[other]) }))
		}
		faults = append(faults,
			nodeEvent("store", at, func(_ *model, n *node) bool { n.isStoreUp = !n.isStoreUp; return true }),
			nodeEvent("peers", at, func(_ *model, n *node) bool { n.isPeerUp = !n.isPeerUp; return true }),
			nodeEvent("restart", at, func(m *model, n *node) bool { m.restart(n); return true }),
		)
	}
	for _, d := range []time.Duration{100, 400, 1200} {
		steps = append(steps, event{fmt.Sprintf("tick %d", d), func(m *model) bool { return m.tick(d * time.Millisecond) }})
	}
	return steps, faults
}
