package rattanmatrix

import (
	"slices"
	"strings"

	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A write is a request record's name at the endpoints.
type write struct{ account, requestID string }

// endpointEvents returns what endpoints ran and which terms began. What was
// committed is taken from the log of the last primary, so that a write counts
// whose answer was lost, and one does not that a failover cut off. It ends the
// endpoints.
func (w *world) endpointEvents() []rattanchecker.Event {
	exchanges := w.tap.collect()
	slices.SortStableFunc(exchanges, func(a, b exchange) int { return a.begin.Compare(b.begin) })
	left := w.committedWrites()
	var events []rattanchecker.Event
	var unanswered []rattanchecker.Event
	var unansweredWrites []write
	for _, e := range exchanges {
		if promoted, ok := e.request.(*rattanv1.PromoteRequest); ok && e.response != nil {
			events = append(events, rattanchecker.Event{
				Type: rattanchecker.Term, At: e.end.Sub(w.trace.start), Group: group, Term: promoted.GetTerm(), Endpoint: w.endpointAt(e.host),
			})
		}
		request, ok := e.request.(*rattanv1.RunStatementsRequest)
		if !ok {
			continue
		}
		event := w.execution(e, request)
		committing := !request.GetReadOnly() && (event.Step == rattanchecker.Single || event.Step == rattanchecker.Commit)
		response, answered := e.response.(*rattanv1.RunStatementsResponse)
		name := write{request.GetClientAccount(), request.GetRequestId()}
		switch {
		case !answered && committing:
			unanswered, unansweredWrites = append(unanswered, event), append(unansweredWrites, name)
		case !answered:
		case !committing:
			events = append(events, event)
		case response.GetRepeated() && event.Step == rattanchecker.Commit:
			event.Step, event.ID = rattanchecker.Rollback, event.ID+"/repeated"
			events = append(events, event)
		case response.GetRepeated():
		default:
			if left[name] == 0 {
				event.ID += "/cut_off"
			} else {
				left[name]--
			}
			events = append(events, event)
		}
	}
	for i, name := range unansweredWrites {
		if left[name] > 0 {
			left[name]--
			events = append(events, unanswered[i])
		}
	}
	return events
}

// committedWrites counts the writes in the log of the last primary.
func (w *world) committedWrites() map[write]int {
	committed := make(map[write]int)
	primary := w.primary()
	if primary == "" {
		return committed
	}
	for _, entry := range w.cluster.Endpoint(primary).Stop().Log {
		if !entry.GetCancelled() {
			committed[write{entry.GetClientAccount(), entry.GetRequestId()}]++
		}
	}
	return committed
}

// execution returns the event of a call that an endpoint ran, at the time when
// it arrived there.
func (w *world) execution(e exchange, request *rattanv1.RunStatementsRequest) rattanchecker.Event {
	name := w.endpointAt(e.host)
	steps := map[rattanv1.TransactionStep]string{
		rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED: rattanchecker.Single,
		rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN:       rattanchecker.Begin,
		rattanv1.TransactionStep_TRANSACTION_STEP_CONTINUE:    rattanchecker.Continue,
		rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT:      rattanchecker.Commit,
		rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK:    rattanchecker.Rollback,
	}
	return rattanchecker.Event{
		Type: rattanchecker.Execution, At: e.begin.Sub(w.trace.start), ID: callerID(request), Endpoint: name,
		FailureDomain: w.cluster.Endpoint(name).Status().GetFailureDomain(), ClientAccount: request.GetClientAccount(),
		Connection: name + "/" + request.GetConnection(), Transaction: request.GetTransaction(), Step: steps[request.GetStep()],
		KeySeen: w.hasKey(e.received),
	}
}

// callerID returns the identifier of the caller's request. That of an insert is
// the row's, so that a request is also found that ran under another identifier.
// Reads carry none.
func callerID(request *rattanv1.RunStatementsRequest) string {
	for _, statement := range request.GetStatements() {
		if strings.HasPrefix(statement.GetText(), "INSERT INTO items") && len(statement.GetArguments()) > 0 {
			return statement.GetArguments()[0].GetText()
		}
	}
	return request.GetRequestId()
}

// hasKey reports whether bytes contain the end of a caller's key.
func (w *world) hasKey(received []byte) bool {
	const endLength = 16
	for _, account := range w.cluster.Scenario().Accounts {
		key := w.cluster.Key(account.Name)
		if strings.Contains(string(received), key[len(key)-endLength:]) {
			return true
		}
	}
	return false
}

// endpointAt returns the full name of the endpoint at an address.
func (w *world) endpointAt(host string) string {
	for name := range w.cluster.Endpoints() {
		if w.cluster.EndpointHost(name) == host {
			return name
		}
	}
	return host
}

// writeTerms returns the term in which each write was last confirmed to a
// daemon, by client account and request.
func (w *world) writeTerms() map[string]uint64 {
	terms := make(map[string]uint64)
	for _, e := range w.tap.collect() {
		var account, id string
		switch request := e.request.(type) {
		case *rattanv1.RunStatementsRequest:
			account, id = request.GetClientAccount(), callerID(request)
		case *rattanv1.FindOutcomeRequest:
			account, id = request.GetClientAccount(), request.GetRequestId()
		}
		if response, ok := e.response.(interface{ GetPosition() *rattanv1.Position }); ok && id != "" {
			key := account + "\x00" + id
			terms[key] = max(terms[key], response.GetPosition().GetTerm())
		}
	}
	return terms
}
