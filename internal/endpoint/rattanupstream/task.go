package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// silenceTimeout is after how long without an answer a read is given up: well
// above the time of a statement, since the queue keeps the endpoint's queue short.
const silenceTimeout = 250 * time.Millisecond

// Errors of statements, beside those of Acquire.
var (
	// ErrTimeout says that the endpoint did not answer in time. The statement may
	// have run.
	ErrTimeout = errors.New("the endpoint did not answer in time")
	// ErrNoGrant says that the daemon may not send primary work to the endpoint;
	// nothing has been sent.
	ErrNoGrant = errors.New("the daemon may not send primary work to the endpoint now")
)

// Grants say whether the daemon may send primary work to an endpoint.
type Grants interface {
	// Primary returns the endpoint that leads a group now.
	Primary(group string) (string, bool)
	// Track registers primary work under way until done is called; it returns
	// false when the daemon may not send it.
	Track(group, primary string, interrupt func()) (done func(), ok bool)
}

// A StatementRequest is one statement for an endpoint.
type StatementRequest struct {
	AcquireRequest
	// SessionVars are the session values that the endpoint must have set.
	SessionVars map[string]string
	// StatementID is the caller's id.
	StatementID string
	// Text is forwarded unchanged, unless Prepared is set.
	Text string
	// Prepared is the prepared statement to execute, Argument what follows its name.
	Prepared PreparedStatement
	Argument string
	// IsWrite is true for statements that write.
	IsWrite bool
	// MinPosition is the position that the endpoint must hold, zero for none.
	MinPosition rattanmodel.Position
}

// request returns the task's request on a channel, with what is sent before it.
func (t StatementRequest) request(channel *PooledConn) ([]rattanstatement.Request, rattanstatement.Request) {
	setup := channel.SetupRequests(t.SessionVars)
	request := rattanstatement.Request{ID: t.StatementID, Text: t.Text, MinPosition: t.MinPosition}
	if t.Prepared != (PreparedStatement{}) {
		name, prepare := channel.Prepare(t.Prepared)
		setup = append(setup, prepare...)
		request.Text, request.Kind = "", rattanstatement.Execute
		request.Name, request.Argument = name, t.Argument
	}
	return setup, request
}

// acquire returns a connection for a task that can still be sent in time.
func (u *Upstream) acquire(claim AcquireRequest) (*PooledConn, error) {
	channel, err := u.Acquire(claim)
	if err != nil {
		return nil, err
	}
	if !u.clock.Now().Before(claim.Deadline) {
		u.Release(channel)
		return nil, ErrOverloaded
	}
	return channel, nil
}

// Read runs a read. The error is ErrOverloaded, ErrUnreachable or
// ErrWrongEndpoint, when nothing has been sent, or ErrTimeout.
func (u *Upstream) Read(task StatementRequest) (rattanstatement.Result, error) {
	start := u.clock.Now()
	channel, err := u.acquire(task.AcquireRequest)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	until := u.clock.Now().Add(silenceTimeout)
	if until.After(task.Deadline) {
		until = task.Deadline
	}
	setup, request := task.request(channel)
	result, err := channel.Run(setup, request, until)
	if err != nil {
		u.failed(channel, err)
		u.ObserveLatency(silenceTimeout)
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	u.Release(channel)
	u.ObserveLatency(u.clock.Now().Sub(start))
	if result.Code == rattanstatement.Behind {
		u.ObserveBehind(task.MinPosition)
	}
	return result, nil
}

// Write runs a write at the primary, at most once. The errors are those of Read
// and ErrNoGrant; after ErrTimeout the write is in doubt.
func (u *Upstream) Write(task StatementRequest) (rattanstatement.Result, error) {
	channel, err := u.acquire(task.AcquireRequest)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	endpoint := u.Endpoint()
	done, ok := u.grants.Track(endpoint.Group, endpoint.ID, channel.Interrupt)
	if !ok {
		u.Release(channel)
		return rattanstatement.Result{}, ErrNoGrant
	}
	defer done()
	setup, request := task.request(channel)
	result, err := channel.Run(setup, request, task.Deadline)
	if err != nil {
		u.failed(channel, err)
		var refused *SetupError
		if errors.As(err, &refused) && result.Code.NotRun() {
			return rattanstatement.Result{}, errors.Wrap(ErrOverloaded, err.Error())
		}
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	u.Release(channel)
	return result, nil
}

// failed closes a connection after an error and finds out whether the endpoint
// still answers.
func (u *Upstream) failed(channel *PooledConn, err error) {
	u.Discard(channel)
	var refused *SetupError
	if !errors.As(err, &refused) {
		u.ObserveTimeout()
	}
}
