// Package rattanroster keeps a daemon in the roster of its failure domain, tells
// the other daemons which settings and rosters its shares follow, and admits
// requests by the share manager.
package rattanroster

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

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
	// isolatedTime is the silence after which a daemon stops spending its home
	// shares, because others may have removed it from the roster.
	isolatedTime = 5 * time.Second
	// isolatedRetry is when a caller may come back to an isolated daemon. Another
	// VM may serve it at once.
	isolatedRetry = time.Second
)

// Dependencies are the parts that a Controller works with.
type Dependencies struct {
	Clock   rattanclock.Clock
	Logger  *log.Logger
	Self    rattanmember.Identity
	Manager *rattanshare.Manager
	Gossip  *rattangossip.Store
	Store   *rattanstore.Store
	Members *rattanmember.Registry
	// Freshness is the age of what this daemon knows of the platform.
	Freshness *rattankey.Freshness
}

// A Controller connects the share manager with settings, rosters and peers. It is
// safe for concurrent use; Confirm and Maintain run once each.
type Controller struct {
	clock     rattanclock.Clock
	logger    *log.Logger
	self      rattanmember.Identity
	manager   *rattanshare.Manager
	gossip    *rattangossip.Store
	store     *rattanstore.Store
	members   *rattanmember.Registry
	freshness *rattankey.Freshness
	started   time.Time

	mutex   sync.Mutex
	rosters map[string]rattanshare.Roster
	// contacts has when each daemon last answered.
	contacts map[string]time.Time

	// sent and version belong to Confirm, departures to Maintain.
	sent       rattanshare.Confirmation
	version    uint64
	departures rattanshare.TerminationDetector
}

var _ rattanservice.Admitter = (*Controller)(nil)

// New returns a Controller that follows the rosters and confirmations in the gossip store.
func New(d Dependencies) *Controller {
	k := &Controller{
		clock:     d.Clock,
		logger:    d.Logger,
		self:      d.Self,
		manager:   d.Manager,
		gossip:    d.Gossip,
		store:     d.Store,
		members:   d.Members,
		freshness: d.Freshness,
		started:   d.Clock.Now(),
		rosters:   make(map[string]rattanshare.Roster),
		contacts:  make(map[string]time.Time),
	}
	k.register()
	return k
}

// Manager returns the share manager.
func (k *Controller) Manager() *rattanshare.Manager { return k.manager }

// Admit implements rattanservice.Admitter. A daemon that is cut off from the
// platform and from its whole failure domain may have been removed from the
// roster, so it does not spend its home shares.
func (k *Controller) Admit(ctx context.Context, clientAccount string) error {
	if k.isolated() {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, isolatedRetry,
			"VM %s is cut off from the platform and from its failure domain", k.self.VM)
	}
	return k.manager.Admit(ctx, rattanshare.AccountShare(clientAccount))
}

// ConnectionLimit returns this daemon's part of an endpoint's connections. At least
// one is left, since a fleet may have more daemons than an endpoint has
// connections; the endpoint itself refuses what is over its limit.
func (k *Controller) ConnectionLimit(endpoint string, _ int) int {
	share, ok := k.manager.Share(rattanshare.ConnectionShare(endpoint))
	if !ok {
		return 1
	}
	return max(1, int(share.Limit.Burst/rattanshare.Unit))
}

// ObservePeer notes an answer of another daemon.
func (k *Controller) ObservePeer(vm string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.contacts[vm] = k.clock.Now()
}

// isolated reports whether this daemon has heard neither the platform, directly
// or through peers, nor another member of its roster within isolatedTime. The
// only member of a roster is never isolated: nobody else can take its share.
func (k *Controller) isolated() bool {
	if age, known := k.freshness.Age(); known && age <= isolatedTime {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	alone := true
	now := k.clock.Now()
	for _, member := range k.rosters[k.self.FailureDomain].Members {
		if member.VM == k.self.VM {
			continue
		}
		alone = false
		if heard, ok := k.contacts[member.VM]; ok && rattanclock.Elapsed(heard, now) <= isolatedTime {
			return false
		}
	}
	return !alone
}

// register subscribes to rosters and confirmations of other daemons.
func (k *Controller) register() {
	k.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_ROSTER, func(records []rattangossip.Record) {
		for _, record := range records {
			k.rosterChanged(record)
		}
	})
	k.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SHARES, func(records []rattangossip.Record) {
		for _, record := range records {
			k.confirmed(record)
		}
	})
}

// Apply takes new settings into the shares.
func (k *Controller) Apply(snapshot *rattansettings.Snapshot) {
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
	k.manager.SetSettings(settings)
	for _, domain := range settings.Domains {
		k.mutex.Lock()
		_, known := k.rosters[domain]
		k.mutex.Unlock()
		if !known {
			k.manager.SetRoster(domain, rattanshare.Roster{})
		}
	}
}
