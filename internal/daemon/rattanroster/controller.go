// Package rattanroster keeps a daemon in the roster of its failure domain,
// publishes the settings and roster revisions that its shares are computed from,
// and admits requests through the share manager.
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
	// isolatedTime is how long a daemon may be without contact to the platform and
	// to the other members of its roster before it stops spending its base shares,
	// because others may have removed it from the roster.
	isolatedTime = 5 * time.Second
	// isolatedRetry is the time after which a caller may retry at an isolated
	// daemon. Another VM may serve the caller at once.
	isolatedRetry = time.Second
)

// Dependencies are the components that a Controller uses.
type Dependencies struct {
	Clock   rattanclock.Clock
	Logger  *log.Logger
	Self    rattanmember.Identity
	Manager *rattanshare.Manager
	Gossip  *rattangossip.Store
	Store   *rattanstore.Store
	Members *rattanmember.Registry
	// Freshness tells how old this daemon's newest data from the platform is.
	Freshness *rattankey.Freshness
}

// A Controller connects the share manager with settings, rosters and peers. It is
// safe for concurrent use, except that PublishConfirmations and Reconcile must
// each run in one goroutine only.
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
	// isCorrupt is true when the newest roster of this daemon's failure domain cannot be
	// used.
	isCorrupt bool
	// lastExchange is the time of the last exchange with each VM's daemon.
	lastExchange map[string]time.Time

	// Only PublishConfirmations uses published and version; only Reconcile uses
	// terminations.
	published    rattanshare.Confirmation
	version      uint64
	terminations rattanshare.TerminationDetector
}

var _ rattanservice.Admitter = (*Controller)(nil)

// New returns a Controller that subscribes to the rosters and confirmations in
// the gossip store.
func New(d Dependencies) *Controller {
	c := &Controller{
		clock:        d.Clock,
		logger:       d.Logger,
		self:         d.Self,
		manager:      d.Manager,
		gossip:       d.Gossip,
		store:        d.Store,
		members:      d.Members,
		freshness:    d.Freshness,
		started:      d.Clock.Now(),
		rosters:      make(map[string]rattanshare.Roster),
		lastExchange: make(map[string]time.Time),
	}
	c.subscribe()
	return c
}

// Manager returns the share manager.
func (c *Controller) Manager() *rattanshare.Manager { return c.manager }

// Admit implements rattanservice.Admitter. A daemon that is partitioned from the
// platform and from the rest of its failure domain may have been removed from the
// roster, so it does not spend its base shares.
func (c *Controller) Admit(ctx context.Context, clientAccount string) error {
	if c.isolated() {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, isolatedRetry,
			"VM %s is partitioned from the platform and from its failure domain", c.self.VM)
	}
	return c.manager.Admit(ctx, rattanshare.AccountShare(clientAccount))
}

// ConnectionLimit returns how many connections this daemon may open to an
// endpoint. It is at least one, since a fleet may have more daemons than an
// endpoint has connections; the endpoint itself refuses connections over its limit.
func (c *Controller) ConnectionLimit(endpoint string, _ int) int {
	share, ok := c.manager.Share(rattanshare.ConnectionShare(endpoint))
	if !ok {
		return 1
	}
	return max(1, int(share.Limit.Burst/rattanshare.Unit))
}

// ObservePeer records that the daemon of vm completed an exchange just now.
func (c *Controller) ObservePeer(vm string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastExchange[vm] = c.clock.Now()
}

// isolated reports whether within isolatedTime this daemon has neither received
// data from the platform, directly or through peers, nor completed an exchange
// with another member of its roster. The only member of a roster is never
// isolated: no other daemon can take its share.
func (c *Controller) isolated() bool {
	if age, known := c.freshness.Age(); known && age <= isolatedTime {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	alone := true
	now := c.clock.Now()
	for _, member := range c.rosters[c.self.FailureDomain].Members {
		if member.VM == c.self.VM {
			continue
		}
		alone = false
		if last, ok := c.lastExchange[member.VM]; ok && rattanclock.Elapsed(last, now) <= isolatedTime {
			return false
		}
	}
	return !alone
}

// subscribe subscribes to the gossip records of rosters and share confirmations.
func (c *Controller) subscribe() {
	c.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_ROSTER, func(records []rattangossip.Record) {
		for _, record := range records {
			c.updateRoster(record)
		}
	})
	c.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SHARES, func(records []rattangossip.Record) {
		for _, record := range records {
			c.updateConfirmation(record)
		}
	})
}

// Apply passes the revisions, failure domains and shares of new settings to the
// share manager. A failure domain without a known roster gets an empty one.
func (c *Controller) Apply(snapshot *rattansettings.Snapshot) {
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
	c.manager.SetSettings(settings)
	for _, domain := range settings.Domains {
		c.mutex.Lock()
		_, known := c.rosters[domain]
		c.mutex.Unlock()
		if !known {
			c.manager.SetRoster(domain, rattanshare.Roster{})
		}
	}
}
