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
	// MaxLoanWait is how long a request waits at most for a loan.
	MaxLoanWait = 25 * time.Millisecond
	// workTime is the time between two rounds of periodic work.
	workTime = 100 * time.Millisecond
	// callTime bounds a call to a peer. An answer that takes longer finds that
	// the requests which waited for it have been refused.
	callTime = 500 * time.Millisecond
	// maxWaiting is the largest number of requests that wait for one share.
	maxWaiting = 1000
)

// Peers carries messages to other daemons. Lender in the message names the VM to
// send it to. An error means that the outcome is not known.
type Peers interface {
	Borrow(ctx context.Context, request BorrowRequest) (Loan, error)
	Return(ctx context.Context, back LoanReturn) error
}

// A Manager keeps the shares of one daemon: it applies settings and rosters,
// admits requests, and borrows from and lends to the peers. It is safe for
// concurrent use.
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

	mu            sync.Mutex
	version       version
	confirmations map[Member]Confirmation
	own           Confirmation
	// changed is when the version last changed; raised is true when the home
	// shares under it are in force.
	changed time.Time
	raised  bool
	leaving bool
	lenders map[string][]string // by share, for the present rosters
	removed map[string]bool     // shares that the settings no longer have

	waitMu sync.Mutex
	waits  map[string]*wait
}

// An Option is an option of New.
type Option func(*Manager)

// WithFixedShares makes the Manager use its home shares only and neither borrow
// nor lend. It is the baseline that loans are measured against.
func WithFixedShares() Option {
	return func(m *Manager) { m.fixed = true }
}

// New returns a Manager for the daemon on vm in the failure domain. It has no
// shares until SetSettings and SetRoster have been called and the other members
// have confirmed. incarnation must be higher than that of every earlier process
// of the VM.
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
		changed:       clock.Now(),
		lenders:       make(map[string][]string),
		removed:       make(map[string]bool),
		waits:         make(map[string]*wait),
	}
	for _, option := range options {
		option(m)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// SetSettings applies settings. It ignores settings of which any document is
// older than the one in force. Reductions take effect at once, increases when
// all members have confirmed.
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

// SetRoster applies the roster of a failure domain. It ignores a roster that is
// older than the one in force. Call it with the zero Roster for a configured
// failure domain that has no roster document yet.
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
			// What the member has lent can still be in use.
			m.changed = m.clock.Now()
		}
	}
	if domain != m.version.domain {
		m.confirm()
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

// SetConfirmation takes in what another daemon's heartbeat confirms.
func (m *Manager) SetConfirmation(member Member, confirmation Confirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmation.RosterRevisions = maps.Clone(confirmation.RosterRevisions)
	m.confirmations[member] = confirmation
}

// Confirmation returns what this daemon's heartbeat confirms. It stays at the
// earlier version while the daemon still lends, or has connections in use,
// beyond its home shares under the present one.
func (m *Manager) Confirmation() Confirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirm()
	return Confirmation{SettingsDigest: m.own.SettingsDigest, RosterRevisions: maps.Clone(m.own.RosterRevisions)}
}

// Leave gives up all home shares and returns all loans, for a graceful shutdown.
// Afterwards the daemon removes itself from the roster with Roster.Leave.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.reduce()
	shares := m.version.settings.Shares
	m.mu.Unlock()
	for name := range shares {
		for _, lender := range m.ledger.lendersOf(name) {
			if back, ok := m.ledger.Return(name, lender); ok {
				m.sendReturn(back)
			}
		}
	}
}

// reduce applies the present version without increases.
func (m *Manager) reduce() {
	m.changed = m.clock.Now()
	m.raised = false
	m.apply(false)
	m.confirm()
}

// apply sets the home shares of the present version.
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

// raise puts increases in force when all members have confirmed the present
// version, and reclaimTime has passed since it changed: until then the loans of a
// member that was removed, or of an earlier process of this VM, can be in use.
func (m *Manager) raise() {
	if m.raised || m.leaving || m.clock.Now().Sub(m.changed) < reclaimTime {
		return
	}
	if !m.confirm() || !m.version.confirmed(m.confirmations) {
		return
	}
	m.apply(true)
	m.raised = true
}

// confirm makes the present version the one that this daemon confirms. It
// returns false while a reduction is not complete.
func (m *Manager) confirm() bool {
	if m.version.digest == 0 || !m.ledger.ReductionsApplied() {
		return false
	}
	m.own = m.version.confirmation()
	return true
}

// dropConfirmations forgets the daemons that are in no roster.
func (m *Manager) dropConfirmations() {
	for member := range m.confirmations {
		listed := false
		for _, roster := range m.version.rosters {
			listed = listed || roster.Has(member)
		}
		if !listed {
			delete(m.confirmations, member)
		}
	}
}

// Run does the periodic work until ctx ends, then ends the calls under way and
// returns ctx's error. Admit refuses from then on what needs a loan.
func (m *Manager) Run(ctx context.Context) error {
	defer m.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.clock.After(workTime):
			m.work()
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

func (m *Manager) work() {
	m.mu.Lock()
	m.raise()
	m.confirm()
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

// borrow sends what the plan for a share says.
func (m *Manager) borrow(name string, missing int64) {
	lenders, ceiling := m.lendersOf(name)
	requests, returns := m.ledger.Plan(name, lenders, ceiling, missing)
	for _, back := range returns {
		m.sendReturn(back)
	}
	for _, request := range requests {
		m.sendBorrow(request)
	}
}

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
