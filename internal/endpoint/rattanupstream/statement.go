package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// minAnswerTimeout is the least limit of the wait for the answer to a read and to the
// begin or rollback of a transaction. It is well above the run time of most statements,
// since the admission queue lets few statements wait at the endpoint.
const minAnswerTimeout = 250 * time.Millisecond

// Errors of statements, in addition to those of Acquire.
var (
	// ErrTimeout says that the endpoint did not answer in time. The statement may
	// have run.
	ErrTimeout = errors.New("the endpoint did not answer in time")
	// ErrNoGrant says that the daemon holds no grant for the endpoint as the
	// primary; nothing has been sent.
	ErrNoGrant = errors.New("the daemon holds no grant for the endpoint as the primary")
)

// Grants say whether the daemon may send statements that only the primary may run to
// an endpoint.
type Grants interface {
	// Primary returns the endpoint for which the daemon holds the group's grant now.
	Primary(group string) (string, bool)
	// Track registers a request to the primary as in flight until done is called.
	// It returns false when the daemon holds no grant for it. Interrupt ends the
	// request early.
	Track(group, primary string, interrupt func()) (done func(), ok bool)
	// ObserveTerm records that an endpoint of a group was seen in a term.
	ObserveTerm(group string, term uint64) bool
}

// A StatementRequest is one statement for an endpoint.
type StatementRequest struct {
	AcquireRequest
	// SessionVars are the session variables that must be set on the connection.
	SessionVars map[string]string
	// StatementID is the caller's id of the statement.
	StatementID string
	// Text is forwarded unchanged, unless Prepared is set.
	Text string
	// Prepared is the prepared statement to execute; Argument is the text after its
	// name.
	Prepared PreparedStatement
	Argument string
	// IsWrite is true for statements that write.
	IsWrite bool
	// IsCommit is true for the commit of a transaction.
	IsCommit bool
	// MinPosition is the position that the endpoint must hold, zero for none.
	MinPosition rattanmodel.Position
	// IsRepeat is true when an earlier attempt of the request has run at an endpoint.
	IsRepeat bool
}

// kind returns the kind of the statement, unless it is a prepared one.
func (r StatementRequest) kind() rattanstatement.Kind {
	switch {
	case r.IsCommit:
		return rattanstatement.Commit
	case r.IsWrite:
		return rattanstatement.Write
	default:
		return rattanstatement.Read
	}
}

// wireRequests returns the setup requests and the request for the statement on a
// pooled connection.
func (r StatementRequest) wireRequests(pooled *PooledConn) ([]rattanstatement.Request, rattanstatement.Request) {
	setup := pooled.SetupRequests(r.SessionVars)
	request := rattanstatement.Request{ID: r.StatementID, Kind: r.kind(), Text: r.Text, MinPosition: r.MinPosition, IsRepeat: r.IsRepeat}
	if r.Prepared != (PreparedStatement{}) {
		name, prepare := pooled.Prepare(r.Prepared)
		setup = append(setup, prepare...)
		request.Text, request.Kind = "", rattanstatement.Execute
		request.Name, request.Argument = name, r.Argument
	}
	return setup, request
}

// acquire returns a connection for a new statement or transaction. It returns an error
// if by then the deadline has passed, or the endpoint gets no new statements.
func (u *Upstream) acquire(request AcquireRequest) (*PooledConn, error) {
	if !u.AcceptsNewStatements() {
		return nil, ErrLeaving
	}
	pooled, err := u.Acquire(request)
	if err != nil {
		return nil, err
	}
	if !u.AcceptsNewStatements() {
		u.Release(pooled)
		return nil, ErrLeaving
	}
	if !u.clock.Now().Before(request.Deadline) {
		u.Release(pooled)
		return nil, ErrOverloaded
	}
	return pooled, nil
}

// Read runs a read. The error is ErrOverloaded, ErrUnreachable, ErrLeaving or
// ErrWrongEndpoint, when nothing has been sent, or ErrTimeout.
func (u *Upstream) Read(statement StatementRequest) (rattanstatement.Result, error) {
	pooled, err := u.acquire(statement.AcquireRequest)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	sentAt := u.clock.Now()
	until := sentAt.Add(u.answerTimeout(statement.Kind))
	if until.After(statement.Deadline) {
		until = statement.Deadline
	}
	setup, request := statement.wireRequests(pooled)
	result, err := pooled.Run(setup, request, until)
	// An error of an earlier read is as good an answer as its own one, as a read changes
	// nothing. Its position says nothing of now.
	if uncertain, ok := asUncertain(err); ok {
		result, err = rattanstatement.Refuse(uncertain.Result.Code, uncertain.Result.Detail), nil
	}
	u.observeOutcome(result, err, true, sentAt)
	if err != nil {
		u.observeCost(pooled, false)
		u.discardFailed(pooled, err)
		if isUnsent(err) && !isWithoutAnswer(err) {
			return rattanstatement.Result{}, errors.Wrap(ErrOverloaded, err.Error())
		}
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	u.observeCost(pooled, result.OK())
	u.Release(pooled)
	return result, nil
}

// Write runs a write at the primary, at most once. The errors are those of Read
// and ErrNoGrant; after ErrTimeout the write is in doubt.
func (u *Upstream) Write(statement StatementRequest) (rattanstatement.Result, error) {
	pooled, err := u.acquire(statement.AcquireRequest)
	if err != nil {
		return rattanstatement.Result{}, err
	}
	endpoint := u.Endpoint()
	done, ok := u.grants.Track(endpoint.Group, endpoint.ID, pooled.Interrupt)
	if !ok {
		u.Release(pooled)
		return rattanstatement.Result{}, ErrNoGrant
	}
	defer done()
	setup, request := statement.wireRequests(pooled)
	result, err := pooled.Run(setup, request, statement.Deadline)
	u.observeOutcome(result, err, false, time.Time{})
	if err != nil {
		u.discardFailed(pooled, err)
		if isUnsent(err) {
			return rattanstatement.Result{}, errors.Wrap(ErrOverloaded, err.Error())
		}
		return rattanstatement.Result{}, errors.Wrap(ErrTimeout, err.Error())
	}
	u.observeCost(pooled, result.OK())
	u.Release(pooled)
	return result, nil
}

// discardFailed closes a connection after an error. If the endpoint has not answered, it is
// probed.
func (u *Upstream) discardFailed(pooled *PooledConn, err error) {
	u.Discard(pooled)
	if isWithoutAnswer(err) {
		u.ObserveTimeout()
	}
}
