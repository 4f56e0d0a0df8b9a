package rattanswitchover

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
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

// RecordHolders writes the group's record with the holders of the request.
func (c *Coordinator) RecordHolders(ctx context.Context, request Request) error {
	record := request.Record
	record.Holders = request.Holders
	record.Version = rattankv.NextNumber(record.Version, request.Era)
	_, err := c.write(ctx, request.Key, record, request.Revision)
	return err
}
