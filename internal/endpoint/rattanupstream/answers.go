package rattanupstream

import (
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
)

// An UntrustedAnswer is an answer of an endpoint that is not, or may not be, the one to the
// request that was sent.
type UntrustedAnswer struct {
	Endpoint string
	// Request is what was sent, Result what came.
	Request rattanstatement.Request
	Result  rattanstatement.Result
	Reason  rattananswer.Reason
}

// An AnswerObserver is told of the untrusted answers.
type AnswerObserver interface {
	ObserveUntrusted(answer UntrustedAnswer)
}

// SetAnswerObserver sets what is told of untrusted answers. It must be called before the
// first request.
func (u *Upstream) SetAnswerObserver(observer AnswerObserver) { u.untrusted = observer }

// A checkedConn is a connection with an open session whose answers are checked.
type checkedConn struct {
	Conn
	upstream *Upstream
	answers  *rattananswer.History
}

// receive reads the answer to a request.
func (c *checkedConn) receive(request rattanstatement.Request) (rattanstatement.Result, error) {
	result, err := c.Receive()
	if err != nil {
		return result, err
	}
	if judgement := c.answers.Judge(request, result); judgement.Verdict != rattananswer.Own {
		c.upstream.reportUntrusted(request, result, judgement.Reason)
	}
	return result, nil
}

func (u *Upstream) reportUntrusted(request rattanstatement.Request, result rattanstatement.Result, reason rattananswer.Reason) {
	if u.untrusted != nil {
		u.untrusted.ObserveUntrusted(UntrustedAnswer{Endpoint: u.Endpoint().ID, Request: request, Result: result, Reason: reason})
	}
}
