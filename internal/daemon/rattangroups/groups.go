// Package rattangroups keeps a daemon's views of groups and runs the monitors,
// failovers and planned switchovers that this daemon is responsible for.
package rattangroups

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanendpoints"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanexecutor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfailover"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// monitorInterval is how often a daemon updates which groups it monitors.
	monitorInterval = 500 * time.Millisecond
	// refreshInterval is the shortest time between two status queries to all
	// endpoints of a group on behalf of requests. Monitors probe independently of it.
	refreshInterval = 100 * time.Millisecond
	// idleRefreshInterval is the age at which the status of an endpoint is queried
	// if the group is in use and requests have not updated it.
	idleRefreshInterval = time.Second
	// groupIdleTimeout is how long after its last request a group counts as in use.
	groupIdleTimeout = 10 * time.Second
	// heartbeatTimeout is the age up to which a daemon's heartbeat counts as a sign
	// of life for the vote of its failure domain.
	heartbeatTimeout = time.Second
)

// Dependencies are the components that Groups uses.
type Dependencies struct {
	Clock  rattanclock.Clock
	Logger *log.Logger
	// Self is this daemon; its incarnation must differ for each start.
	Self      rattanfailover.Daemon
	Gossip    *rattangossip.Store
	Endpoints *rattanendpoints.Set
	Members   Members
}

// Members lists the live daemons.
type Members interface {
	Live() []rattanmember.Member
}

// Groups keeps the views of all groups, monitors those that this daemon is
// selected for, and moves primaries off drained endpoints. It is safe for
// concurrent use.
type Groups struct {
	clock     rattanclock.Clock
	logger    *log.Logger
	self      rattanfailover.Daemon
	gossip    *rattangossip.Store
	endpoints *rattanendpoints.Set
	members   Members
	// settingsDigest is the digest of the settings in force.
	settingsDigest atomic.Uint64
	tracker        *rattanfailover.Tracker
	coordinator    *rattanfailover.Coordinator

	// The maps are keyed by group. mutex guards them and names.
	mutex sync.Mutex
	names []string
	// changed has the channels that Changed returned and that are still open.
	changed   map[string]chan struct{}
	published map[string]rattangossip.Record
	// refreshed and used are the times of the last Refresh and of the last request.
	refreshed map[string]time.Time
	used      map[string]time.Time
	monitored map[string]*monitoredGroup
	paused    map[string]pause

	// applied holds a value after new settings, so that Run checks at once whether
	// a primary has to move.
	applied chan struct{}

	// Only Run uses selections and selectedFor. selectedFor is the key of the live
	// daemons and settings that selections were computed from.
	selections  map[string]selection
	selectedFor uint64
}

// A monitoredGroup is a group with a detector and a monitor on this daemon.
type monitoredGroup struct {
	detector *rattanfailover.Detector
	cancel   context.CancelFunc
	// drainedSince is when its primary was first seen drained.
	drainedSince time.Time
	// switching is true while this daemon runs a planned switchover of the group.
	switching atomic.Bool
}

var _ rattanexecutor.Views = (*Groups)(nil)

// New returns Groups without any group; Apply adds the groups of the settings.
func New(d Dependencies) *Groups {
	g := &Groups{
		clock:     d.Clock,
		logger:    d.Logger,
		self:      d.Self,
		gossip:    d.Gossip,
		endpoints: d.Endpoints,
		members:   d.Members,
		tracker:   rattanfailover.NewTracker(d.Clock),
		changed:   make(map[string]chan struct{}),
		published: make(map[string]rattangossip.Record),
		refreshed: make(map[string]time.Time),
		used:      make(map[string]time.Time),
		monitored: make(map[string]*monitoredGroup),
		paused:    make(map[string]pause),
		applied:   make(chan struct{}, 1),
	}
	g.coordinator = rattanfailover.NewCoordinator(g.self, g.tracker, g.endpoint, d.Clock, rattanfailover.WithPauseWrites(g.pauseWrites))
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_GROUP, g.mergeTerms)
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SUSPICION, g.observeSuspicions)
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SWITCH, g.beginPauses)
	return g
}

// Apply replaces the groups and their endpoints by those of new settings.
func (g *Groups) Apply(snapshot *rattansettings.Snapshot) {
	g.settingsDigest.Store(snapshot.Digest())
	var names []string
	for _, group := range snapshot.Groups() {
		members := make([]rattanfailover.Member, 0, len(group.Endpoints()))
		for _, name := range group.Endpoints() {
			endpoint, ok := snapshot.Endpoint(name)
			if !ok {
				continue
			}
			members = append(members, rattanfailover.Member{
				Name:          name,
				Address:       endpoint.Address(),
				FailureDomain: endpoint.FailureDomain(),
				Drained:       endpoint.Drained(),
			})
		}
		g.tracker.SetGroup(group.Name(), members...)
		names = append(names, group.Name())
	}
	g.mutex.Lock()
	removed := slices.DeleteFunc(slices.Clone(g.names), func(name string) bool { return slices.Contains(names, name) })
	g.names = names
	g.mutex.Unlock()
	for _, name := range removed {
		g.tracker.RemoveGroup(name)
	}
	for _, name := range names {
		g.notify(name)
		g.Refresh(name)
	}
	select {
	case g.applied <- struct{}{}:
	default:
	}
}

// View implements rattanexecutor.Views.
func (g *Groups) View(group string) rattanmodel.GroupView {
	return g.withPause(g.tracker.View(group))
}

// Observe implements rattanexecutor.Views.
func (g *Groups) Observe(endpoint string, status *rattanv1.EndpointStatus) {
	if status == nil {
		return
	}
	found, ok := g.endpoints.Find(endpoint)
	if !ok {
		return
	}
	group := found.Settings().Group()
	before := g.tracker.View(group)
	g.tracker.Observe(endpoint, status)
	g.publishChange(group, before)
}

// publishChange publishes a new term and wakes waiting requests if the group's
// view has changed since before: a new term or primary, or more reachable endpoints.
func (g *Groups) publishChange(group string, before rattanmodel.GroupView) {
	after := g.tracker.View(group)
	g.publish(after)
	if after.Term != before.Term || after.Primary != before.Primary || reachableCount(after) > reachableCount(before) {
		g.notify(group)
	}
}

func reachableCount(view rattanmodel.GroupView) int {
	count := 0
	for _, endpoint := range view.Endpoints {
		if endpoint.Reachable {
			count++
		}
	}
	return count
}

// Changed implements rattanexecutor.Views. The call counts as a use of the group.
func (g *Groups) Changed(group string) <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.used[group] = g.clock.Now()
	channel, ok := g.changed[group]
	if !ok {
		channel = make(chan struct{})
		g.changed[group] = channel
	}
	return channel
}

// notify closes the channel that Changed returned for the group.
func (g *Groups) notify(group string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if channel, ok := g.changed[group]; ok {
		close(channel)
		delete(g.changed, group)
	}
}

// Refresh implements rattanexecutor.Views. It does nothing within refreshInterval
// of the last one.
func (g *Groups) Refresh(group string) {
	g.mutex.Lock()
	now := g.clock.Now()
	if now.Sub(g.refreshed[group]) < refreshInterval {
		g.mutex.Unlock()
		return
	}
	g.refreshed[group] = now
	g.mutex.Unlock()
	for _, endpoint := range g.tracker.View(group).Endpoints {
		go g.queryStatus(endpoint.Name)
	}
}

// queryStatus gets the status of one endpoint and updates its group's view.
func (g *Groups) queryStatus(name string) {
	endpoint, ok := g.endpoints.Find(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rattanfailover.CallTimeout)
	defer cancel()
	status, err := endpoint.Client().Status(ctx)
	if err != nil {
		g.tracker.ObserveFailure(name)
		return
	}
	endpoint.Pool().Observe(status)
	g.Observe(name, status)
}

// publish publishes the term of a view by gossip, unless the same or a newer
// record was published already. The record of a term without a known primary has
// version 1, the one that names the primary has version 2.
func (g *Groups) publish(view rattanmodel.GroupView) {
	if view.Term == 0 {
		return
	}
	record := rattangossip.Record{Kind: rattanv1.RecordKind_RECORD_KIND_GROUP, Name: view.Group, Epoch: view.Term, Version: 1}
	if view.Primary != "" {
		record.Version = 2
	}
	g.mutex.Lock()
	known, ok := g.published[view.Group]
	if ok && known.Compare(record) >= 0 {
		g.mutex.Unlock()
		return
	}
	g.published[view.Group] = record
	g.mutex.Unlock()
	value, err := proto.Marshal(&rattanv1.GroupTerm{
		Group:   view.Group,
		Term:    view.Term,
		Primary: view.Primary,
		Lineage: view.TermHistory.Wire(),
	})
	if err != nil {
		g.logger.Error("group term cannot be encoded", "group", view.Group, "error", err)
		return
	}
	record.Value = value
	g.gossip.Merge(record)
}

// mergeTerms merges the group terms that other daemons published into the views.
func (g *Groups) mergeTerms(records []rattangossip.Record) {
	for _, record := range records {
		var term rattanv1.GroupTerm
		if err := proto.Unmarshal(record.Value, &term); err != nil {
			g.logger.Error("group term cannot be read", "group", record.Name, "error", err)
			continue
		}
		before := g.tracker.View(term.GetGroup())
		g.tracker.Merge(rattanmodel.GroupView{
			Group:       term.GetGroup(),
			Term:        term.GetTerm(),
			Primary:     term.GetPrimary(),
			TermHistory: rattanmodel.TermHistoryFromWire(term.GetLineage()),
		})
		g.publishChange(term.GetGroup(), before)
		if term.GetTerm() > before.Term {
			g.Refresh(term.GetGroup())
		}
	}
}

// observeSuspicions passes the suspicions of other monitors to the detectors of
// the groups that this daemon monitors.
func (g *Groups) observeSuspicions(records []rattangossip.Record) {
	for _, record := range records {
		suspicion, err := rattanfailover.SuspicionFromRecord(record.Wire())
		if err != nil {
			g.logger.Error("suspicion cannot be read", "error", err)
			continue
		}
		g.mutex.Lock()
		m, ok := g.monitored[suspicion.Group]
		g.mutex.Unlock()
		if ok {
			m.detector.ObserveSuspicion(suspicion)
		}
	}
}
