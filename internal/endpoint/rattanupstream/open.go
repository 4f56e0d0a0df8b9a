package rattanupstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// open opens a connection for which the queue has reserved a place. The place is
// freed if that fails.
func (u *Upstream) open(account string, deadline time.Time) (*PooledConn, error) {
	pooled, err := u.tryOpen(account, deadline)
	if err != nil {
		u.mu.Lock()
		u.queue.Lost(account, u.clock.Now())
		u.mu.Unlock()
		return nil, err
	}
	return pooled, nil
}

func (u *Upstream) tryOpen(account string, deadline time.Time) (*PooledConn, error) {
	endpoint := u.Endpoint()
	for attempt := 0; ; attempt++ {
		if !u.waitWhileFull(attempt > 0, deadline) {
			return nil, ErrOverloaded
		}
		now := u.clock.Now()
		conn, err := u.dial(endpoint.Address, min(connectTimeout, deadline.Sub(now)))
		if err != nil {
			u.startProbing()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		if err := conn.SetDeadline(now.Add(min(openTimeout, deadline.Sub(now)))); err != nil {
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		}
		result, err := conn.Open(endpoint.Group, account, endpoint.ID)
		switch {
		case rattanstatement.IsInvalidField(err):
			_ = conn.Close()
			return nil, errors.Wrap(ErrOverloaded, err.Error())
		case err != nil:
			_ = conn.Abort()
			u.startProbing()
			return nil, errors.Wrap(ErrUnreachable, err.Error())
		case result.OK():
			u.observeAnswer(result)
			return newPooledConn(u, conn, result, account), nil
		}
		_ = conn.Close()
		if err := u.refused(result); err != nil {
			return nil, err
		}
	}
}

// waitWhileFull waits for the end of the pause after the endpoint refused a connection
// because it has too many: one for this request or, where connections are scarce, any. It
// returns false when the deadline is before that.
func (u *Upstream) waitWhileFull(isRefused bool, deadline time.Time) bool {
	u.mu.Lock()
	until := u.fullUntil
	if !isRefused && !u.queue.Limits().ByDemand {
		until = time.Time{}
	}
	u.mu.Unlock()
	now := u.clock.Now()
	if !now.Before(deadline) || until.After(deadline) {
		return false
	}
	if now.Before(until) {
		<-u.clock.After(until.Sub(now))
	}
	return true
}

// refused begins a pause of refusedPause after the endpoint refused a connection because
// it has too many, and closes idle connections. It returns the error for any other
// refusal.
func (u *Upstream) refused(result rattanstatement.Result) error {
	switch result.Code {
	case rattanstatement.WrongEndpoint:
		return ErrWrongEndpoint
	case rattanstatement.TooManyConnections, rattanstatement.Busy:
		u.mu.Lock()
		now := u.clock.Now()
		u.fullUntil = now.Add(refusedPause)
		if result.Code == rattanstatement.TooManyConnections {
			u.refusedAt = now
		}
		idle := u.queue.TakeSome(u.idleToClose(result.Code))
		u.mu.Unlock()
		closeAll(idle)
		if result.Code == rattanstatement.TooManyConnections {
			u.count(CountOverCap)
		}
		return nil
	default:
		return errors.Wrapf(ErrUnreachable, "the endpoint refused the session: %s", result.Code)
	}
}

// RefusedAt returns when the endpoint last refused a connection because it had too many.
func (u *Upstream) RefusedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refusedAt
}

// idleToClose returns how many idle connections are closed after the endpoint refused a
// connection: all where there is one for each account. Where connections are scarce, each
// is opened again soon, so a part of them makes room, and none for want of a slot.
func (u *Upstream) idleToClose(code rattanstatement.Code) int {
	idle := u.queue.Idle()
	switch {
	case !u.queue.Limits().ByDemand:
		return idle
	case code == rattanstatement.TooManyConnections:
		return (idle + 3) / 4
	default:
		return 0
	}
}
