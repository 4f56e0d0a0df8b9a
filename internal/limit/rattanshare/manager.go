package rattanshare

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// MaxLoanWait is the longest time for which a request waits for a loan.
	MaxLoanWait = 25 * time.Millisecond
	// maintenanceInterval is the time between two rounds of periodic work.
	maintenanceInterval = 100 * time.Millisecond
	// callTimeout limits a call to a peer. When a response arrives later, the requests
	// that waited for it have been refused long before.
	callTimeout = 500 * time.Millisecond
	// maxWaiting is the largest number of requests that may wait for one share.
	maxWaiting = 1000
)

// Peers sends messages to other daemons. The field Lender names the VM to send a
// message to. An error means that the outcome is not known.
type Peers interface {
	Borrow(ctx context.Context, request BorrowRequest) (Loan, error)
	Return(ctx context.Context, loanReturn LoanReturn) error
}

// A Manager manages the shares of one daemon: it applies settings and rosters, admits
// requests, and borrows from and lends to peers. It is safe for concurrent use.
type Manager struct {
	clock  rattanclock.Clock
	peers  Peers
	ledger *Ledger
	fixed  bool

	calls   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	callsMu sync.Mutex
	closed  bool

	mu              sync.Mutex
	version         version
	confirmations   map[Member]Confirmation
	ownConfirmation Confirmation
	// changedAt is the time at which the version last changed in a way after which
	// increases must wait for reclaimTime. increasesApplied is true when the base
	// shares under the version are in force in full.
	changedAt        time.Time
	increasesApplied bool
	leaving          bool
	lenders          map[string][]string // by share, under the present rosters
	removed          map[string]bool     // shares that the settings no longer have

	waitMu     sync.Mutex
	waitQueues map[string]*waitQueue
}

// An Option is an option of New.
type Option func(*Manager)

// WithFixedShares makes the Manager use only its base shares and neither borrow nor
// lend. It is the baseline that loans are measured against.
func WithFixedShares() Option {
	return func(m *Manager) { m.fixed = true }
}

// New returns a Manager for the daemon on vm in the failure domain. It has no shares
// until SetSettings and SetRoster have been called and the other members have
// confirmed them. incarnation must be higher than that of every earlier process of
// the VM.
func New(clock rattanclock.Clock, vm string, incarnation uint64, domain string, peers Peers, options ...Option) *Manager {
	m := &Manager{
		clock:  clock,
		peers:  peers,
		ledger: NewLedger(clock, vm, incarnation),
		version: version{
			vm:          vm,
			incarnation: incarnation,
			domain:      domain,
			rosters:     make(map[string]Roster),
		},
		confirmations: make(map[Member]Confirmation),
		changedAt:     clock.Now(),
		lenders:       make(map[string][]string),
		removed:       make(map[string]bool),
		waitQueues:    make(map[string]*waitQueue),
	}
	for _, option := range options {
		option(m)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// SetSettings applies settings. It ignores them when any document is older than the
// one in force. Reductions take effect at once, increases when all members have
// confirmed.
func (m *Manager) SetSettings(settings Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.version.settings
	if !settings.replaces(old) {
		return
	}
	settings.Revisions = maps.Clone(settings.Revisions)
	settings.Domains = slices.Sorted(slices.Values(settings.Domains))
	settings.Shares = maps.Clone(settings.Shares)
	m.version.settings = settings
	m.version.digest = settings.digest()
	for name := range old.Shares {
		if _, ok := settings.Shares[name]; !ok {
			m.removed[name] = true
			m.ledger.SetBase(name, Amount{}, false)
		}
	}
	m.reduce()
}

// SetRoster applies the roster of a failure domain. It ignores a roster that is not
// newer than the one in force. Call it with the zero Roster for a configured failure
// domain that has no roster document yet.
func (m *Manager) SetRoster(domain string, roster Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.version.rosters[domain]
	if known && roster.Revision <= old.Revision {
		return
	}
	roster.Members = slices.Clone(roster.Members)
	m.version.rosters[domain] = roster
	clear(m.lenders)
	m.dropConfirmations()
	for _, member := range old.Members {
		if !roster.Has(member) {
			// What the removed member has lent can still be in use.
			m.changedAt = m.clock.Now()
		}
	}
	if domain != m.version.domain {
		m.updateConfirmation()
		return
	}
	switch has := roster.Has(m.version.self()); {
	case !has:
		m.version.joined = 0
	case m.version.joined == 0:
		m.version.joined = roster.Revision
	}
	m.reduce()
}

// SetConfirmation records what another daemon's heartbeat confirms.
func (m *Manager) SetConfirmation(member Member, confirmation Confirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmation.RosterRevisions = maps.Clone(confirmation.RosterRevisions)
	m.confirmations[member] = confirmation
}

// Confirmation returns what this daemon's heartbeat confirms. It stays at the earlier
// version while the daemon still lends more, or has more connections in use, than its
// base shares under the present version allow.
func (m *Manager) Confirmation() Confirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateConfirmation()
	return Confirmation{SettingsDigest: m.ownConfirmation.SettingsDigest, RosterRevisions: maps.Clone(m.ownConfirmation.RosterRevisions)}
}

// Leave gives up all base shares and returns all loans, for a graceful shutdown.
// Afterwards the daemon removes itself from the roster with Roster.Leave.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.reduce()
	shares := m.version.settings.Shares
	m.mu.Unlock()
	for name := range shares {
		for _, lender := range m.ledger.lendersOf(name) {
			if loanReturn, ok := m.ledger.Return(name, lender); ok {
				m.sendReturn(loanReturn)
			}
		}
	}
}

// reduce applies the reductions of the present version, but not its increases.
func (m *Manager) reduce() {
	m.changedAt = m.clock.Now()
	m.increasesApplied = false
	m.apply(false)
	m.updateConfirmation()
}

// apply sets the base shares of the present version, with increases only when
// confirmed is true.
func (m *Manager) apply(confirmed bool) {
	for name := range m.version.settings.Shares {
		delete(m.removed, name)
		base := m.version.base(name)
		if m.leaving {
			base = Amount{}
		}
		m.ledger.SetBase(name, base, confirmed)
	}
}

// applyIncreases applies the increases of the present version when all members have
// confirmed it and reclaimTime has passed since it changed. Until then, loans of a
// removed member or of an earlier process of this VM can still be in use.
func (m *Manager) applyIncreases() {
	if m.increasesApplied || m.leaving || m.clock.Now().Sub(m.changedAt) < reclaimTime {
		return
	}
	if !m.updateConfirmation() || !m.version.confirmed(m.confirmations) {
		return
	}
	m.apply(true)
	m.increasesApplied = true
}

// updateConfirmation makes the present version the one that this daemon confirms. It
// returns false while there are no settings or a reduction is not complete.
func (m *Manager) updateConfirmation() bool {
	if m.version.digest == 0 || !m.ledger.ReductionsApplied() {
		return false
	}
	m.ownConfirmation = m.version.confirmation()
	return true
}

// dropConfirmations drops the confirmations of daemons that are in no roster.
func (m *Manager) dropConfirmations() {
	for member := range m.confirmations {
		inRoster := false
		for _, roster := range m.version.rosters {
			inRoster = inRoster || roster.Has(member)
		}
		if !inRoster {
			delete(m.confirmations, member)
		}
	}
}

// Run does the periodic work until ctx ends, then cancels the calls in flight, waits
// for them and returns ctx's error. From then on Admit refuses requests that would
// need a loan.
func (m *Manager) Run(ctx context.Context) error {
	defer m.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.clock.After(maintenanceInterval):
			m.maintain()
		}
	}
}

func (m *Manager) close() {
	m.callsMu.Lock()
	m.closed = true
	m.callsMu.Unlock()
	m.cancel()
	m.calls.Wait()
}

func (m *Manager) maintain() {
	m.mu.Lock()
	m.applyIncreases()
	m.updateConfirmation()
	for name := range m.removed {
		if m.ledger.Forget(name) {
			delete(m.removed, name)
		}
	}
	m.mu.Unlock()
	for _, s := range m.ledger.activeShares() {
		if !m.fixed {
			m.borrow(s.name, 0)
		}
		m.ledger.deactivateIdle(s)
	}
}

// borrow sends the requests and returns that Ledger.Plan makes for a share. missing is
// the number of units that waiting requests lack, in thousandths.
func (m *Manager) borrow(name string, missing int64) {
	lenders, ceiling := m.lendersOf(name)
	requests, returns := m.ledger.Plan(name, lenders, ceiling, missing)
	for _, loanReturn := range returns {
		m.sendReturn(loanReturn)
	}
	for _, request := range requests {
		m.sendBorrow(request)
	}
}

// lendersOf returns the peers to borrow a share from, in the order in which to ask
// them, and the amount that the whole fleet has of it.
func (m *Manager) lendersOf(name string) ([]string, Amount) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lenders, ok := m.lenders[name]
	if !ok {
		lenders = m.version.lenders(name)
		m.lenders[name] = lenders
	}
	return lenders, m.version.settings.Shares[name]
}
