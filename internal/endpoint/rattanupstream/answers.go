package rattanupstream

import (
	"github.com/pkg/errors"

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
	// distrust is why the connection serves no further request, empty while it may.
	distrust rattananswer.Reason
}

// An UncertainError says that an answer may belong to an earlier request.
type UncertainError struct {
	Reason rattananswer.Reason
	// Result is the answer.
	Result rattanstatement.Result
}

// Error implements the error interface.
func (e *UncertainError) Error() string {
	return "the answer of the endpoint may belong to an earlier request: " + string(e.Reason)
}

// errInvalidAnswer says that an answer is not whole or does not fit the request.
var errInvalidAnswer = errors.New("the answer of the endpoint does not fit the request")

// errSetupRefused says that the endpoint refused a request that prepares the connection.
var errSetupRefused = errors.New("the endpoint refused the connection setup")

// errSurplus says that the endpoint has sent more than the answers.
var errSurplus = errors.New("the endpoint has sent more than one answer to a request")

// errTentative says that the answer to a begin may be that to an earlier one.
var errTentative = errors.New("the transaction may not have begun")

// isUnsent reports whether the statement that failed with an error was not sent.
func isUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// asUncertain returns the uncertain answer to a statement that was sent.
func asUncertain(err error) (*UncertainError, bool) {
	var uncertain *UncertainError
	ok := !isUnsent(err) && errors.As(err, &uncertain)
	return uncertain, ok
}

// isWithoutAnswer reports whether a request failed for want of an answer, and not because of
// what the endpoint answered or because it was refused before it was sent.
func isWithoutAnswer(err error) bool {
	return !isAnswered(err) && !rattanstatement.IsInvalidField(err)
}

func isAnswered(err error) bool {
	var uncertain *UncertainError
	return errors.As(err, &uncertain) || errors.Is(err, errInvalidAnswer) || errors.Is(err, rattanstatement.ErrMalformedAnswer) || errors.Is(err, errSetupRefused) ||
		errors.Is(err, errSurplus) || errors.Is(err, errTentative)
}

// receive reads the answer to a request. It passes over repeats of earlier answers, since
// the request's own one comes after them. After an *UncertainError it is unknown whether the
// request has been answered, after any other error the answer is missing.
func (c *checkedConn) receive(request rattanstatement.Request) (rattanstatement.Result, error) {
	for {
		result, err := c.Receive()
		if errors.Is(err, rattanstatement.ErrMalformedAnswer) {
			c.distrustFor(request, result, rattananswer.ReasonMalformed)
		}
		if err != nil {
			return rattanstatement.Result{}, err
		}
		judgement := c.answers.Judge(request, result)
		if judgement.Verdict == rattananswer.Own {
			return result, nil
		}
		c.distrustFor(request, result, judgement.Reason)
		switch judgement.Verdict {
		case rattananswer.Repeated:
		case rattananswer.Uncertain:
			return rattanstatement.Result{}, &UncertainError{Reason: judgement.Reason, Result: result}
		default:
			return rattanstatement.Result{}, errors.Wrap(errInvalidAnswer, string(judgement.Reason))
		}
	}
}

// hasSurplus reports whether data has arrived while no request waits for an answer. The
// connection serves no further request then.
func (c *checkedConn) hasSurplus() bool {
	if !c.HasSurplus() {
		return false
	}
	c.distrustFor(rattanstatement.Request{}, rattanstatement.Result{}, rattananswer.ReasonSurplus)
	return true
}

// distrustFor makes the connection serve no further request, and tells of the answer.
func (c *checkedConn) distrustFor(request rattanstatement.Request, result rattanstatement.Result, reason rattananswer.Reason) {
	c.distrust = reason
	if observer := c.upstream.untrusted; observer != nil {
		observer.ObserveUntrusted(UntrustedAnswer{Endpoint: c.upstream.Endpoint().ID, Request: request, Result: result, Reason: reason})
	}
}
