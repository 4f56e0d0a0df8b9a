package rattandaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// rosterInterval is how often a daemon compares its roster with what it knows.
	rosterInterval = 2 * time.Second
	// rosterTimeout bounds one change of the roster.
	rosterTimeout = 5 * time.Second
	// isolatedTime is the silence after which a daemon stops spending its home
	// shares, because others may have removed it from the roster.
	isolatedTime = 5 * time.Second
	// removalSilence is how long a VM that is gone from the platform's list must
	// be silent before it is removed from the roster. It is longer than
	// isolatedTime with the drift of clocks, since the list may leave out a VM
	// that is only cut off.
	removalSilence = 2 * isolatedTime
	// confirmInterval is how often a daemon publishes what its shares follow.
	confirmInterval = 200 * time.Millisecond
)

// shares connects the share manager with settings, rosters and peers.
type shares struct {
	clock   rattanclock.Clock
	logger  *log.Logger
	self    rattanmember.Identity
	manager *rattanshare.Manager
	gossip  *rattangossip.Store
	store   *rattanstore.Store
	members *rattanmember.Registry
	// freshness is the age of what this daemon knows of the platform.
	freshness *rattankey.Freshness

	mutex     sync.Mutex
	rosters   map[string]rattanshare.Roster
	sent      rattanshare.Confirmation
	version   uint64
	departure rattanshare.Departures
	started   time.Time
	// contacts has when each daemon last answered.
	contacts map[string]time.Time
}

var _ rattanservice.Admitter = (*shares)(nil)

// Admit implements rattanservice.Admitter. A daemon that is cut off from the
// platform and from its whole failure domain may have been removed from the
// roster, so it does not spend its home shares.
func (s *shares) Admit(ctx context.Context, clientAccount string) error {
	if s.isolated() {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, retryNotFresh,
			"VM %s is cut off from the platform and from its failure domain", s.self.VM)
	}
	return s.manager.Admit(ctx, rattanshare.AccountShare(clientAccount))
}

// connections returns this daemon's part of an endpoint's connections. At least
// one is left, since a fleet may have more daemons than an endpoint has
// connections; the endpoint itself refuses what is over its limit.
func (s *shares) connections(endpoint string, _ int) int {
	share, ok := s.manager.Share(rattanshare.ConnectionShare(endpoint))
	if !ok {
		return 1
	}
	return max(1, int(share.Limit.Burst/rattanshare.Unit))
}

// contacted notes an answer of another daemon.
func (s *shares) contacted(vm string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.contacts[vm] = s.clock.Now()
}

// isolated reports whether this daemon has heard neither the platform, directly
// or through peers, nor another member of its roster within isolatedTime. The
// only member of a roster is never isolated: nobody else can take its share.
func (s *shares) isolated() bool {
	if age, known := s.freshness.Age(); known && age <= isolatedTime {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	alone := true
	now := s.clock.Now()
	for _, member := range s.rosters[s.self.FailureDomain].Members {
		if member.VM == s.self.VM {
			continue
		}
		alone = false
		if heard, ok := s.contacts[member.VM]; ok && rattanclock.Elapsed(heard, now) <= isolatedTime {
			return false
		}
	}
	return !alone
}

// register subscribes to rosters and confirmations of other daemons.
func (s *shares) register() {
	s.gossip.Register(rattanv1.RecordKind_RECORD_KIND_ROSTER, func(records []rattangossip.Record) {
		for _, record := range records {
			s.rosterChanged(record)
		}
	})
	s.gossip.Register(rattanv1.RecordKind_RECORD_KIND_SHARES, func(records []rattangossip.Record) {
		for _, record := range records {
			s.confirmed(record)
		}
	})
}

func (s *shares) rosterChanged(record rattangossip.Record) {
	roster, err := rattanshare.ParseRoster(record.Value, record.Version)
	if err != nil {
		s.logger.Error("roster cannot be used", "failure_domain", record.Name, "error", err)
		return
	}
	s.mutex.Lock()
	s.rosters[record.Name] = roster
	s.mutex.Unlock()
	s.manager.SetRoster(record.Name, roster)
}

func (s *shares) confirmed(record rattangossip.Record) {
	var wire rattanv1.ShareConfirmation
	if err := proto.Unmarshal(record.Value, &wire); err != nil {
		s.logger.Error("share confirmation cannot be read", "vm", record.Name, "error", err)
		return
	}
	member := rattanshare.Member{VM: record.Name, Incarnation: record.Epoch}
	s.manager.SetConfirmation(member, rattanshare.Confirmation{Settings: wire.GetSettings(), Rosters: wire.GetRosters()})
}

// apply takes new settings into the shares.
func (s *shares) apply(snapshot *rattansettings.Snapshot) {
	settings := rattanshare.Settings{
		Revisions: make(map[string]uint64),
		Shares:    make(map[string]rattanshare.Amount),
	}
	for _, document := range snapshot.Documents() {
		settings.Revisions[document.Team()] = document.Revision()
	}
	for _, domain := range snapshot.FailureDomains() {
		settings.Domains = append(settings.Domains, domain.Name())
	}
	for _, account := range snapshot.ClientAccounts() {
		settings.Shares[rattanshare.AccountShare(account.Name())] = rattanshare.Amount{
			Rate:  account.RateMilli(),
			Burst: int64(account.Burst()) * rattanshare.Unit,
		}
	}
	for _, endpoint := range snapshot.Endpoints() {
		settings.Shares[rattanshare.ConnectionShare(endpoint.Name())] = rattanshare.Amount{
			Burst: int64(endpoint.Connections()) * rattanshare.Unit,
		}
	}
	s.manager.SetSettings(settings)
	for _, domain := range settings.Domains {
		s.mutex.Lock()
		_, known := s.rosters[domain]
		s.mutex.Unlock()
		if !known {
			s.manager.SetRoster(domain, rattanshare.Roster{})
		}
	}
}

// confirm publishes what this daemon's shares follow whenever it changes.
func (s *shares) confirm(ctx context.Context) error {
	for {
		s.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(confirmInterval):
		}
	}
}

func (s *shares) publish() {
	confirmation := s.manager.Confirmation()
	if sameConfirmation(confirmation, s.sent) {
		return
	}
	s.sent = confirmation
	s.version++
	wire := &rattanv1.ShareConfirmation{Settings: confirmation.Settings, Rosters: confirmation.Rosters}
	value, err := proto.Marshal(wire)
	if err != nil {
		s.logger.Error("share confirmation cannot be encoded", "error", err)
		return
	}
	s.gossip.Offer(rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SHARES,
		Name:    s.self.VM,
		Epoch:   s.self.Incarnation,
		Version: s.version,
		Value:   value,
	})
}

func sameConfirmation(a, b rattanshare.Confirmation) bool {
	if a.Settings != b.Settings || len(a.Rosters) != len(b.Rosters) {
		return false
	}
	for domain, revision := range a.Rosters {
		if b.Rosters[domain] != revision {
			return false
		}
	}
	return true
}

// maintain keeps this daemon in its roster and removes VMs that are certainly gone.
func (s *shares) maintain(ctx context.Context) error {
	for {
		if err := s.maintainOnce(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("roster is not up to date", "failure_domain", s.self.FailureDomain, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(rosterInterval):
		}
	}
}

func (s *shares) maintainOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	roster := s.roster()
	if !roster.Has(s.member()) {
		return s.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Join(s.member()) })
	}
	if !s.leads() {
		return nil
	}
	return s.removeGone(ctx, roster)
}

func (s *shares) member() rattanshare.Member {
	return rattanshare.Member{VM: s.self.VM, Incarnation: s.self.Incarnation}
}

func (s *shares) roster() rattanshare.Roster {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rosters[s.self.FailureDomain]
}

// leads reports whether this daemon is the one of its failure domain that reads
// the VM list, so that the platform is asked once per failure domain.
func (s *shares) leads() bool { return s.members.Watches(rosterPrefix, 1) }

func (s *shares) removeGone(ctx context.Context, roster rattanshare.Roster) error {
	vms, err := s.store.ListVMs(ctx)
	if err != nil {
		return err
	}
	listed := make([]string, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, vm.Name)
	}
	members := make([]string, 0, len(roster.Members))
	for _, member := range roster.Members {
		members = append(members, member.VM)
	}
	s.departure.Observe(s.clock.Now(), listed, members)
	if !slices.ContainsFunc(members, s.gone) {
		return nil
	}
	return s.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Remove(s.gone) })
}

// gone reports whether a VM has ended for certain: the platform's list does not
// have it any more, and its heartbeat has been silent for long enough that its
// daemon, if it is only cut off, has stopped spending.
func (s *shares) gone(vm string) bool {
	if !s.departure.Gone(vm) {
		return false
	}
	member, known := s.members.Member(vm)
	if known && member.Heard {
		return member.Silent > removalSilence
	}
	return s.clock.Now().Sub(s.started) > removalSilence
}

// changeRoster changes the roster of the own failure domain by compare-and-swap.
func (s *shares) changeRoster(ctx context.Context, change func(rattanshare.Roster) (rattanshare.Roster, bool)) error {
	changed, err := s.store.ChangeRoster(ctx, s.self.FailureDomain, func(members []rattanstore.Member) []rattanstore.Member {
		roster := rattanshare.Roster{}
		for _, member := range members {
			roster.Members = append(roster.Members, rattanshare.Member(member))
		}
		roster, ok := change(roster)
		if !ok {
			return members
		}
		wanted := make([]rattanstore.Member, 0, len(roster.Members))
		for _, member := range roster.Members {
			wanted = append(wanted, rattanstore.Member(member))
		}
		return wanted
	})
	if err != nil {
		return errors.Wrap(err, "change roster")
	}
	roster := rattanshare.Roster{}
	for _, member := range changed.Members {
		roster.Members = append(roster.Members, rattanshare.Member(member))
	}
	s.gossip.Offer(rosterRecord(s.self.FailureDomain, roster.Document(), changed.Revision))
	return nil
}

// leave gives the home shares back and leaves the roster.
func (s *shares) leave(ctx context.Context) error {
	s.manager.Leave()
	return s.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Leave(s.member()) })
}
