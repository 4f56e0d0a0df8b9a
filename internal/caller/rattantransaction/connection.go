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
	// Commit returns when the commit is acknowledged as the service demands.
	Commit(ctx context.Context, requestID string) (rattanmodel.Position, error)
	// Rollback discards the effects and frees the connection. It may be called
	// at any time, also after an error.
	Rollback()
	// Done is closed when the endpoint or the pool ended the transaction.
	Done() <-chan struct{}
}
