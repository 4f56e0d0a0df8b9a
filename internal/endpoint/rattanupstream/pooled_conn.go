package rattanupstream

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A Conn is a connection to an endpoint, over the endpoint's protocol.
type Conn interface {
	// Open starts a session of a client account at the endpoint with that group and
	// id. It is refused when another endpoint answers. After a
	// *rattanstatement.InvalidFieldError, here and of Send, nothing has been sent.
	Open(group, account, id string) (rattanstatement.Result, error)
	// Send sends requests in one write. Their results are received in the same
	// order.
	Send(requests ...rattanstatement.Request) error
	Receive() (rattanstatement.Result, error)
	// ParseStatus returns the status in the result of a Status or StepDown request.
	ParseStatus(result rattanstatement.Result) (rattanstatement.EndpointStatus, error)
	// IsStale reports whether the endpoint has closed the idle connection.
	IsStale() bool
	// HasSurplus reports whether data of the endpoint has arrived that is not the result of
	// a request.
	HasSurplus() bool
	SetDeadline(t time.Time) error
	Close() error
	// Abort closes the connection at once. Data still in transit is lost.
	Abort() error
}

// A PreparedStatement is a statement that a caller has prepared.
type PreparedStatement struct {
	Access rattanstatement.Access
	Text   string
}

// A PooledConn is an open connection to an endpoint, with the session variables and
// prepared statements that exist on it. It serves one request at a time.
type PooledConn struct {
	upstream    *Upstream
	conn        checkedConn
	account     string
	sessionVars map[string]string
	// prepared has the name of each prepared statement on the connection.
	prepared map[PreparedStatement]string
	// acquiredAt is when the current request got its slot. kind and priority are that
	// request's.
	acquiredAt time.Time
	kind       rattanwork.Kind
	priority   int
	// isRunCounted is true while a transaction is open that has been counted.
	isRunCounted bool
}

// newPooledConn returns a connection whose session was opened with an answer.
func newPooledConn(u *Upstream, conn Conn, opened rattanstatement.Result, account string) *PooledConn {
	return &PooledConn{upstream: u, conn: checkedConn{Conn: conn, upstream: u, answers: rattananswer.New(opened)}, account: account}
}

// begin records the request for which the connection is used from now on.
func (c *PooledConn) begin(request AcquireRequest, assignedAt time.Time) {
	c.acquiredAt, c.kind, c.priority = assignedAt, request.Kind, request.Priority
}

// isUsable reports whether the idle connection may serve a request. Only a read may follow
// an error: a repeat of the error would tell that a write has not run.
func (c *PooledConn) isUsable(request AcquireRequest) bool {
	if c.conn.IsStale() {
		// It is closed by the caller, whether it has ended or holds more than the answers.
		_ = c.conn.hasSurplus()
		return false
	}
	return request.Kind.Operation == rattanwork.Read || !c.conn.answers.HasErrors()
}

// Interrupt ends a request that is in flight by closing the connection; the outcome
// of the request is then unknown. It may be called while another goroutine runs the
// request.
func (c *PooledConn) Interrupt() { _ = c.conn.Abort() }

// Run sends setup and one request and returns the result of the request. A request of a
// caller is sent only after the setup has succeeded, so that it never runs without; one of
// the daemon itself is sent together with it. After an *UnsentError the request has not run,
// after any other error that is unknown.
func (c *PooledConn) Run(setup []rattanstatement.Request, request rattanstatement.Request, deadline time.Time) (rattanstatement.Result, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return rattanstatement.Result{}, &UnsentError{Cause: err}
	}
	late := time.AfterFunc(lateAnswerDelay, c.upstream.ObserveTimeout)
	defer late.Stop()
	if request.ID == "" {
		return c.runOwn(setup, request)
	}
	if len(setup) > 0 {
		if err := c.prepareFor(setup); err != nil {
			return rattanstatement.Result{}, &UnsentError{Cause: err}
		}
	}
	sentAt := c.upstream.clock.Now()
	if err := c.send(request); err != nil {
		return rattanstatement.Result{}, err
	}
	result, err := c.conn.receive(request)
	if uncertain, ok := asUncertain(err); ok {
		c.countRun(request, sentAt, uncertain.Result, true)
		return rattanstatement.Result{}, err
	}
	c.countRun(request, sentAt, result, err != nil)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	c.upstream.observeAnswer(result)
	return result, nil
}

// runOwn runs a request of the daemon itself together with its setup.
func (c *PooledConn) runOwn(setup []rattanstatement.Request, request rattanstatement.Request) (rattanstatement.Result, error) {
	if err := c.send(append(setup, request)...); err != nil {
		return rattanstatement.Result{}, err
	}
	if err := c.receiveSetup(setup); err != nil {
		return rattanstatement.Result{}, &UnsentError{Cause: err}
	}
	result, err := c.conn.receive(request)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	c.countRun(request, c.upstream.clock.Now(), result, false)
	c.upstream.observeAnswer(result)
	return result, nil
}

// send sends requests. The error is an *UnsentError if they were refused before that.
func (c *PooledConn) send(requests ...rattanstatement.Request) error {
	err := c.conn.Send(requests...)
	switch {
	case err == nil:
		return nil
	case rattanstatement.IsInvalidField(err):
		return &UnsentError{Cause: err}
	default:
		return &SendError{Cause: err}
	}
}

// An UnsentError says that a request has not been sent, since the connection could not be
// prepared for it or the request cannot be one message.
type UnsentError struct {
	Cause error
}

// Error implements the error interface.
func (e *UnsentError) Error() string { return "the statement was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// A SendError says that a request could not be sent completely. Part of it may have
// reached the endpoint.
type SendError struct {
	Cause error
}

// Error implements the error interface.
func (e *SendError) Error() string { return "failed to send to the endpoint: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
