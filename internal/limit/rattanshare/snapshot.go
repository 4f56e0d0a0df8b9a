package rattanshare

import (
	"maps"
	"slices"
)

// A Snapshot is the state of a Manager for the state dump. Amounts are in
// thousandths of a unit.
type Snapshot struct {
	VM              string            `json:"vm"`
	Incarnation     uint64            `json:"incarnation"`
	Domain          string            `json:"failure_domain"`
	SettingsDigest  uint64            `json:"settings_digest"`
	RosterRevisions map[string]uint64 `json:"roster_revisions"`
	// IncreasesApplied is true when the home shares under these revisions are in force in full.
	IncreasesApplied bool            `json:"raised"`
	Shares           []ShareSnapshot `json:"shares"`
}

// A ShareSnapshot is the state of one share on one daemon.
type ShareSnapshot struct {
	Name     string `json:"share"`
	Base     Amount `json:"home"`
	Lent     Amount `json:"lent"`
	Borrowed Amount `json:"borrowed"`
	Limit    Amount `json:"limit"`
	// Free is what can be taken now.
	Free int64 `json:"free_milli"`
	// Demand is what callers asked for in the last second, or the connections in use.
	Demand int64 `json:"demand_milli"`
}

// Snapshot returns the present state.
func (m *Manager) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmation := m.version.confirmation()
	return Snapshot{
		VM:               m.version.vm,
		Incarnation:      m.version.incarnation,
		Domain:           m.version.domain,
		SettingsDigest:   confirmation.SettingsDigest,
		RosterRevisions:  confirmation.RosterRevisions,
		IncreasesApplied: m.raised,
		Shares:           m.ledger.Snapshot(),
	}
}

// Snapshot returns the present state of all shares, sorted by name.
func (l *Ledger) Snapshot() []ShareSnapshot {
	l.mu.RLock()
	names := slices.Sorted(maps.Keys(l.shares))
	l.mu.RUnlock()
	snapshots := make([]ShareSnapshot, 0, len(names))
	for _, name := range names {
		if snapshot, ok := l.Share(name); ok {
			snapshots = append(snapshots, snapshot)
		}
	}
	return snapshots
}

// Share returns the present state of one share, and false when there is none.
func (l *Ledger) Share(name string) (ShareSnapshot, bool) {
	s, ok := l.find(name)
	if !ok {
		return ShareSnapshot{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.settle(now)
	return ShareSnapshot{
		Name:     name,
		Base:     s.base,
		Lent:     s.lentSum,
		Borrowed: s.borrowedSum,
		Limit:    s.limit(),
		Free:     s.free(),
		Demand:   s.wanted(now),
	}, true
}

// lendersOf returns the VMs that the daemon has loans from.
func (l *Ledger) lendersOf(name string) []string {
	s, ok := l.find(name)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.borrowed))
}
