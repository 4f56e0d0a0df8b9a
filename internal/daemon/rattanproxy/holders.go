package rattanproxy

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

// holderRetry is the time after which the holders of a group are written again when their
// record has not changed.
const holderRetry = time.Second

// confirmationDelay is how long after a change of the number of synchronous replicas the
// endpoints are asked who holds all acknowledged commits.
const confirmationDelay = 5 * time.Second

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

// startRecordHolders writes the holders of a group in the background when they have changed,
// so that the next failover leader knows them after their entries have expired. Before that
// it asks the endpoints, where only they can tell that a log is not needed any more.
func (r *switchoverRunner) startRecordHolders(ctx context.Context, request rattanswitchover.Request) {
	isConfirmed := !request.IsUnconfirmed() || !r.isConfirmationDue(request)
	if !request.HasNewHolders() && isConfirmed || !r.tryReserve(request.Group) {
		return
	}
	go func() {
		defer r.release(request.Group)
		hasNew := request.HasNewHolders()
		if !isConfirmed {
			confirmed, isChanged := r.coordinator.Confirm(request)
			request, hasNew = confirmed, hasNew || isChanged
		}
		if hasNew {
			r.recordHolders(ctx, request)
		}
	}()
}

// recordHolders writes the holders of a group, unless a write of the same record was tried a
// short while ago. The caller has reserved the group.
func (r *switchoverRunner) recordHolders(ctx context.Context, request rattanswitchover.Request) {
	if !r.isHolderWriteDue(request) {
		return
	}
	err := r.coordinator.RecordHolders(ctx, request)
	r.proxy.logger.Info("holders_recorded", "group", request.Group, "holders", describeHolders(request.Holders),
		"sync_replicas", request.Record.SyncReplicas, "error", err)
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
