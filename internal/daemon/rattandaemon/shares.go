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
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
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

	mutex     sync.Mutex
	rosters   map[string]rattanshare.Roster
	sent      rattanshare.Confirmation
	version   uint64
	departure rattanshare.Departures
}

var _ rattanservice.Admitter = (*shares)(nil)

// Admit implements rattanservice.Admitter.
func (s *shares) Admit(ctx context.Context, clientAccount string) error {
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
	if !slices.ContainsFunc(members, s.departure.Gone) {
		return nil
	}
	return s.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Remove(s.departure.Gone) })
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
