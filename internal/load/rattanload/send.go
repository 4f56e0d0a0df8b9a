package rattanload

import (
	"context"
	"fmt"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// send sends one request in a session and records the result.
func (g *generator) send(a arrival) {
	session, isNew := g.sessions[a.account].take(a.session)
	if isNew || a.roam < g.config.Roam || !g.balancer.serves(session.daemon) {
		session.daemon = g.balancer.choose(a.daemon)
	}
	message, value := g.message(a, session)
	line := traceLine{
		Account: g.config.Accounts[a.account].Name, Session: session.id, Kind: a.kind,
		Service: g.config.Services[a.service], URL: g.config.URLs[session.daemon],
		RequestID: message.GetRequestId(), Row: rowName(session, a.service), Value: value,
		ArrivalUs: a.at.Microseconds(), SentUs: g.elapsed().Microseconds(), WithinRate: a.withinRate,
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout)
	defer cancel()
	response, err := g.clients[session.daemon].Execute(ctx, g.request(a.account, session.token, message))
	s := a.sample()
	s.end = g.elapsed()
	line.EndUs = s.end.Microseconds()
	reuseSession := true
	if err != nil {
		failure := newOutcome(err)
		s.reason = failure.reason
		line.Reason, line.RunState, line.RetryAfterMs, line.Message = failure.reason, failure.runState.String(), failure.retryAfterMs, failure.message
		// After a write whose outcome is unknown, the value that the session must read is
		// unknown too, so the session is not used again.
		reuseSession = a.kind != kindWrite || failure.runState == rattanerr.NotRun
	} else {
		s.served, s.fromReplica = true, response.Msg.GetFromReplica()
		line.Served, line.RunState = true, rattanerr.Ran.String()
		line.Endpoint, line.FromReplica, line.AgeMs = response.Msg.GetEndpoint(), s.fromReplica, response.Msg.GetAgeMs()
		if token := response.Header().Get(sessionHeader); token != "" {
			session.token = token
		}
		if a.kind == kindWrite {
			session.values[a.service] = value
		} else {
			read := readValue(response.Msg)
			line.Read = &read
			s.wrongValue = read != session.values[a.service]
		}
	}
	g.addSample(s)
	g.tracer.write(line)
	if reuseSession {
		g.sessions[a.account].put(session)
	}
}

// rowName returns the name of the row that a session writes and reads in a service.
func rowName(s *session, service int) string { return fmt.Sprintf("%s-%d", s.id, service) }

// message returns the request of an arrival and the value that it writes, "" for a
// read. The first write of a session inserts its row and later ones update it.
func (g *generator) message(a arrival, s *session) (*rattanv1.ExecuteRequest, string) {
	message := &rattanv1.ExecuteRequest{Service: g.config.Services[a.service], ReadOnly: a.kind != kindWrite}
	name := textValue(rowName(s, a.service))
	switch {
	case a.kind == kindStaleRead:
		message.Route = g.config.StaleRoute
		fallthrough
	case a.kind == kindRead:
		message.Statement = &rattanv1.Statement{Text: "SELECT value FROM load WHERE row = ?", Arguments: []*rattanv1.Value{name}}
		return message, ""
	}
	value := s.nextValue()
	message.RequestId = value
	statement := "UPDATE load SET value = ? WHERE row = ?"
	if s.values[a.service] == "" {
		statement = "INSERT INTO load (value, row) VALUES (?, ?)"
	}
	message.Statement = &rattanv1.Statement{Text: statement, Arguments: []*rattanv1.Value{textValue(value), name}}
	return message, value
}

func textValue(s string) *rattanv1.Value {
	return &rattanv1.Value{Kind: &rattanv1.Value_Text{Text: s}}
}

// readValue returns the value that a read found, "" when the row does not exist.
func readValue(response *rattanv1.ExecuteResponse) string {
	rows := response.GetResult().GetRows()
	if len(rows) == 0 || len(rows[0].GetValues()) == 0 {
		return ""
	}
	return rows[0].GetValues()[0].GetText()
}
