package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
)

// A Status is the state that an endpoint reports of itself.
type Status = rattanstatement.EndpointStatus

var statusRequest = rattanstatement.Request{Kind: rattanstatement.Status}

// StepDown makes the endpoint a replica if it is the primary of a term below term.
func (u *Upstream) StepDown(term uint64, timeout time.Duration) (Status, error) {
	return u.control(timeout, rattanstatement.Request{Kind: rattanstatement.StepDown, Term: term})
}

// controlRetryPause is the wait between two attempts while the endpoint has no
// connection or slot free.
const controlRetryPause = 15 * time.Millisecond

// control runs one control request over a new connection outside the queue. It
// tries again while the endpoint answers that it has no connection or slot free.
func (u *Upstream) control(timeout time.Duration, request rattanstatement.Request) (Status, error) {
	deadline := u.clock.Now().Add(timeout)
	for {
		status, result, err := u.controlOnce(deadline, request)
		if err != nil {
			return Status{}, err
		}
		if result.OK() {
			return status, nil
		}
		isFull := result.Code == rattanstatement.TooManyConnections || result.Code == rattanstatement.Busy
		if !isFull || u.clock.Now().Add(controlRetryPause).After(deadline) {
			return Status{}, errors.Errorf("the endpoint refused the control request: %s", result.Code)
		}
		<-u.clock.After(controlRetryPause)
	}
}

func (u *Upstream) controlOnce(deadline time.Time, request rattanstatement.Request) (Status, rattanstatement.Result, error) {
	endpoint := u.Endpoint()
	remaining := deadline.Sub(u.clock.Now())
	if remaining <= 0 {
		return Status{}, rattanstatement.Result{}, ErrUnreachable
	}
	u.count(CountControl)
	conn, err := u.dial(endpoint.Address, min(remaining, connectTimeout))
	if err != nil {
		return Status{}, rattanstatement.Result{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer conn.Close()
	if err := conn.SetDeadline(deadline); err != nil {
		return Status{}, rattanstatement.Result{}, err
	}
	opened, err := conn.Open(endpoint.Group, "", endpoint.ID)
	if err != nil || !opened.OK() {
		return Status{}, opened, err
	}
	if err := conn.Send(request); err != nil {
		return Status{}, rattanstatement.Result{}, err
	}
	checked := checkedConn{Conn: conn, upstream: u, answers: rattananswer.New(opened)}
	result, err := checked.receive(request)
	if err != nil || !result.OK() {
		return Status{}, result, err
	}
	status, err := conn.ParseStatus(result)
	return status, result, err
}
