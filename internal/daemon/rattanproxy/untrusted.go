package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var _ rattanupstream.AnswerObserver = (*Proxy)(nil)

// countLineBreaks counts callers' messages that hold a line break within.
const countLineBreaks = "messages_line_break"

// countCutMessages counts callers' messages whose rest did not arrive in time.
const countCutMessages = "messages_cut"

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

// countPeerUntrusted begins the names of the counters of other daemons' responses that do not
// fit the request, which end with the reason.
const countPeerUntrusted = "peer_answers_untrusted_"

// reasonMismatched says that a frame is the response to another request or kind of request.
const reasonMismatched = "mismatched"

// observeMismatch counts and logs a frame that is not the response to the request.
func (p *Proxy) observeMismatch(address string, request rattanlink.Kind) {
	p.metrics.count(countPeerUntrusted + reasonMismatched)
	p.logger.Warn("peer_answer_untrusted", "peer", address, "reason", reasonMismatched, "request", request.String())
}

// observeUntrustedResponse counts and logs the response to a forwarded statement that does
// not fit it.
func (p *Proxy) observeUntrustedResponse(keeper string, request *rattanv1.WorkRequest, reason workMismatch) {
	p.metrics.count(countPeerUntrusted + string(reason))
	p.logger.Warn("peer_answer_untrusted", "keeper", keeper, "id", request.GetStatementId(), "transaction", request.GetTransaction(),
		"request", request.GetKind().String(), "reason", string(reason))
}

// countPeerRequests counts the requests of other daemons that are not whole.
const countPeerRequests = "peer_requests_untrusted"

// observeUntrustedRequest counts and logs a request of another daemon that is not whole.
func (p *Proxy) observeUntrustedRequest(request *rattanv1.WorkRequest) {
	p.metrics.count(countPeerRequests)
	p.logger.Warn("peer_request_untrusted", "id", request.GetStatementId(), "transaction", request.GetTransaction(),
		"request", request.GetKind().String())
}

// countUnsendable counts the statements that no message between daemons can hold.
const countUnsendable = "statements_unsendable"

// observeUnsendable counts and logs a statement that cannot be forwarded.
func (p *Proxy) observeUnsendable(keeper string, request *rattanv1.WorkRequest, err error) {
	p.metrics.count(countUnsendable)
	p.logger.Info("statement_unsendable", "keeper", keeper, "id", request.GetStatementId(), "error", err)
}
