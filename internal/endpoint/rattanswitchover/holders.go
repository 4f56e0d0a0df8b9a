package rattanswitchover

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

// present returns the endpoints that are known to run: they have an entry in the store or
// have answered.
func (r Request) present(view rattansuccessor.View) []rattancatalog.Endpoint {
	var present []rattancatalog.Endpoint
	silent := view.Silent()
	for _, endpoint := range r.endpoints() {
		if contains(r.Endpoints, endpoint.ID) || !slices.Contains(silent, endpoint.ID) {
			present = append(present, endpoint)
		}
	}
	return present
}

// recordAwaited records that a switchover waits for the endpoints that do not answer, so
// that daemons refuse at once what only a primary can run.
func (c *Coordinator) recordAwaited(ctx context.Context, request Request, record rattangrant.PrimaryRecord, revision rattankv.Revision, view rattansuccessor.View) error {
	record.Awaited = view.Silent()
	record.Version = rattankv.NextNumber(record.Version, request.Era)
	if _, err := c.write(ctx, request.Key, record, revision); err != nil {
		return errors.Wrap(err, "record the awaited endpoints")
	}
	return rattansuccessor.ErrLogsMissing
}

// IsAwaiting reports whether the endpoints that a switchover waits for are still needed, by
// what the endpoints of the request say of themselves now.
func (c *Coordinator) IsAwaiting(request Request) bool {
	_, err := c.View(request).Candidates()
	return errors.Is(err, rattansuccessor.ErrLogsMissing)
}

// confirmedReplicas returns how many replicas are known to hold each acknowledged commit.
// Records without holders are older than the setting's own record.
func (r Request) confirmedReplicas() int {
	if len(r.Record.Holders) == 0 {
		return r.SyncReplicas
	}
	return min(r.SyncReplicas, r.Record.SyncReplicas)
}

func (r Request) unconfirmedReplicas() int { return r.SyncReplicas - r.confirmedReplicas() }

// HasNewHolders reports whether the group's record lacks what has to be known of the holders.
// Without synchronous replicas, and until a term may have left out a log, that is only what
// has changed of the recorded ones: each switchover records new holders as it begins.
func (r Request) HasNewHolders() bool {
	if r.SyncReplicas == 0 && r.Record.SyncReplicas == 0 && len(r.Record.TermHistory) == 0 {
		return slices.ContainsFunc(r.Record.Holders, func(h rattanholder.Holder) bool { return !slices.Contains(r.Holders, h) })
	}
	return !r.Holders.IsEqual(r.Record.Holders) || r.confirmedReplicas() != r.Record.SyncReplicas
}

// IsUnconfirmed reports whether the primary has to be asked which endpoints hold all
// acknowledged commits: a replica has lost its log, one has left, or the number of replicas
// that hold each commit was raised.
func (r Request) IsUnconfirmed() bool {
	return r.unconfirmedReplicas() > 0 || len(r.left()) > 0 || slices.ContainsFunc(r.Holders, func(h rattanholder.Holder) bool {
		return h.HasLostLog && h.ID != r.Record.Primary && contains(r.Endpoints, h.ID)
	})
}

// left returns the endpoints that have left after they had announced it.
func (r Request) left() []string {
	known := append(slices.Clone(r.Endpoints), r.Unlisted...)
	var ids []string
	for _, holder := range r.Holders {
		if holder.IsDraining && !contains(known, holder.ID) {
			ids = append(ids, holder.ID)
		}
	}
	return ids
}

// Confirm asks the primary for its position and then the other endpoints for theirs. Those
// that hold all of it have no lost log any more. When they are as many as hold each commit,
// endpoints that have left hold nothing that the others lack, and the request returned counts
// on that number. It reports whether the request has changed.
func (c *Coordinator) Confirm(request Request) (Request, bool) {
	confirmed := c.confirm(request)
	return confirmed, !confirmed.Holders.IsEqual(request.Holders) || confirmed.Record.SyncReplicas != request.Record.SyncReplicas
}

func (c *Coordinator) confirm(request Request) Request {
	at := slices.IndexFunc(request.Endpoints, func(e rattancatalog.Endpoint) bool { return e.ID == request.Record.Primary })
	if at < 0 {
		return request
	}
	primary, err := c.control.Status(request.Endpoints[at], statusTimeout)
	if err != nil || !primary.IsPrimary || primary.Term != request.Record.Term || request.Holders.HasLostLog(primary.Endpoint.ID) {
		return request
	}
	var caughtUp, answering []string
	for _, status := range c.View(request).Statuses() {
		answering = append(answering, status.Endpoint.ID)
		if status.Endpoint.ID != request.Record.Primary && status.Received.Compare(primary.Received) >= 0 {
			caughtUp = append(caughtUp, status.Endpoint.ID)
		}
	}
	request.Holders = request.Holders.WithLogs(caughtUp)
	if len(caughtUp) >= request.SyncReplicas {
		gone := slices.DeleteFunc(request.left(), func(id string) bool { return slices.Contains(answering, id) })
		request.Holders = request.Holders.Without(gone)
		request.Record.SyncReplicas = request.SyncReplicas
	}
	return request
}

// MaxRecords is the largest number of groups whose holders one write records. The store takes
// 32 expectations and writes at once.
const MaxRecords = 16

// RecordHolders writes the records of groups with the holders of the requests, all or none.
func (c *Coordinator) RecordHolders(ctx context.Context, requests ...Request) error {
	var txn rattankv.Txn
	for _, request := range requests {
		record := request.Record
		record.Holders, record.SyncReplicas = request.Holders, request.confirmedReplicas()
		record.Version = rattankv.NextNumber(record.Version, request.Era)
		if err := c.addRecord(&txn, request.Key, record, request.Revision); err != nil {
			return err
		}
	}
	_, err := c.commit(ctx, txn)
	return err
}
