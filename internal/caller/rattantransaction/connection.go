package rattantransaction

import (
	"context"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Connection is one endpoint connection with an open transaction on it. Its
// errors are *rattanerr.Refusal.
type Connection interface {
	Execute(ctx context.Context, statement *rattanv1.Statement) (*rattanv1.Result, error)
	// Commit returns once the commit is acknowledged by as many endpoints as the
	// route requires.
	Commit(ctx context.Context, requestID string) (rattanmodel.Position, error)
	// Rollback discards the effects of the transaction and releases the
	// connection. It may be called at any time, also after an error.
	Rollback()
	// Done returns a channel that is closed when the endpoint or the connection
	// pool has ended the transaction.
	Done() <-chan struct{}
}
