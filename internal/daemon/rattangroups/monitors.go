package rattangroups

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfailover"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
)

const (
	// switchoverStagger is the stagger delay per rank between the monitors' attempts
	// to move a drained primary.
	switchoverStagger = time.Second
	// switchoverTimeout bounds one planned switchover.
	switchoverTimeout = 5 * time.Second
)

// Run monitors the groups that this daemon is selected for until ctx ends, and
// returns ctx's error.
func (g *Groups) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		g.updateMonitors(ctx, &running)
		g.refreshUsed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.applied:
		case <-g.clock.After(monitorInterval):
		}
	}
}

// refreshUsed refreshes the groups in use that this daemon does not monitor, so
// that it knows which of their endpoints it can reach.
func (g *Groups) refreshUsed() {
	g.mutex.Lock()
	now := g.clock.Now()
	var due []string
	for _, group := range g.names {
		used := now.Sub(g.used[group]) < groupIdleTimeout
		if used && g.monitored[group] == nil && now.Sub(g.refreshed[group]) >= idleRefreshInterval {
			due = append(due, group)
		}
	}
	g.mutex.Unlock()
	for _, group := range due {
		if !isRecent(g.tracker.View(group), now) {
			g.Refresh(group)
		}
	}
}

// isRecent reports whether the status of every endpoint is younger than
// idleRefreshInterval.
func isRecent(view rattanmodel.GroupView, now time.Time) bool {
	for _, endpoint := range view.Endpoints {
		if now.Sub(endpoint.ObservedAt) >= idleRefreshInterval {
			return false
		}
	}
	return true
}

// A selection lists the daemons that monitor one group.
type selection struct {
	// domains are the failure domains that host the group's endpoints.
	domains  []string
	monitors []rattanfailover.Daemon
	// includesSelf is true if this daemon is one of the monitors.
	includesSelf bool
}

// updateMonitors starts and stops monitors as live daemons and groups change,
// passes recent heartbeats to the running ones, and moves drained primaries.
func (g *Groups) updateMonitors(ctx context.Context, running *sync.WaitGroup) {
	live, withHeartbeat := g.liveDaemons()
	if key := selectionKey(live, g.settingsDigest.Load()); key != g.selectedFor {
		g.selectedFor = key
		g.selectMonitors(ctx, running, live)
	}
	for group, selected := range g.selections {
		if !selected.includesSelf {
			continue
		}
		g.mutex.Lock()
		m := g.monitored[group]
		g.mutex.Unlock()
		for _, name := range withHeartbeat {
			m.detector.ObserveHeartbeat(name)
		}
		g.moveDrained(ctx, running, m, g.tracker.View(group), selected.monitors)
	}
}

// selectMonitors selects the monitors of all groups, and starts and stops those of
// this daemon. It costs a hash per group and live daemon, so it runs only when
// daemons or settings have changed.
func (g *Groups) selectMonitors(ctx context.Context, running *sync.WaitGroup, live []rattanfailover.Daemon) {
	g.mutex.Lock()
	names := slices.Clone(g.names)
	g.mutex.Unlock()
	g.selections = make(map[string]selection, len(names))
	for _, group := range names {
		domains := hostingDomains(g.tracker.View(group))
		monitors := rattanfailover.Monitors(group, domains, live, rattanfailover.MonitorsPerDomain)
		includesSelf := slices.ContainsFunc(monitors, func(d rattanfailover.Daemon) bool { return d.Name == g.self.Name })
		g.selections[group] = selection{domains: domains, monitors: monitors, includesSelf: includesSelf}
		if m := g.setMonitored(ctx, running, group, includesSelf); m != nil {
			m.detector.SetMonitors(domains, monitors)
		}
	}
	g.stopRemoved(names)
}

// selectionKey returns a hash of the inputs of selectMonitors: the live daemons
// and the digest of the settings.
func selectionKey(live []rattanfailover.Daemon, settingsDigest uint64) uint64 {
	hash := xxhash.New()
	for _, daemon := range live {
		_, _ = fmt.Fprintf(hash, "%s/%d\n", daemon.Name, daemon.Incarnation)
	}
	_, _ = fmt.Fprintf(hash, "%d", settingsDigest)
	return hash.Sum64()
}

// setMonitored starts or stops this daemon's monitor of a group. It returns nil
// when none runs.
func (g *Groups) setMonitored(ctx context.Context, running *sync.WaitGroup, group string, selected bool) *monitoredGroup {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := g.monitored[group]
	switch {
	case selected && m == nil:
		monitorCtx, cancel := context.WithCancel(ctx)
		m = &monitoredGroup{detector: rattanfailover.NewDetector(group, g.self, g.clock), cancel: cancel}
		g.monitored[group] = m
		monitor := rattanfailover.NewMonitor(m.detector, g.coordinator,
			rattanfailover.WithPublish(g.publishSuspicion),
			rattanfailover.WithReport(func(p rattanfailover.Promotion, err error) { g.reportPromotion(group, p, err) }))
		running.Go(func() { monitor.Run(monitorCtx) })
	case !selected && m != nil:
		m.cancel()
		delete(g.monitored, group)
		m = nil
	}
	return m
}

// stopRemoved stops the monitors of groups that the settings no longer have.
func (g *Groups) stopRemoved(names []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for group, m := range g.monitored {
		if !slices.Contains(names, group) {
			m.cancel()
			delete(g.monitored, group)
		}
	}
}

// liveDaemons returns the live daemons, and the names of those with a recent
// heartbeat.
func (g *Groups) liveDaemons() (live []rattanfailover.Daemon, withHeartbeat []string) {
	for _, member := range g.members.Live() {
		live = append(live, rattanfailover.Daemon{
			Name:          member.VM,
			Incarnation:   member.Incarnation,
			FailureDomain: member.FailureDomain,
		})
		if member.HeartbeatSeen && member.SinceHeartbeat < heartbeatTimeout {
			withHeartbeat = append(withHeartbeat, member.VM)
		}
	}
	return live, withHeartbeat
}

// hostingDomains returns the failure domains that host the group's endpoints, sorted.
func hostingDomains(view rattanmodel.GroupView) []string {
	var domains []string
	for _, endpoint := range view.Endpoints {
		if !slices.Contains(domains, endpoint.FailureDomain) {
			domains = append(domains, endpoint.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

func (g *Groups) publishSuspicion(suspicion rattanfailover.Suspicion) {
	record, err := suspicion.Record()
	if err != nil {
		g.logger.Error("suspicion cannot be encoded", "error", err)
		return
	}
	g.gossip.Merge(rattangossip.RecordFromWire(record))
}

// reportPromotion logs the outcome of a switchover or failover, publishes the
// group's term and wakes waiting requests.
func (g *Groups) reportPromotion(group string, promotion rattanfailover.Promotion, err error) {
	g.notify(group)
	g.publish(g.tracker.View(group))
	if err != nil {
		g.logger.Warn("primary was not changed", "group", group, "error", err)
		return
	}
	g.logger.Info("primary changed", "group", group, "primary", promotion.Primary, "previous", promotion.Previous,
		"term", promotion.Term, "took", promotion.Took)
}

// moveDrained starts a planned switchover when the primary is drained and another
// endpoint can take over. The monitors try one after the other, by rank.
func (g *Groups) moveDrained(ctx context.Context, running *sync.WaitGroup, m *monitoredGroup, view rattanmodel.GroupView, monitors []rattanfailover.Daemon) {
	primary, ok := view.Endpoint(view.Primary)
	if !ok || !primary.Drained {
		m.drainedSince = time.Time{}
		return
	}
	now := g.clock.Now()
	if m.drainedSince.IsZero() {
		m.drainedSince = now
	}
	rank := rattanfailover.Rank(view.Group, view.Term, monitors, g.self.Name)
	target := switchoverTarget(view)
	if target == "" || m.switching.Load() || now.Sub(m.drainedSince) < time.Duration(rank)*switchoverStagger {
		return
	}
	m.switching.Store(true)
	running.Go(func() {
		defer func() { m.switching.Store(false) }()
		ctx, cancel := context.WithTimeout(ctx, switchoverTimeout)
		defer cancel()
		promotion, err := g.coordinator.Promote(ctx, view.Group, target)
		g.reportPromotion(view.Group, promotion, err)
	})
}

// switchoverTarget returns the reachable endpoint with the highest position that
// is neither drained nor the primary, or "" when there is none.
func switchoverTarget(view rattanmodel.GroupView) string {
	var best rattanmodel.EndpointView
	for _, endpoint := range view.Endpoints {
		if endpoint.Drained || !endpoint.Reachable || endpoint.Name == view.Primary {
			continue
		}
		if best.Name == "" || endpoint.Position.Compare(best.Position) > 0 {
			best = endpoint
		}
	}
	return best.Name
}

// errNoTarget is returned for a planned switchover without an endpoint to promote.
var errNoTarget = errors.New("no other endpoint of the group is reachable and not drained")

// Switchover makes target the primary of a group; an empty target lets the daemon
// choose. The error is that of rattanfailover.Coordinator.Promote, or errNoTarget
// when there is no endpoint to choose.
func (g *Groups) Switchover(ctx context.Context, group, target string) (rattanfailover.Promotion, error) {
	if target == "" {
		if target = switchoverTarget(g.tracker.View(group)); target == "" {
			return rattanfailover.Promotion{}, errNoTarget
		}
	}
	promotion, err := g.coordinator.Promote(ctx, group, target)
	g.reportPromotion(group, promotion, err)
	return promotion, err
}

// IsMonitoring reports whether this daemon monitors the group.
func (g *Groups) IsMonitoring(group string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.monitored[group] != nil
}
