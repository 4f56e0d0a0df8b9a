package rattanproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// A switchRunner runs at most one switch per group at a time.
type switchRunner struct {
	proxy       *Proxy
	coordinator *rattanswitchover.Coordinator
	members     *members
	// watchdog is what the holder of the duty owes while this daemon does not hold it.
	watchdog *rattanswitchover.Watchdog

	mu      sync.Mutex
	running map[string]bool
	failed  map[string]time.Time
}

// look decides for each group whether its primary stays.
func (r *switchRunner) look(ctx context.Context, view *rattancache.Snapshot) {
	if view.Catalog == nil {
		return
	}
	for _, group := range view.Catalog.Groups() {
		situation := r.situation(view, group)
		if len(situation.Endpoints) == 0 {
			continue
		}
		reason := rattanswitchover.Decide(situation)
		if reason != rattanswitchover.ReasonNone && r.begin(group) {
			sw := rattanswitchover.Request{
				Group: group, Key: rattancache.GroupPrefix + group, Reason: reason,
				Record: situation.Record, Revision: view.Groups[group].Revision,
				Endpoints: situation.Endpoints, Evacuated: view.Evacuated,
			}
			r.proxy.logger.Info("switch_begin", "group", group, "reason", string(reason), "primary", sw.Record.Primary,
				"reporters", situation.Reporters, "daemons", situation.Daemons, "revision", sw.Revision)
			go r.run(ctx, sw)
		}
	}
}

// isOverdue reports whether the holder of the duty has owed a group a switch for
// longer than patience.
func (r *switchRunner) isOverdue(view *rattancache.Snapshot, patience time.Duration) bool {
	if view.Catalog == nil {
		return false
	}
	now, isOverdue := r.proxy.clock.Now(), false
	for _, group := range view.Catalog.Groups() {
		isOverdue = r.watchdog.Check(now, group, r.situation(view, group), view.Leader.Token, patience) || isOverdue
	}
	return isOverdue
}

func (r *switchRunner) situation(view *rattancache.Snapshot, group string) rattanswitchover.GroupState {
	entry, ok := view.Groups[group]
	situation := rattanswitchover.GroupState{Record: entry.Record, HasRecord: ok, Evacuated: view.Evacuated}
	for _, endpoint := range view.Endpoints {
		if endpoint.Group == group {
			situation.Endpoints = append(situation.Endpoints, endpoint)
		}
	}
	slices.SortFunc(situation.Endpoints, func(a, b rattancatalog.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	situation.IsPrimaryGone = r.proxy.endpoints.isMissing(entry.Record.Primary)
	situation.Daemons = len(r.proxy.cache.RemovedSince(r.proxy.boot.Now().Add(-recentDaemons)))
	for _, vm := range view.VMs {
		situation.Daemons++
		if slices.Contains(vm.Unreachable, entry.Record.Primary) {
			situation.Reporters++
		}
	}
	return situation
}

func (r *switchRunner) begin(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[group] || r.proxy.clock.Now().Sub(r.failed[group]) < switchRetry {
		return false
	}
	r.running[group] = true
	return true
}

func (r *switchRunner) run(ctx context.Context, sw rattanswitchover.Request) {
	report, err := r.coordinator.Run(ctx, sw)
	r.mu.Lock()
	r.running[sw.Group] = false
	r.failed[sw.Group] = r.proxy.clock.Now()
	r.mu.Unlock()
	fields := []any{
		"group", sw.Group, "reason", string(sw.Reason), "from", report.From, "to", report.To, "missing", report.Unconfirmed,
		"stopped_ms", report.StoppedAfter.Milliseconds(), "chosen_ms", report.ChosenAfter.Milliseconds(),
		"promoted_ms", report.PromotedAfter.Milliseconds(), "position", report.Position.String(),
	}
	if err != nil {
		r.proxy.logger.Warn("switch_failed", append(fields, "error", err)...)
		return
	}
	r.proxy.logger.Info("switch_end", fields...)
}

// control implements rattanswitchover.Control.
type control struct {
	proxy *Proxy
}

func (c *control) upstream(endpoint rattancatalog.Endpoint) *rattanupstream.Upstream {
	return rattanupstream.New(c.proxy.clock, c.proxy.protocol.Dial, c.proxy.grants, endpoint, rattanadmission.Limits{}, func() {})
}

// Status implements rattanswitchover.Control.
func (c *control) Status(endpoint rattancatalog.Endpoint, timeout time.Duration) (rattanswitchover.Status, error) {
	status, err := c.upstream(endpoint).Status(timeout)
	return rattanswitchover.Status{Endpoint: endpoint, Received: status.Received, Term: status.Term, IsPrimary: status.IsPrimary}, err
}

// StepDown implements rattanswitchover.Control.
func (c *control) StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error {
	_, err := c.upstream(endpoint).StepDown(term, timeout)
	return err
}
