package rattanproxy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

const (
	// holderRetry is the time after which the holders of a group are written again when their
	// record has not changed.
	holderRetry = time.Second
	// holderDelay is how long a change of the holders may wait for others where no endpoint
	// has acknowledged commits for another one.
	holderDelay = 2 * time.Second
	// confirmationDelay is how long after a change of the number of synchronous replicas the
	// endpoints are asked who holds all acknowledged commits.
	confirmationDelay = 5 * time.Second
)

// A confirmation is when the endpoints of a group may be asked next, and the number of
// synchronous replicas since when.
type confirmation struct {
	syncReplicas int
	dueAt        time.Time
}

// A holderWrite is the last write of a group's holders.
type holderWrite struct {
	startedAt time.Time
	// revision is that of the record which the write replaces.
	revision rattankv.Revision
}

// observedHolders returns the endpoints that may hold a part of a group's log, by its record
// and by what this daemon knows of its endpoints.
func observedHolders(snapshot *rattancache.Snapshot, state rattanswitchover.GroupState) rattanholder.Holders {
	return state.Record.Holders.Observe(rattanholder.Observation{
		Listed: state.Endpoints, Unlisted: state.Unlisted, Term: state.Record.Term, Abandoned: snapshot.Abandoned,
	})
}

// startRecordHolders writes the holders of groups in the background when they have changed,
// so that the next failover leader knows them after their entries have expired. Changes of
// several groups go into one write.
func (r *switchoverRunner) startRecordHolders(ctx context.Context, requests []rattanswitchover.Request) {
	var changed []rattanswitchover.Request
	isDue := false
	for _, request := range requests {
		if request.IsUnconfirmed() && r.isConfirmationDue(request) && r.tryReserve(request.Group) {
			go r.confirmHolders(ctx, request)
			continue
		}
		if !request.HasNewHolders() {
			delete(r.changedSince, request.Group)
			continue
		}
		changed = append(changed, request)
		isDue = isDue || request.SyncReplicas > 0 || r.sinceHoldersChanged(request.Group) >= holderDelay
	}
	if !isDue {
		return
	}
	reserved := slices.DeleteFunc(changed, func(request rattanswitchover.Request) bool {
		return !r.isHolderWriteDue(request) || !r.tryReserve(request.Group)
	})
	if len(reserved) == 0 {
		return
	}
	go func() {
		for part := range slices.Chunk(reserved, rattanswitchover.MaxRecords) {
			r.recordHolders(ctx, part...)
		}
		for _, request := range reserved {
			r.release(request.Group)
		}
	}()
}

// sinceHoldersChanged returns for how long the holders of a group differ from its record.
func (r *switchoverRunner) sinceHoldersChanged(group string) time.Duration {
	now := r.proxy.clock.Now()
	since, ok := r.changedSince[group]
	if !ok {
		r.changedSince[group] = now
		return 0
	}
	return now.Sub(since)
}

// confirmHolders asks the endpoints of a group whose logs are not needed any more, and writes
// what has changed. The caller has reserved the group.
func (r *switchoverRunner) confirmHolders(ctx context.Context, request rattanswitchover.Request) {
	defer r.release(request.Group)
	confirmed, isChanged := r.coordinator.Confirm(request)
	if isChanged || request.HasNewHolders() {
		r.recordHolders(ctx, confirmed)
	}
}

// recordHolders writes the holders of groups. The caller has reserved the groups.
func (r *switchoverRunner) recordHolders(ctx context.Context, requests ...rattanswitchover.Request) {
	err := r.coordinator.RecordHolders(ctx, requests...)
	for _, request := range requests {
		r.proxy.logger.Info("holders_recorded", "group", request.Group, "holders", describeHolders(request.Holders),
			"sync_replicas", request.Record.SyncReplicas, "error", err)
	}
}

// isConfirmationDue reports whether the endpoints may be asked now, and notes it. They take up
// a raised number of synchronous replicas within confirmationDelay.
func (r *switchoverRunner) isConfirmationDue(request rattanswitchover.Request) bool {
	now := r.proxy.clock.Now()
	last, isKnown := r.confirmations[request.Group]
	if !isKnown || last.syncReplicas != request.SyncReplicas {
		r.confirmations[request.Group] = confirmation{syncReplicas: request.SyncReplicas, dueAt: now.Add(confirmationDelay)}
		return false
	}
	if now.Before(last.dueAt) {
		return false
	}
	last.dueAt = now.Add(holderRetry)
	r.confirmations[request.Group] = last
	return true
}

// isHolderWriteDue reports whether the holders of a request may be written now, and notes it.
func (r *switchoverRunner) isHolderWriteDue(request rattanswitchover.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, last := r.proxy.clock.Now(), r.holderWrites[request.Group]
	if last.revision == request.Revision && now.Sub(last.startedAt) < holderRetry {
		return false
	}
	r.holderWrites[request.Group] = holderWrite{startedAt: now, revision: request.Revision}
	return true
}

// tryReserve reserves a group for a write of its record, unless its switchover runs.
func (r *switchoverRunner) tryReserve(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[group] {
		return false
	}
	r.running[group] = true
	return true
}

func (r *switchoverRunner) release(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[group] = false
}

// describeHolders returns holders for the log, each as ID:TERM.
func describeHolders(holders rattanholder.Holders) []string {
	texts := make([]string, 0, len(holders))
	for _, holder := range holders {
		texts = append(texts, fmt.Sprintf("%s:%d", holder.ID, holder.Term))
	}
	return texts
}

// describeAnswers returns the answers to status queries for the log, each as
// ID=ROLE:TERM:POSITION.
func describeAnswers(statuses []rattansuccessor.Status) []string {
	texts := make([]string, 0, len(statuses))
	for _, status := range statuses {
		role := "replica"
		if status.IsPrimary {
			role = "primary"
		}
		texts = append(texts, fmt.Sprintf("%s=%s:%d:%s", status.Endpoint.ID, role, status.Term, status.Received))
	}
	return texts
}
