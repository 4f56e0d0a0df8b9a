package rattanmatrix

import (
	"slices"
	"strings"

	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A writeKey identifies a write in the log of an endpoint.
type writeKey struct{ account, requestID string }

// endpointEvents returns the executions on endpoints and the beginnings of terms.
// Whether a write was committed is taken from the log of the last primary, so that
// a write whose response was lost counts, and one that a failover removed from the
// log does not. The primary is stopped to read its log.
func (env *environment) endpointEvents() []rattanchecker.Event {
	exchanges := env.tap.collect()
	slices.SortStableFunc(exchanges, func(a, b exchange) int { return a.begin.Compare(b.begin) })
	remaining := env.committedWrites()
	var events []rattanchecker.Event
	var unanswered []rattanchecker.Event
	var unansweredKeys []writeKey
	for _, e := range exchanges {
		if promoted, ok := e.request.(*rattanv1.PromoteRequest); ok && e.response != nil {
			events = append(events, rattanchecker.Event{
				Type: rattanchecker.Term, At: e.end.Sub(env.trace.start), Group: group, Term: promoted.GetTerm(), Endpoint: env.endpointAt(e.host),
			})
		}
		request, ok := e.request.(*rattanv1.RunStatementsRequest)
		if !ok {
			continue
		}
		event := env.execution(e, request)
		committing := !request.GetReadOnly() && (event.Step == rattanchecker.Single || event.Step == rattanchecker.Commit)
		response, answered := e.response.(*rattanv1.RunStatementsResponse)
		key := writeKey{request.GetClientAccount(), request.GetRequestId()}
		switch {
		case !answered && committing:
			unanswered, unansweredKeys = append(unanswered, event), append(unansweredKeys, key)
		case !answered:
		case !committing:
			events = append(events, event)
		case response.GetRepeated() && event.Step == rattanchecker.Commit:
			event.Step, event.ID = rattanchecker.Rollback, event.ID+"/repeated"
			events = append(events, event)
		case response.GetRepeated():
		default:
			if remaining[key] == 0 {
				event.ID += "/cut_off"
			} else {
				remaining[key]--
			}
			events = append(events, event)
		}
	}
	for i, key := range unansweredKeys {
		if remaining[key] > 0 {
			remaining[key]--
			events = append(events, unanswered[i])
		}
	}
	return events
}

// committedWrites stops the last primary and counts the writes in its log.
func (env *environment) committedWrites() map[writeKey]int {
	committed := make(map[writeKey]int)
	primary := env.primary()
	if primary == "" {
		return committed
	}
	for _, entry := range env.cluster.Endpoint(primary).Stop().Log {
		if !entry.GetCancelled() {
			committed[writeKey{entry.GetClientAccount(), entry.GetRequestId()}]++
		}
	}
	return committed
}

// execution returns the event of a call that an endpoint ran, with the time at which
// the call arrived there.
func (env *environment) execution(e exchange, request *rattanv1.RunStatementsRequest) rattanchecker.Event {
	name := env.endpointAt(e.host)
	steps := map[rattanv1.TransactionStep]string{
		rattanv1.TransactionStep_TRANSACTION_STEP_UNSPECIFIED: rattanchecker.Single,
		rattanv1.TransactionStep_TRANSACTION_STEP_BEGIN:       rattanchecker.Begin,
		rattanv1.TransactionStep_TRANSACTION_STEP_CONTINUE:    rattanchecker.Continue,
		rattanv1.TransactionStep_TRANSACTION_STEP_COMMIT:      rattanchecker.Commit,
		rattanv1.TransactionStep_TRANSACTION_STEP_ROLLBACK:    rattanchecker.Rollback,
	}
	return rattanchecker.Event{
		Type: rattanchecker.Execution, At: e.begin.Sub(env.trace.start), ID: callerID(request), Endpoint: name,
		FailureDomain: env.cluster.Endpoint(name).Status().GetFailureDomain(), ClientAccount: request.GetClientAccount(),
		Connection: name + "/" + request.GetConnection(), Transaction: request.GetTransaction(), Step: steps[request.GetStep()],
		KeySeen: env.hasKey(e.received),
	}
}

// callerID returns the identifier of the caller's request, which reads do not have.
// For an insert it is taken from the row, so that an insert that ran under another
// request identifier is found too.
func callerID(request *rattanv1.RunStatementsRequest) string {
	for _, statement := range request.GetStatements() {
		if strings.HasPrefix(statement.GetText(), "INSERT INTO items") && len(statement.GetArguments()) > 0 {
			return statement.GetArguments()[0].GetText()
		}
	}
	return request.GetRequestId()
}

// hasKey reports whether the data contains the end of a caller's key.
func (env *environment) hasKey(received []byte) bool {
	const endLength = 16
	for _, account := range env.cluster.Scenario().Accounts {
		key := env.cluster.Key(account.Name)
		if strings.Contains(string(received), key[len(key)-endLength:]) {
			return true
		}
	}
	return false
}

// endpointAt returns the full name of the endpoint on a host.
func (env *environment) endpointAt(host string) string {
	for name := range env.cluster.Endpoints() {
		if env.cluster.EndpointHost(name) == host {
			return name
		}
	}
	return host
}

// writeTerms returns the highest term in which an endpoint confirmed each write to a
// daemon, by client account and request.
func (env *environment) writeTerms() map[string]uint64 {
	terms := make(map[string]uint64)
	for _, e := range env.tap.collect() {
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
