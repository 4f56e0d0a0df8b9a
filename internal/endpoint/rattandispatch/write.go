package rattandispatch

import (
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// write runs an autocommit write at the primary, at most once.
func (d *Dispatcher) write(request Request, operation rattanstatemachine.Operation) Outcome {
	return d.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return d.writeAt(upstream, request, operation)
	})
}

// writeAt tries a write at the primary. The outcome is final unless the write
// has certainly not run and may be tried again.
func (d *Dispatcher) writeAt(upstream *rattanupstream.Upstream, request Request, operation rattanstatemachine.Operation) (Outcome, bool) {
	id := upstream.Endpoint().ID
	startedAt := d.grants.Now()
	result, err := d.owners.Write(upstream, request.statementRequest(operation, rattanmodel.Position{}, d.clock.Now()))
	switch {
	case errors.Is(err, rattanupstream.ErrTimeout):
		inDoubt := rattanstatement.Refuse(rattanstatement.InDoubt, "the answer of the endpoint is missing; the write may have run")
		return Outcome{Result: inDoubt, Endpoint: id, Cause: err}, true
	case err != nil:
		return Outcome{Endpoint: id, Cause: err}, false
	}
	d.observe(request.Route.Group, id, result, startedAt)
	return Outcome{Result: result, Endpoint: id}, !result.Code.NotRun()
}
