package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

var _ rattanupstream.AnswerObserver = (*Proxy)(nil)

// countLineBreaks counts callers' messages that hold a line break within.
const countLineBreaks = "messages_line_break"

// countUntrusted begins the names of the counters of untrusted answers, which end with the
// reason.
const countUntrusted = "answers_untrusted_"

// ObserveUntrusted implements rattanupstream.AnswerObserver. It logs nothing of the rows,
// which are the callers' data.
func (p *Proxy) ObserveUntrusted(answer rattanupstream.UntrustedAnswer) {
	p.metrics.count(countUntrusted + string(answer.Reason))
	p.logger.Info("answer_untrusted", "endpoint", answer.Endpoint, "id", answer.Request.ID, "reason", string(answer.Reason),
		"request", answer.Request.Kind.String(), "code", answer.Result.Code.String(), "signed", answer.Result.Signature != "",
		"rows", len(answer.Result.Rows), "partial", answer.Result.IsPartial)
}
