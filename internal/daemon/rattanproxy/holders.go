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
		Listed: state.Endpoints, Unlisted: state.Unlisted, Term: state.Record.Term, SyncReplicas: state.SyncReplicas,
		Abandoned: snapshot.Abandoned,
	})
}

// startRecordHolders writes the holders of a group in the background when they have changed,
// so that the next failover leader knows them after their entries have expired.
func (r *switchoverRunner) startRecordHolders(ctx context.Context, request rattanswitchover.Request) {
	if request.Holders.IsEqual(request.Record.Holders) {
		return
	}
	now, last := r.proxy.clock.Now(), r.holderWrites[request.Group]
	if last.revision == request.Revision && now.Sub(last.startedAt) < holderRetry || !r.tryReserve(request.Group) {
		return
	}
	r.holderWrites[request.Group] = holderWrite{startedAt: now, revision: request.Revision}
	go func() {
		defer r.release(request.Group)
		err := r.coordinator.RecordHolders(ctx, request)
		r.proxy.logger.Info("holders_recorded", "group", request.Group, "holders", describeHolders(request.Holders), "error", err)
	}()
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
