package rattandispatch

import (
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// A Transaction is an open transaction of a caller. It takes a connection with
// its first statement and keeps it to its end. It is not safe for concurrent use.
type Transaction struct {
	dispatcher *Dispatcher
	route      rattancatalog.Route
	isReadOnly bool
	held       rattanupstream.Transaction
	endpoint   string
	hasWritten bool
}

// Begin returns a transaction on a route. Nothing is sent before its first statement.
func (d *Dispatcher) Begin(route rattancatalog.Route, isReadOnly bool) *Transaction {
	return &Transaction{dispatcher: d, route: route, isReadOnly: isReadOnly}
}

// Route returns the route as it was when the transaction began.
func (t *Transaction) Route() rattancatalog.Route { return t.route }

// Run runs a statement of the transaction. Any failure fails the transaction and
// nothing of it is kept.
func (t *Transaction) Run(request Request, work rattanstatemachine.Operation) Outcome {
	request.Route = t.route
	if t.held == nil {
		return t.first(request, work)
	}
	return t.next(request, work)
}

// first chooses the endpoint and runs the first statement together with the
// begin of the transaction.
func (t *Transaction) first(request Request, work rattanstatemachine.Operation) Outcome {
	if t.isReadOnly && t.route.Consistency != rattancatalog.Primary {
		return t.firstAtReplica(request, work)
	}
	return t.dispatcher.atPrimary(request, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		return t.beginAt(upstream, request, work, rattanmodel.Position{}, false)
	})
}

func (t *Transaction) firstAtReplica(request Request, work rattanstatemachine.Operation) Outcome {
	d := t.dispatcher
	tried := attempts{dispatcher: d}
	for {
		floor, ok := d.floor(request)
		candidates := d.candidates(t.route.Group, floor)
		if !ok {
			upstream, err := d.primary(request)
			if err != nil {
				return refused(rattanstatement.Busy, noPrimaryNow, err)
			}
			floor, candidates = rattanmodel.Position{}, []*rattanupstream.Upstream{upstream}
		}
		if tried.try(candidates, floor, func(upstream *rattanupstream.Upstream) (Outcome, bool) {
			return t.beginAt(upstream, request, work, floor, ok)
		}) {
			return tried.last
		}
		if d.clock.Now().Add(retryPause).After(request.hopeless()) {
			return d.giveUp(tried.last)
		}
		<-d.clock.After(retryPause)
	}
}

// beginAt begins the transaction at one endpoint and runs its first statement.
// The outcome is final unless another attempt may succeed.
func (t *Transaction) beginAt(upstream *rattanupstream.Upstream, request Request, work rattanstatemachine.Operation, floor rattanmodel.Position, hasFloor bool) (Outcome, bool) {
	d := t.dispatcher
	id := upstream.Endpoint().ID
	asked := d.grants.Now()
	if primary, ok := d.grants.Primary(t.route.Group); !hasFloor && (!ok || primary != id) {
		return Outcome{Endpoint: id, Cause: errNoPrimary}, false
	}
	held, result, err := d.owners.Begin(upstream, rattanupstream.Begin{
		First: request.task(work, floor), IsReadOnly: t.isReadOnly, AtPrimary: !hasFloor,
	})
	if err != nil {
		return Outcome{Endpoint: id, Cause: err}, false
	}
	d.observe(t.route.Group, id, result, asked)
	if held == nil {
		return Outcome{Result: result, Endpoint: id}, result.Code == rattanstatement.Malformed
	}
	t.held, t.endpoint = held, id
	t.hasWritten = work.IsWrite
	return Outcome{Result: result, Endpoint: id}, true
}

func (t *Transaction) next(request Request, work rattanstatemachine.Operation) Outcome {
	d := t.dispatcher
	asked := d.grants.Now()
	result, err := t.held.Run(request.task(work, rattanmodel.Position{}), d.silence(request))
	if err != nil {
		t.Abort()
		return t.failed(rattanstatement.Aborted, "the endpoint did not answer; the transaction is rolled back", err)
	}
	d.observe(t.route.Group, t.endpoint, result, asked)
	if !result.OK() {
		t.Abort()
	}
	t.hasWritten = t.hasWritten || work.IsWrite
	return Outcome{Result: result, Endpoint: t.endpoint}
}

func (t *Transaction) failed(code rattanstatement.Code, detail string, cause error) Outcome {
	return Outcome{Result: rattanstatement.Refuse(code, detail), Endpoint: t.endpoint, Cause: cause}
}

// Commit commits the transaction. A commit that was sent and has no answer is in
// doubt if the transaction has written.
func (t *Transaction) Commit(request Request, work rattanstatemachine.Operation) Outcome {
	request.Route = t.route
	if t.held == nil {
		return t.commitEmpty(request, work)
	}
	d := t.dispatcher
	asked := d.grants.Now()
	result, err := t.held.Commit(request.task(work, rattanmodel.Position{}))
	t.held = nil
	switch {
	case errors.Is(err, rattanupstream.ErrNoGrant):
		return t.failed(rattanstatement.Aborted, "the primary changes; the transaction is rolled back", err)
	case err != nil && !t.hasWritten:
		return t.failed(rattanstatement.Aborted, "the endpoint did not answer; nothing was written", err)
	case err != nil:
		return t.failed(rattanstatement.InDoubt, "the answer of the endpoint is missing; the commit may have run", err)
	}
	d.observe(t.route.Group, t.endpoint, result, asked)
	return Outcome{Result: result, Endpoint: t.endpoint}
}

// commitEmpty runs a transaction without statements at an endpoint, since only
// the endpoint's answer proves a commit.
func (t *Transaction) commitEmpty(request Request, work rattanstatemachine.Operation) Outcome {
	outcome := t.first(request, work)
	t.Abort()
	return outcome
}

// Rollback rolls the transaction back.
func (t *Transaction) Rollback() {
	if t.held != nil {
		t.held.Rollback()
		t.held = nil
	}
}

// Abort closes the connection, which rolls the transaction back.
func (t *Transaction) Abort() {
	if t.held != nil {
		t.held.Abort()
		t.held = nil
	}
}
