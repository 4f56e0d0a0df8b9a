// Package rattangroups keeps a daemon's views of groups and runs the monitors,
// failovers and planned switches that fall to it.
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
	// monitorInterval is how often a daemon looks which groups it monitors.
	monitorInterval = 500 * time.Millisecond
	// refreshInterval bounds how often one group's endpoints are asked for their
	// status on behalf of requests.
	refreshInterval = 100 * time.Millisecond
	// idleRefresh is how often the endpoints of a group in use are asked when
	// requests bring no news of them.
	idleRefresh = time.Second
	// usedTime is how long after its last request a group counts as in use.
	usedTime = 10 * time.Second
	// heardWithin is the silence up to which a daemon's heartbeat counts as a
	// sign of life for the vote of its failure domain.
	heardWithin = time.Second
)

// Dependencies are the parts that Groups works with.
type Dependencies struct {
	Clock  rattanclock.Clock
	Logger *log.Logger
	// Self is this daemon; its incarnation must differ for each start.
	Self      rattanfailover.Daemon
	Gossip    *rattangossip.Store
	Endpoints *rattanendpoints.Set
	Members   Members
}

// Members tells which daemons are live.
type Members interface {
	Live() []rattanmember.Member
}

// Groups keeps the views of all groups, monitors those that fall to this daemon,
// and moves primaries out of drained failure domains. It is safe for concurrent use.
type Groups struct {
	clock     rattanclock.Clock
	logger    *log.Logger
	self      rattanfailover.Daemon
	gossip    *rattangossip.Store
	endpoints *rattanendpoints.Set
	members   Members
	// settings is the digest of the settings in force.
	settings    atomic.Uint64
	tracker     *rattanfailover.Tracker
	coordinator *rattanfailover.Coordinator

	mutex     sync.Mutex
	names     []string
	changed   map[string]chan struct{}
	published map[string]rattangossip.Record
	refreshed map[string]time.Time
	used      map[string]time.Time
	monitored map[string]*monitored
	paused    map[string]pause

	// applied holds a value after new settings, so that Run looks at once whether
	// a primary has to move.
	applied chan struct{}

	// choices and chosenFor belong to Run.
	choices   map[string]choice
	chosenFor uint64
}

// A monitored group has a detector and a monitor on this daemon.
type monitored struct {
	detector *rattanfailover.Detector
	cancel   context.CancelFunc
	// drainedSince is when its primary was first seen drained.
	drainedSince time.Time
	switching    atomic.Bool
}

var _ rattanexecutor.Views = (*Groups)(nil)

// New returns Groups without any group, which Apply adds.
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
		monitored: make(map[string]*monitored),
		paused:    make(map[string]pause),
		applied:   make(chan struct{}, 1),
	}
	g.coordinator = rattanfailover.NewCoordinator(g.self, g.tracker, g.endpoint, d.Clock, rattanfailover.WithPauseWrites(g.pauseWrites))
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_GROUP, g.termsChanged)
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SUSPICION, g.suspicionsChanged)
	g.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_SWITCH, g.switchesBegun)
	return g
}

// Apply takes the groups of new settings over.
func (g *Groups) Apply(snapshot *rattansettings.Snapshot) {
	g.settings.Store(snapshot.Digest())
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
	g.compare(group, before)
}

// compare wakes waiting requests and publishes the term when the view has changed.
func (g *Groups) compare(group string, before rattanmodel.GroupView) {
	after := g.tracker.View(group)
	g.publish(after)
	if after.Term != before.Term || after.Primary != before.Primary || reachable(after) > reachable(before) {
		g.notify(group)
	}
}

func reachable(view rattanmodel.GroupView) int {
	count := 0
	for _, endpoint := range view.Endpoints {
		if endpoint.Reachable {
			count++
		}
	}
	return count
}

// Changed implements rattanexecutor.Views.
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

func (g *Groups) notify(group string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if channel, ok := g.changed[group]; ok {
		close(channel)
		delete(g.changed, group)
	}
}

// Refresh implements rattanexecutor.Views.
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
		go g.ask(endpoint.Name)
	}
}

// ask takes the status of one endpoint into its group's view.
func (g *Groups) ask(name string) {
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

// publish spreads a term by gossip when it is news.
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

func (g *Groups) termsChanged(records []rattangossip.Record) {
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
		g.compare(term.GetGroup(), before)
		if term.GetTerm() > before.Term {
			g.Refresh(term.GetGroup())
		}
	}
}

func (g *Groups) suspicionsChanged(records []rattangossip.Record) {
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
