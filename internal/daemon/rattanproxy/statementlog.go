package rattanproxy

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandispatch"
)

// logStatement counts a statement in the metrics, and logs it if it failed or
// exceeded the latency objective of its route.
func (p *Proxy) logStatement(s *session, route rattancatalog.Route, statement rattanstatement.Statement, outcome rattandispatch.Outcome, arrived time.Time) {
	took := p.clock.Now().Sub(arrived)
	p.metrics.countStatement(route.Consistency.String(), outcome.Code, took)
	isLate := route.LatencyObjective > 0 && took > route.LatencyObjective
	if outcome.OK() && !isLate {
		return
	}
	fields := []any{
		"id", statement.ID, "database", s.database, "account", s.account, "took_ms", took.Milliseconds(),
		"endpoint", outcome.Endpoint, "floor", outcome.MinPosition.String(), "trail", outcome.Attempts.String(),
	}
	if outcome.OK() {
		p.logger.Info("statement_late", fields...)
		return
	}
	fields = append(fields, "code", outcome.Code.String(), "detail", outcome.Detail)
	if outcome.Cause != nil {
		fields = append(fields, "cause", outcome.Cause.Error())
	}
	if outcome.Code == rattanstatement.UnknownDatabase || outcome.Code == rattanstatement.Unauthenticated {
		fields = append(fields, p.configuration.state().fields()...)
	}
	p.logger.Info("statement_failed", fields...)
}
