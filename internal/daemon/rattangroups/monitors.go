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
	// switchDelay separates the monitors' attempts to move a primary out of a
	// drained failure domain, by rank.
	switchDelay = time.Second
	// switchTimeout bounds one planned switch.
	switchTimeout = 5 * time.Second
)

// Run monitors the groups that fall to this daemon until ctx ends, and returns
// ctx's error.
func (g *Groups) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		g.choose(ctx, &running)
		g.refreshUsed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.applied:
		case <-g.clock.After(monitorInterval):
		}
	}
}

// refreshUsed asks the endpoints of groups in use that this daemon does not
// monitor, so that it knows which of them it can reach.
func (g *Groups) refreshUsed() {
	g.mutex.Lock()
	now := g.clock.Now()
	var due []string
	for _, group := range g.names {
		used := now.Sub(g.used[group]) < usedTime
		if used && g.monitored[group] == nil && now.Sub(g.refreshed[group]) >= idleRefresh {
			due = append(due, group)
		}
	}
	g.mutex.Unlock()
	for _, group := range due {
		if !recent(g.tracker.View(group), now) {
			g.Refresh(group)
		}
	}
}

// recent reports whether requests have brought the status of all endpoints lately.
func recent(view rattanmodel.GroupView, now time.Time) bool {
	for _, endpoint := range view.Endpoints {
		if now.Sub(endpoint.ObservedAt) >= idleRefresh {
			return false
		}
	}
	return true
}

// A choice names the monitors of one group.
type choice struct {
	domains  []string
	monitors []rattanfailover.Daemon
	own      bool
}

// choose starts and stops monitors as live daemons and groups change, and tells
// the running ones who was heard from.
func (g *Groups) choose(ctx context.Context, running *sync.WaitGroup) {
	live, heard := g.liveDaemons()
	if key := choiceKey(live, g.settings.Load()); key != g.chosenFor {
		g.chosenFor = key
		g.chooseAll(ctx, running, live)
	}
	for group, chosen := range g.choices {
		if !chosen.own {
			continue
		}
		g.mutex.Lock()
		m := g.monitored[group]
		g.mutex.Unlock()
		for _, name := range heard {
			m.detector.ObserveHeartbeat(name)
		}
		g.moveDrained(ctx, running, m, g.tracker.View(group), chosen.monitors)
	}
}

// chooseAll chooses the monitors of all groups. It costs a hash per group and
// live daemon, so it runs only when daemons or settings have changed.
func (g *Groups) chooseAll(ctx context.Context, running *sync.WaitGroup, live []rattanfailover.Daemon) {
	g.mutex.Lock()
	names := slices.Clone(g.names)
	g.mutex.Unlock()
	g.choices = make(map[string]choice, len(names))
	for _, group := range names {
		domains := hostingDomains(g.tracker.View(group))
		monitors := rattanfailover.Monitors(group, domains, live, rattanfailover.MonitorsPerDomain)
		own := slices.ContainsFunc(monitors, func(d rattanfailover.Daemon) bool { return d.Name == g.self.Name })
		g.choices[group] = choice{domains: domains, monitors: monitors, own: own}
		if m := g.setMonitored(ctx, running, group, own); m != nil {
			m.detector.SetMonitors(domains, monitors)
		}
	}
	g.stopRemoved(names)
}

// choiceKey identifies the live daemons and the settings that a choice follows.
func choiceKey(live []rattanfailover.Daemon, settings uint64) uint64 {
	hash := xxhash.New()
	for _, daemon := range live {
		_, _ = fmt.Fprintf(hash, "%s/%d\n", daemon.Name, daemon.Incarnation)
	}
	_, _ = fmt.Fprintf(hash, "%d", settings)
	return hash.Sum64()
}

// setMonitored starts or stops the monitor of a group and returns the running one.
func (g *Groups) setMonitored(ctx context.Context, running *sync.WaitGroup, group string, chosen bool) *monitored {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := g.monitored[group]
	switch {
	case chosen && m == nil:
		monitorCtx, cancel := context.WithCancel(ctx)
		m = &monitored{detector: rattanfailover.NewDetector(group, g.self, g.clock), cancel: cancel}
		g.monitored[group] = m
		monitor := rattanfailover.NewMonitor(m.detector, g.coordinator,
			rattanfailover.WithPublish(g.publishSuspicion),
			rattanfailover.WithReport(func(p rattanfailover.Promotion, err error) { g.report(group, p, err) }))
		running.Go(func() { monitor.Run(monitorCtx) })
	case !chosen && m != nil:
		m.cancel()
		delete(g.monitored, group)
		m = nil
	}
	return m
}

// stopRemoved stops the monitors of groups that the settings do not have any more.
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
func (g *Groups) liveDaemons() (live []rattanfailover.Daemon, heard []string) {
	for _, member := range g.members.Live() {
		live = append(live, rattanfailover.Daemon{
			Name:          member.VM,
			Incarnation:   member.Incarnation,
			FailureDomain: member.FailureDomain,
		})
		if member.HeartbeatSeen && member.SinceHeartbeat < heardWithin {
			heard = append(heard, member.VM)
		}
	}
	return live, heard
}

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

// report logs the outcome of a change of primary and wakes waiting requests.
func (g *Groups) report(group string, promotion rattanfailover.Promotion, err error) {
	g.notify(group)
	g.publish(g.tracker.View(group))
	if err != nil {
		g.logger.Warn("primary was not changed", "group", group, "error", err)
		return
	}
	g.logger.Info("primary changed", "group", group, "primary", promotion.Primary, "previous", promotion.Previous,
		"term", promotion.Term, "took", promotion.Took)
}

// moveDrained starts a planned switch when the primary is drained and another
// endpoint can take over. The monitors try one after the other, by rank.
func (g *Groups) moveDrained(ctx context.Context, running *sync.WaitGroup, m *monitored, view rattanmodel.GroupView, monitors []rattanfailover.Daemon) {
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
	target := switchTarget(view)
	if target == "" || m.switching.Load() || now.Sub(m.drainedSince) < time.Duration(rank)*switchDelay {
		return
	}
	m.switching.Store(true)
	running.Go(func() {
		defer func() { m.switching.Store(false) }()
		ctx, cancel := context.WithTimeout(ctx, switchTimeout)
		defer cancel()
		promotion, err := g.coordinator.Promote(ctx, view.Group, target)
		g.report(view.Group, promotion, err)
	})
}

// switchTarget returns the endpoint in service with the highest position, ""
// when there is none beside the primary.
func switchTarget(view rattanmodel.GroupView) string {
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

// errNoTarget is the error of a planned switch without an endpoint to promote.
var errNoTarget = errors.New("no other endpoint of the group is in service and reachable")

// Switchover makes target the primary of a group; an empty target lets the daemon
// choose. The error is that of rattanfailover.Coordinator.Promote, or says that
// no other endpoint is in service.
func (g *Groups) Switchover(ctx context.Context, group, target string) (rattanfailover.Promotion, error) {
	if target == "" {
		if target = switchTarget(g.tracker.View(group)); target == "" {
			return rattanfailover.Promotion{}, errNoTarget
		}
	}
	promotion, err := g.coordinator.Promote(ctx, group, target)
	g.report(group, promotion, err)
	return promotion, err
}

// IsMonitoring reports whether this daemon monitors the group.
func (g *Groups) IsMonitoring(group string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.monitored[group] != nil
}
