package rattandispatch

import (
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// write runs a single write at the primary, at most once.
func (d *Dispatcher) write(request Request, work rattanstatemachine.Operation) Outcome {
	return d.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return d.writeAt(upstream, request, work)
	})
}

// writeAt tries a write at the primary. The outcome is final unless the write
// has certainly not run and may be tried again.
func (d *Dispatcher) writeAt(upstream *rattanupstream.Upstream, request Request, work rattanstatemachine.Operation) (Outcome, bool) {
	id := upstream.Endpoint().ID
	asked := d.grants.Now()
	result, err := d.owners.Write(upstream, request.task(work, rattanmodel.Position{}))
	switch {
	case errors.Is(err, rattanupstream.ErrTimeout):
		doubt := rattanstatement.Refuse(rattanstatement.InDoubt, "the answer of the endpoint is missing; the write may have run")
		return Outcome{Result: doubt, Endpoint: id, Cause: err}, true
	case err != nil:
		return Outcome{Endpoint: id, Cause: err}, false
	}
	d.observe(request.Route.Group, id, result, asked)
	return Outcome{Result: result, Endpoint: id}, !result.Code.NotRun()
}
