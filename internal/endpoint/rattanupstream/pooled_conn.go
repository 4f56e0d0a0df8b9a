package rattanupstream

import (
	"strconv"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A Conn is a connection to an endpoint, over the endpoint's protocol.
type Conn interface {
	// Open starts a session of a client account at the endpoint with that group and
	// id. It is refused when another endpoint answers.
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
		if c.sessionVars[name] == value {
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

// Run sends setup and one request in one write and returns the result of the
// request. After an error it is unknown whether the request ran, except after a
// *SetupError, which comes with the result of the request.
func (c *PooledConn) Run(setup []rattanstatement.Request, request rattanstatement.Request, deadline time.Time) (rattanstatement.Result, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return rattanstatement.Result{}, &SendError{Cause: err}
	}
	sentAt := c.upstream.clock.Now()
	late := time.AfterFunc(lateAnswerDelay, c.upstream.ObserveTimeout)
	defer late.Stop()
	if err := c.conn.Send(append(setup, request)...); err != nil {
		return rattanstatement.Result{}, &SendError{Cause: err}
	}
	var refused *SetupError
	for i := range setup {
		result, err := c.conn.receive(setup[i])
		if err != nil {
			c.countRun(request, sentAt, result, true)
			return rattanstatement.Result{}, err
		}
		if !result.OK() && refused == nil {
			refused = &SetupError{Kind: setup[i].Kind, Result: result}
		}
	}
	result, err := c.conn.receive(request)
	c.countRun(request, sentAt, result, err != nil)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	c.upstream.observeAnswer(result)
	if refused != nil {
		return result, refused
	}
	return result, nil
}

// A SetupError says that the endpoint refused a setup request, which was sent before
// the request of the caller.
type SetupError struct {
	Kind   rattanstatement.Kind
	Result rattanstatement.Result
}

// Error implements the error interface.
func (e *SetupError) Error() string {
	return "the endpoint refused the connection setup: " + e.Result.Code.String()
}

// A SendError says that a request could not be sent completely. Part of it may have
// reached the endpoint.
type SendError struct {
	Cause error
}

// Error implements the error interface.
func (e *SendError) Error() string { return "failed to send to the endpoint: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
