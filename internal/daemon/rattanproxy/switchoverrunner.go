package rattanproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// A switchoverRunner runs at most one switchover per group at a time.
type switchoverRunner struct {
	proxy       *Proxy
	coordinator *rattanswitchover.Coordinator
	members     *members
	// watchdog tracks which switchovers are overdue while another daemon is the
	// failover leader.
	watchdog *rattanswitchover.Watchdog

	mu sync.Mutex
	// running holds the groups whose switchover is in progress, lastEnd when a
	// group's last one ended.
	running map[string]bool
	lastEnd map[string]time.Time
	// blocked holds why a group's primary should be replaced and cannot be. Only
	// checkGroups uses it.
	blocked map[string]rattanswitchover.Reason
	// termChecks holds the last status queries of groups whose record is in doubt.
	termChecks map[string]termCheck
	// confirmations are when the groups' endpoints may be asked who holds all commits. Only
	// checkGroups uses it.
	confirmations map[string]confirmation
	// changedSince is since when the holders of groups differ from their record. Only
	// checkGroups uses it.
	changedSince map[string]time.Time
	// holderWrites are the last writes of groups' holders.
	holderWrites map[string]holderWrite
	// settledEra is the last era that this daemon has recorded as settled. Only
	// checkGroups uses it.
	settledEra int64
}

// checkGroups decides for each group whether it needs another primary, and starts
// the switchover. The snapshot has all that the store held when it was read in the era.
func (r *switchoverRunner) checkGroups(ctx context.Context, snapshot *rattancache.Snapshot, era int64) {
	if snapshot.Catalog == nil {
		return
	}
	isSettled := true
	var settled []rattanswitchover.Request
	for _, group := range snapshot.Catalog.Groups() {
		state := r.groupState(snapshot, group, era)
		isSettled = isSettled && !state.IsLost && !state.IsDeposed
		if len(state.Endpoints) == 0 && !state.IsLost {
			continue
		}
		if state.IsLost {
			r.startRestore(ctx, group, state.Record, snapshot.Groups[group].Revision)
			continue
		}
		state.Holders = observedHolders(snapshot, state)
		r.logBlocked(group, state)
		reason := rattanswitchover.Decide(state)
		request := rattanswitchover.Request{
			Group: group, Key: rattancache.GroupPrefix + group, Reason: reason,
			Record: state.Record, Revision: snapshot.Groups[group].Revision, Term: r.proxy.grants.NewestTerm(group),
			Endpoints: state.Candidates(), Unlisted: state.Unlisted, Holders: state.Holders, SyncReplicas: state.SyncReplicas,
			Evacuated: snapshot.Evacuated, Era: era,
		}
		if reason == rattanswitchover.ReasonNone && isDoubted(snapshot, group, state) {
			r.startTermCheck(request)
		}
		switch {
		case reason == rattanswitchover.ReasonNone:
			settled = append(settled, request)
		case r.tryStart(group):
			go r.run(ctx, request, state)
		}
	}
	r.startRecordHolders(ctx, settled)
	if isSettled && max(snapshot.SettledEra, r.settledEra) < era && r.proxy.settleEra(ctx, era) {
		r.settledEra = era
	}
}

// startRestore writes the newest known record of a group to the store, which has lost
// it, if the store still holds the older record of the given revision, 0 for none.
func (r *switchoverRunner) startRestore(ctx context.Context, group string, known rattangrant.PrimaryRecord, revision rattankv.Revision) {
	if !r.tryStart(group) {
		return
	}
	go func() {
		defer r.end(group)
		item, err := groupItem(group, rattangrant.KnownRecord{PrimaryRecord: known})
		if err == nil {
			err = r.writeRestored(ctx, item, revision)
		}
		r.proxy.logger.Warn("record_restored", "group", group, "number", known.Version, "primary", known.Primary,
			"switching", known.IsSwitching, "error", err)
	}()
}

func (r *switchoverRunner) writeRestored(ctx context.Context, item rattankv.Item, revision rattankv.Revision) error {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := r.proxy.platform.Store.Commit(callCtx, rattankv.Txn{
		Expect: []rattankv.Expectation{{Key: item.Key, Revision: revision}},
		Writes: []rattankv.Item{{Key: item.Key, Value: item.Value}},
	})
	return err
}

// end records that a group's switchover has ended.
func (r *switchoverRunner) end(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[group] = false
	r.lastEnd[group] = r.proxy.clock.Now()
}

// logBlocked logs when a primary that goes out of service cannot be replaced, and
// when that ends.
func (r *switchoverRunner) logBlocked(group string, state rattanswitchover.GroupState) {
	reason := rattanswitchover.Blocked(state)
	if reason == r.blocked[group] {
		return
	}
	r.blocked[group] = reason
	if reason == rattanswitchover.ReasonNone {
		r.proxy.logger.Info("switch_possible", "group", group, "primary", state.Record.Primary)
		return
	}
	r.proxy.logger.Warn("switch_blocked", "group", group, "reason", string(reason), "primary", state.Record.Primary,
		"endpoints", len(state.Endpoints))
}

// isOverdue reports whether a group has needed a switchover for longer than a
// timeout without the failover leader beginning it, or finishing one in progress.
func (r *switchoverRunner) isOverdue(snapshot *rattancache.Snapshot, era int64, timeout time.Duration) bool {
	if snapshot.Catalog == nil {
		return false
	}
	now, isOverdue := r.proxy.clock.Now(), false
	for _, group := range snapshot.Catalog.Groups() {
		state := r.groupState(snapshot, group, era)
		if len(state.Record.Awaited) > 0 {
			state.Holders = observedHolders(snapshot, state)
		}
		isOverdue = r.watchdog.Check(now, group, state, snapshot.Leader.Token, timeout) || isOverdue
	}
	return isOverdue
}

func (r *switchoverRunner) groupState(snapshot *rattancache.Snapshot, group string, era int64) rattanswitchover.GroupState {
	entry, ok := snapshot.Groups[group]
	state := rattanswitchover.GroupState{
		Record: entry.Record, HasRecord: ok && !entry.IsUnreadable, Evacuated: snapshot.Evacuated, Unusable: make(map[string]bool),
	}
	if known, isLost := r.lostRecord(group, entry, era); isLost {
		state.Record, state.HasRecord, state.IsLost = known, true, true
	}
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.Group == group {
			state.Endpoints = append(state.Endpoints, endpoint)
			state.Unusable[endpoint.ID] = !r.proxy.endpoints.acceptsNewStatements(endpoint.ID)
		}
	}
	state.Unlisted = r.proxy.endpoints.unlisted(snapshot, group)
	if settings, ok := snapshot.Catalog.Group(group); ok {
		state.SyncReplicas = settings.SyncReplicas
	}
	slices.SortFunc(state.Endpoints, func(a, b rattancatalog.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	newestTerm := r.proxy.grants.NewestTerm(group)
	state.IsDeposed = r.isFoundDeposed(group, state.Record) || state.Record.Term != 0 && newestTerm > state.Record.Term
	state.IsPrimaryGone = r.proxy.endpoints.isRemoved(state.Record.Primary)
	jury := r.proxy.juries.of(snapshot, state.Record.Primary)
	state.Daemons = len(jury)
	for _, juror := range jury {
		if slices.Contains(snapshot.VMs[juror].Unreachable, state.Record.Primary) {
			state.Reporters++
		}
	}
	return state
}

// lostRecord returns a group's newest known record if the store, restored since it was
// read, has an older entry or none, or if its entry cannot be decoded.
func (r *switchoverRunner) lostRecord(group string, entry rattancache.GroupEntry, era int64) (rattangrant.PrimaryRecord, bool) {
	known, revision, ok := r.proxy.grants.Record(group)
	return known, ok && known.Version > entry.Record.Version && (entry.IsUnreadable || revision.Era() < era)
}

func (r *switchoverRunner) tryStart(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[group] || r.proxy.clock.Now().Sub(r.lastEnd[group]) < switchoverRetry {
		return false
	}
	r.running[group] = true
	return true
}

func (r *switchoverRunner) run(ctx context.Context, request rattanswitchover.Request, state rattanswitchover.GroupState) {
	defer r.end(request.Group)
	if len(request.Record.Awaited) > 0 && r.coordinator.IsAwaiting(request) {
		if request.HasNewHolders() && r.isHolderWriteDue(request) {
			r.recordHolders(ctx, request)
		}
		return
	}
	r.proxy.logger.Info("switch_begin", "group", request.Group, "reason", string(request.Reason), "primary", request.Record.Primary,
		"reporters", state.Reporters, "daemons", state.Daemons, "revision", request.Revision.String())
	report, err := r.coordinator.Run(ctx, request)
	fields := []any{
		"group", request.Group, "reason", string(request.Reason), "from", report.From, "to", report.To, "missing", report.Unconfirmed,
		"stopped_ms", report.StoppedAfter.Milliseconds(), "chosen_ms", report.ChosenAfter.Milliseconds(),
		"promoted_ms", report.PromotedAfter.Milliseconds(), "position", report.Position.String(), "term", report.Term,
		"answers", describeAnswers(report.Answers), "silent", report.Silent,
	}
	if errors.Is(err, rattansuccessor.ErrLogsMissing) {
		r.proxy.logger.Warn("switch_awaits", append(fields, "error", err)...)
		return
	}
	if err != nil {
		r.proxy.logger.Warn("switch_failed", append(fields, "error", err)...)
		return
	}
	r.proxy.logger.Info("switch_end", fields...)
}

// endpointControl implements rattanswitchover.EndpointControl.
type endpointControl struct {
	proxy *Proxy
}

func (c *endpointControl) upstream(endpoint rattancatalog.Endpoint) *rattanupstream.Upstream {
	upstream := rattanupstream.New(c.proxy.clock, c.proxy.platform.Dial, c.proxy.grants, endpoint, rattanadmission.Limits{}, c.proxy.metrics.count, func() {})
	upstream.SetAnswerObserver(c.proxy)
	return upstream
}

// Status implements rattanswitchover.EndpointControl.
func (c *endpointControl) Status(endpoint rattancatalog.Endpoint, timeout time.Duration) (rattansuccessor.Status, error) {
	status, err := c.upstream(endpoint).Status(timeout)
	if term := max(status.Term, status.Received.Term); err == nil && c.proxy.grants.ObserveTerm(endpoint.Group, term) {
		c.proxy.logger.Info("newer_term", "group", endpoint.Group, "endpoint", endpoint.ID, "term", term)
	}
	return rattansuccessor.Status{Endpoint: endpoint, Received: status.Received, Term: status.Term, IsPrimary: status.IsPrimary}, err
}

// StepDown implements rattanswitchover.EndpointControl.
func (c *endpointControl) StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error {
	_, err := c.upstream(endpoint).StepDown(term, timeout)
	return err
}
