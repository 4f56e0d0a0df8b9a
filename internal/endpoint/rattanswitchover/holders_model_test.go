package rattanswitchover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

// A modelCommit is a commit, unique by its number.
type modelCommit struct{ term, number uint64 }

// A modelMember is an endpoint of the model.
type modelMember struct {
	endpoint rattancatalog.Endpoint
	log      []modelCommit
	// term is the one that it leads or follows.
	term                           uint64
	isDown, isDeaf, isListed, isIn bool
}

// A groupModel is a group whose endpoints crash, lose their logs and their entries, and come
// back in any order. Nothing but the record survives between two decisions.
type groupModel struct {
	syncReplicas int
	members      []*modelMember
	primary      *modelMember
	record       rattangrant.PrimaryRecord
	term         uint64
	commits      uint64
	clock        int64
	// acknowledged are the acknowledged commits, leftOut those that a promote has rolled back.
	acknowledged, leftOut map[modelCommit]bool
}

func newGroupModel(syncReplicas, size int) *groupModel {
	m := &groupModel{syncReplicas: syncReplicas, term: 1, acknowledged: make(map[modelCommit]bool), leftOut: make(map[modelCommit]bool)}
	for n := range size {
		m.add(fmt.Sprintf("10.0.0.%d:1", n))
	}
	m.primary = m.members[0]
	m.record = rattangrant.PrimaryRecord{Primary: m.primary.endpoint.ID, Term: 1, Version: 1, SyncReplicas: syncReplicas}
	m.observe()
	return m
}

// add starts an endpoint at an address.
func (m *groupModel) add(address string) *modelMember {
	m.clock++
	member := &modelMember{
		endpoint: rattancatalog.Endpoint{ID: fmt.Sprint("e", m.clock), Group: "orders", Address: address, StartedUnixMS: m.clock},
		term:     m.term, isListed: true, isIn: true,
	}
	m.members = append(m.members, member)
	return member
}

func (m *groupModel) listed() []rattancatalog.Endpoint {
	var endpoints []rattancatalog.Endpoint
	for _, member := range m.members {
		if member.isListed && member.isIn {
			endpoints = append(endpoints, member.endpoint)
		}
	}
	return endpoints
}

// observe records the holders, as the failover leader does.
func (m *groupModel) observe() {
	request := m.request()
	isChanged := false
	if !m.record.IsSwitching && request.IsUnconfirmed() {
		request, isChanged = (&Coordinator{clock: rattanclock.System(), control: m}).Confirm(request)
	}
	if isChanged || request.HasNewHolders() {
		m.record.Holders = request.Holders
	}
}

func (m *groupModel) request() Request {
	return Request{
		Group: "orders", Record: m.record, Endpoints: m.listed(), SyncReplicas: m.syncReplicas,
		Holders: m.record.Holders.Observe(rattanholder.Observation{Listed: m.listed(), Term: m.record.Term}),
	}
}

// replicate carries the log of the primary to the replicas that can receive it.
func (m *groupModel) replicate() {
	if m.primary.isDown {
		return
	}
	for _, member := range m.members {
		if member != m.primary && member.isIn && !member.isDown && !member.isDeaf {
			member.log, member.term = slices.Clone(m.primary.log), m.primary.term
		}
	}
}

// write commits at the primary of a settled group.
func (m *groupModel) write() {
	if m.primary.isDown || m.record.IsSwitching || m.record.Primary != m.primary.endpoint.ID {
		return
	}
	m.commits++
	next := modelCommit{term: m.primary.term, number: m.commits}
	m.primary.log = append(m.primary.log, next)
	m.replicate()
	received := 0
	for _, member := range m.members {
		if member != m.primary && member.isIn && !member.isDown && slices.Contains(member.log, next) {
			received++
		}
	}
	if received >= m.syncReplicas {
		m.acknowledged[next] = true
	}
}

// Status implements EndpointControl.
func (m *groupModel) Status(endpoint rattancatalog.Endpoint, _ time.Duration) (rattansuccessor.Status, error) {
	at := slices.IndexFunc(m.members, func(member *modelMember) bool {
		return member.endpoint.ID == endpoint.ID && member.isIn && !member.isDown
	})
	if at < 0 {
		return rattansuccessor.Status{}, errSilent
	}
	member := m.members[at]
	status := rattansuccessor.Status{Endpoint: endpoint, Term: member.term, IsPrimary: member == m.primary && member.term == m.term}
	if len(member.log) > 0 {
		status.Received = rattanmodel.Position{Term: member.term, Index: uint64(len(member.log))}
	}
	return status, nil
}

// StepDown implements EndpointControl.
func (m *groupModel) StepDown(rattancatalog.Endpoint, uint64, time.Duration) error { return errSilent }

// statuses returns the answers of the endpoints to a request.
func (m *groupModel) statuses(request Request) []rattansuccessor.Status {
	var statuses []rattansuccessor.Status
	for _, endpoint := range request.endpoints() {
		if status, err := m.Status(endpoint, 0); err == nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// failOver tries to replace the primary and returns the promoted endpoint, or nil.
func (m *groupModel) failOver() *modelMember {
	request := m.request()
	m.record.IsSwitching, m.record.Holders = true, request.Holders
	view := rattansuccessor.New(request.group(), m.statuses(request))
	candidates, err := view.Candidates()
	if err != nil || len(candidates) == 0 {
		return nil
	}
	at := slices.IndexFunc(m.members, func(member *modelMember) bool { return member.endpoint.ID == candidates[0].Endpoint.ID })
	promoted := m.members[at]
	m.record.IsSwitching, m.record.Primary = false, promoted.endpoint.ID
	if promoted == m.primary && promoted.term == m.term {
		return promoted
	}
	m.term++
	promoted.term, m.primary = m.term, promoted
	for commit := range m.commits {
		m.noteLeftOut(commit + 1)
	}
	status := rattansuccessor.Status{Term: m.term, Received: rattanmodel.Position{Term: m.term, Index: uint64(len(promoted.log))}}
	m.record.TermHistory = rattansuccessor.ExtendHistory(m.record.TermHistory, status)
	m.record.Holders = m.record.Holders.BeginTerm(request.present(view), m.record.Term, m.term)
	m.record.Term = m.term
	return promoted
}

// noteLeftOut notes a commit that the log of the primary lacks.
func (m *groupModel) noteLeftOut(number uint64) {
	for _, member := range m.members {
		for _, commit := range member.log {
			if commit.number == number && !slices.Contains(m.primary.log, commit) {
				m.leftOut[commit] = true
			}
		}
	}
}

// holdsElsewhere reports whether another endpoint holds a commit.
func (m *groupModel) holdsElsewhere(promoted *modelMember, commit modelCommit) bool {
	return slices.ContainsFunc(m.members, func(member *modelMember) bool {
		return member != promoted && member.isIn && slices.Contains(member.log, commit)
	})
}

// checkPromoted fails when the promoted log lacks an acknowledged commit that another one has
// (LOST), or has what a term left out while one without that does not answer (STALE).
func (m *groupModel) checkPromoted(t *rapid.T, promoted *modelMember, leftOut map[modelCommit]bool) {
	if m.syncReplicas > 0 {
		for commit := range m.acknowledged {
			if !slices.Contains(promoted.log, commit) && m.holdsElsewhere(promoted, commit) {
				t.Fatalf("%s was promoted without %v, which another endpoint holds", promoted.endpoint.ID, commit)
			}
		}
	}
	for _, commit := range promoted.log {
		isBetterSilent := slices.ContainsFunc(m.members, func(member *modelMember) bool {
			return member.isIn && member.isDown && len(member.log) > 0 && !slices.ContainsFunc(member.log, func(c modelCommit) bool { return leftOut[c] })
		})
		if leftOut[commit] && isBetterSilent {
			t.Fatalf("%s was promoted with %v, which a term had left out", promoted.endpoint.ID, commit)
		}
	}
}

// TestHolderModel guards against rules of forgetting that lose acknowledged commits, or bring
// back those that a term has left out, in some order of crashes, losses and returns (review/7
// and review/8).
func TestHolderModel(t *testing.T) {
	for _, syncReplicas := range []int{0, 1} {
		t.Run(fmt.Sprint("synchronous replicas ", syncReplicas), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runGroupModel(t, newGroupModel(syncReplicas, rapid.IntRange(3, 4).Draw(t, "size"))) })
		})
	}
}

func runGroupModel(t *rapid.T, m *groupModel) {
	pick := func() *modelMember {
		present := slices.DeleteFunc(slices.Clone(m.members), func(member *modelMember) bool { return !member.isIn })
		return rapid.SampledFrom(present).Draw(t, "member")
	}
	t.Repeat(map[string]func(*rapid.T){
		"":                func(*rapid.T) { m.observe() },
		"write":           func(*rapid.T) { m.write() },
		"replicate":       func(*rapid.T) { m.replicate() },
		"receive nothing": func(*rapid.T) { member := pick(); member.isDeaf = !member.isDeaf },
		"crash":           func(*rapid.T) { pick().isDown = true },
		"entry expires": func(*rapid.T) {
			if member := pick(); member.isDown {
				member.isListed = false
			}
		},
		"come back with the log": func(*rapid.T) { member := pick(); member.isDown, member.isListed = false, true },
		"come back without the log": func(t *rapid.T) {
			member := pick()
			if !member.isDown || member == m.primary {
				t.Skip("it runs, or is the primary")
			}
			m.clock++
			member.log, member.isDown, member.isListed, member.endpoint.StartedUnixMS = nil, false, true, m.clock
		},
		"come back as another endpoint": func(t *rapid.T) {
			old := pick()
			if !old.isDown {
				t.Skip("it runs")
			}
			old.isIn = false
			member := m.add(old.endpoint.Address)
			member.log, member.term = old.log, old.term
			if m.primary == old {
				m.primary = member
			}
		},
		"drain": func(*rapid.T) { pick().endpoint.IsDraining = true },
		"leave": func(t *rapid.T) {
			member := pick()
			if !member.endpoint.IsDraining || member == m.primary || member.isDown {
				t.Skip("it stays")
			}
			member.isIn, member.isListed = false, false
		},
		"failover": func(t *rapid.T) {
			if !m.primary.isDown && !m.record.IsSwitching && m.record.Primary == m.primary.endpoint.ID {
				t.Skip("the primary answers")
			}
			before := make(map[modelCommit]bool, len(m.leftOut))
			for commit := range m.leftOut {
				before[commit] = true
			}
			if promoted := m.failOver(); promoted != nil {
				m.checkPromoted(t, promoted, before)
			}
		},
	})
}
