package rattandispatch

import (
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A Transaction is an open transaction of a caller. It takes a connection for its
// first statement and holds it until it ends. It is not safe for concurrent use.
type Transaction struct {
	dispatcher *Dispatcher
	route      rattancatalog.Route
	isReadOnly bool
	// open is the transaction at the endpoint; nil before the first statement and
	// after the end.
	open       rattanupstream.Transaction
	endpoint   string
	hasWritten bool
}

// Begin returns a transaction on a route. Nothing is sent before its first statement.
func (d *Dispatcher) Begin(route rattancatalog.Route, isReadOnly bool) *Transaction {
	return &Transaction{dispatcher: d, route: route, isReadOnly: isReadOnly}
}

// Route returns the route as it was when the transaction began.
func (t *Transaction) Route() rattancatalog.Route { return t.route }

// IsOpen reports whether the transaction has begun at an endpoint.
func (t *Transaction) IsOpen() bool { return t.open != nil }

// Run runs a statement of the transaction. Any failure rolls the whole transaction
// back.
func (t *Transaction) Run(request Request, operation rattanstatemachine.Operation) Outcome {
	request.Route = t.route
	if t.open == nil {
		return t.first(request, operation)
	}
	return t.next(request, operation)
}

// first chooses the endpoint, begins the transaction there and runs its first
// statement.
func (t *Transaction) first(request Request, operation rattanstatemachine.Operation) Outcome {
	if t.isReadOnly && t.route.Consistency != rattancatalog.Primary {
		return t.firstAtReplica(request, operation)
	}
	return t.dispatcher.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return t.beginAt(upstream, request, operation, rattanmodel.Position{}, false)
	})
}

func (t *Transaction) firstAtReplica(request Request, operation rattanstatemachine.Operation) Outcome {
	return t.dispatcher.placed(request, func(upstream *rattanupstream.Upstream, minPosition rattanmodel.Position) (Outcome, bool) {
		return t.beginAt(upstream, request, operation, minPosition, minPosition != rattanmodel.Position{})
	})
}

// beginAt begins the transaction at one endpoint and runs its first statement.
// Without a minimum position the endpoint must be the primary, under a grant. The
// outcome is final unless another attempt may succeed.
func (t *Transaction) beginAt(upstream *rattanupstream.Upstream, request Request, operation rattanstatemachine.Operation, minPosition rattanmodel.Position, hasMinPosition bool) (Outcome, bool) {
	d := t.dispatcher
	id := upstream.Endpoint().ID
	startedAt := d.grants.Now()
	if primary, ok := d.grants.Primary(t.route.Group); !hasMinPosition && (!ok || primary != id) {
		return Outcome{Endpoint: id, Cause: errNoPrimary}, false
	}
	first := request.statementRequest(operation, minPosition, d.clock.Now())
	first.Kind.Operation = rattanwork.Transaction
	open, result, err := d.owners.Begin(upstream, rattanupstream.Begin{First: first, IsReadOnly: t.isReadOnly, AtPrimary: !hasMinPosition})
	if err != nil {
		return Outcome{Endpoint: id, Cause: err}, false
	}
	d.observe(t.route.Group, id, result, startedAt)
	if open == nil {
		return Outcome{Result: result, Endpoint: id}, result.Code == rattanstatement.Malformed
	}
	t.open, t.endpoint = open, id
	t.hasWritten = operation.IsWrite
	return Outcome{Result: result, Endpoint: id}, true
}

func (t *Transaction) next(request Request, operation rattanstatemachine.Operation) Outcome {
	d := t.dispatcher
	startedAt := d.grants.Now()
	result, err := t.open.Run(request.statementRequest(operation, rattanmodel.Position{}, d.clock.Now()), d.answerDeadline(request))
	if err != nil {
		t.Abort()
		return t.failed(rattanstatement.Aborted, "the endpoint did not answer; the transaction is rolled back", err)
	}
	d.observe(t.route.Group, t.endpoint, result, startedAt)
	if !result.OK() {
		t.Abort()
	}
	t.hasWritten = t.hasWritten || operation.IsWrite
	return Outcome{Result: result, Endpoint: t.endpoint}
}

func (t *Transaction) failed(code rattanstatement.Code, detail string, cause error) Outcome {
	return Outcome{Result: rattanstatement.Refuse(code, detail), Endpoint: t.endpoint, Cause: cause}
}

// Commit commits the transaction. A commit that was sent and not answered is in
// doubt if the transaction has written.
func (t *Transaction) Commit(request Request, operation rattanstatemachine.Operation) Outcome {
	request.Route = t.route
	if t.open == nil {
		return t.commitEmpty(request, operation)
	}
	d := t.dispatcher
	startedAt := d.grants.Now()
	result, err := t.open.Commit(request.statementRequest(operation, rattanmodel.Position{}, d.clock.Now()))
	t.open = nil
	switch {
	case errors.Is(err, rattanupstream.ErrNoGrant):
		return t.failed(rattanstatement.Aborted, "the primary is changing; the transaction is rolled back", err)
	case errors.Is(err, rattanupstream.ErrOverloaded):
		return t.failed(rattanstatement.Aborted, "the commit was not sent; the transaction is rolled back", err)
	case err != nil && !t.hasWritten:
		return t.failed(rattanstatement.Aborted, "the endpoint did not answer; nothing was written", err)
	case err != nil:
		return t.failed(rattanstatement.InDoubt, "the answer of the endpoint is missing; the commit may have run", err)
	}
	d.observe(t.route.Group, t.endpoint, result, startedAt)
	return Outcome{Result: result, Endpoint: t.endpoint}
}

// commitEmpty runs the commit of a transaction without statements as its first
// statement at an endpoint, since only an answer of an endpoint proves a commit.
func (t *Transaction) commitEmpty(request Request, operation rattanstatemachine.Operation) Outcome {
	outcome := t.first(request, operation)
	t.Abort()
	return outcome
}

// Rollback rolls the transaction back.
func (t *Transaction) Rollback() {
	if t.open != nil {
		t.open.Rollback()
		t.open = nil
	}
}

// Abort closes the connection, which rolls the transaction back.
func (t *Transaction) Abort() {
	if t.open != nil {
		t.open.Abort()
		t.open = nil
	}
}
