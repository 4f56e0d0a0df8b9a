package rattanupstream

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

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

// SetupRequests returns the requests that set a session's variables on the
// connection. If a variable of another session is set on it, the connection is reset
// first, which drops its prepared statements too.
func (c *PooledConn) SetupRequests(sessionVars map[string]string) []rattanstatement.Request {
	var setup []rattanstatement.Request
	for name := range c.sessionVars {
		if _, ok := sessionVars[name]; !ok {
			setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Reset})
			c.sessionVars, c.prepared = nil, nil
			break
		}
	}
	for name, value := range sessionVars {
		if known, ok := c.sessionVars[name]; ok && known == value {
			continue
		}
		if c.sessionVars == nil {
			c.sessionVars = make(map[string]string, len(sessionVars))
		}
		c.sessionVars[name] = value
		setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Set, Name: name, Argument: value})
	}
	return setup
}

// Prepare returns the name of a prepared statement on this connection, with the
// request that prepares it unless it is prepared already. Sessions whose statements
// have the same access and text share the name.
func (c *PooledConn) Prepare(prepared PreparedStatement) (string, []rattanstatement.Request) {
	if name, ok := c.prepared[prepared]; ok {
		return name, nil
	}
	if c.prepared == nil {
		c.prepared = make(map[PreparedStatement]string)
	}
	name := "p" + strconv.Itoa(len(c.prepared)+1)
	c.prepared[prepared] = name
	return name, []rattanstatement.Request{{
		Kind: rattanstatement.Prepare, Name: name, Access: prepared.Access, Argument: prepared.Text,
	}}
}

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

// prepareFor runs the setup of a statement.
func (c *PooledConn) prepareFor(setup []rattanstatement.Request) error {
	if err := c.conn.Send(setup...); err != nil {
		return err
	}
	if err := c.receiveSetup(setup); err != nil {
		return err
	}
	if err := c.confirmSetup(setup[len(setup)-1]); err != nil {
		return err
	}
	if c.conn.hasSurplus() {
		return errSurplus
	}
	return nil
}

// confirmSetup sends the last setup request once more if its answer may be that to an earlier
// one: the error of a refused one arrives now. A refused PREPARE shows itself.
func (c *PooledConn) confirmSetup(last rattanstatement.Request) error {
	if !c.conn.answers.IsTentative() || last.Kind == rattanstatement.Prepare {
		return nil
	}
	if err := c.conn.Send(last); err != nil {
		return err
	}
	return c.receiveSetup([]rattanstatement.Request{last})
}

func (c *PooledConn) receiveSetup(setup []rattanstatement.Request) error {
	for _, request := range setup {
		result, err := c.conn.receive(request)
		if err != nil {
			return err
		}
		if !result.OK() {
			return errors.Wrap(errSetupRefused, result.Code.String())
		}
	}
	return nil
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
