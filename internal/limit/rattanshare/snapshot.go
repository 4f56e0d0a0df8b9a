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
	// IncreasesApplied is true when the base shares under these revisions are in force
	// in full.
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
	// Free is the number of units that can be taken now.
	Free int64 `json:"free_milli"`
	// Demand is the number of units that callers requested in the last second, or of
	// the connections in use.
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
		IncreasesApplied: m.increasesApplied,
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
	s.refresh(now)
	return ShareSnapshot{
		Name:     name,
		Base:     s.base,
		Lent:     s.lentSum,
		Borrowed: s.borrowedSum,
		Limit:    s.limit(),
		Free:     s.free(),
		Demand:   s.currentDemand(now),
	}, true
}

// lendersOf returns the VMs from which the daemon has borrowed of the share.
func (l *Ledger) lendersOf(name string) []string {
	s, ok := l.find(name)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.borrowed))
}
