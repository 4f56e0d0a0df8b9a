package rattanupstream

import (
	"strconv"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// A Conn is a connection to an endpoint that speaks its protocol.
type Conn interface {
	// Open starts a session of a client account at the endpoint with that id.
	Open(group, account, id string) (rattanstatement.Result, error)
	// Send sends requests in one piece; results are received in their order.
	Send(requests ...rattanstatement.Request) error
	Receive() (rattanstatement.Result, error)
	ReceiveStatus() (rattanstatement.EndpointStatus, rattanstatement.Result, error)
	// IsStale reports whether the endpoint has closed the idle connection.
	IsStale() bool
	SetDeadline(t time.Time) error
	Close() error
	// Abort closes the connection so that bytes still on the way are lost.
	Abort() error
}

// A PreparedStatement is a statement that a caller has prepared.
type PreparedStatement struct {
	Access rattanstatement.Access
	Text   string
}

// A PooledConn is an open connection to an endpoint with what has been set on it.
// It serves one request at a time.
type PooledConn struct {
	upstream *Upstream
	conn     Conn
	account  string
	values   map[string]string
	prepared map[PreparedStatement]string
	taken    time.Time
}

// Interrupt ends a request that is under way; its outcome is then unknown. It
// may be called while another goroutine runs the request.
func (c *PooledConn) Interrupt() { _ = c.conn.Abort() }

// SetupRequests returns the requests that give the connection the session's values: the
// values of another session are dropped first.
func (c *PooledConn) SetupRequests(values map[string]string) []rattanstatement.Request {
	var setup []rattanstatement.Request
	for name := range c.values {
		if _, ok := values[name]; !ok {
			setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Reset})
			c.values, c.prepared = nil, nil
			break
		}
	}
	for name, value := range values {
		if c.values[name] == value {
			continue
		}
		if c.values == nil {
			c.values = make(map[string]string, len(values))
		}
		c.values[name] = value
		setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Set, Name: name, Argument: value})
	}
	return setup
}

// Prepare returns the name of a prepared statement on this connection, with the
// request that prepares it unless that has been done. Sessions with statements of
// the same access and shape share the name.
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

// Run sends setup and one request in one piece and returns the result of the
// request. An error after the send leaves open whether the request ran;
// *SetupError says that it did not.
func (c *PooledConn) Run(setup []rattanstatement.Request, request rattanstatement.Request, deadline time.Time) (rattanstatement.Result, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return rattanstatement.Result{}, &SendError{Cause: err}
	}
	late := time.AfterFunc(lateAnswer, c.upstream.ObserveTimeout)
	defer late.Stop()
	if err := c.conn.Send(append(setup, request)...); err != nil {
		return rattanstatement.Result{}, &SendError{Cause: err}
	}
	var refused *SetupError
	for i := range setup {
		result, err := c.conn.Receive()
		if err != nil {
			return rattanstatement.Result{}, err
		}
		if !result.OK() && refused == nil {
			refused = &SetupError{Kind: setup[i].Kind, Result: result}
		}
	}
	result, err := c.conn.Receive()
	if err != nil {
		return rattanstatement.Result{}, err
	}
	c.upstream.noteAnswer(result)
	if refused != nil {
		return result, refused
	}
	return result, nil
}

// A SetupError says that a statement of the system itself, sent before a
// request, failed.
type SetupError struct {
	Kind   rattanstatement.Kind
	Result rattanstatement.Result
}

// Error implements the error interface.
func (e *SetupError) Error() string {
	return "the endpoint refused the setup of the connection: " + e.Result.Code.String()
}

// A SendError says that a request could not be sent. It may have reached the
// endpoint in part.
type SendError struct {
	Cause error
}

// Error implements the error interface.
func (e *SendError) Error() string { return "send to the endpoint: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
