package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// minBackoff and maxBackoff bound the wait before a retry for which the answer
// states no retry-after.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// attempt is one method of the caller service.
type attempt[Q, A any] func(rattanv1connect.CallerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call runs a method until it succeeds or a retry is not safe, not useful or not
// within the budget and the deadline. repeatable says that the method may run
// twice with the effect of once. The error is an *Error; its run state covers all
// attempts.
func call[Q, A any](ctx context.Context, c *Client, method attempt[Q, A], message *Q, repeatable bool) (*A, error) {
	c.shared.budget.call()
	mayHaveRun := false
	for i := 1; ; i++ {
		daemon := c.shared.next.Load()
		answer, err := once(ctx, c, daemon, method, message)
		if err == nil {
			return answer, nil
		}
		e := newError(ctx, err)
		if e.movesOn() {
			// Of several calls that fail at one daemon, the first moves on.
			c.shared.next.CompareAndSwap(daemon, daemon+1)
		}
		retry := e.retryable(repeatable) && i < c.shared.maxAttempts && ctx.Err() == nil
		if retry && c.wait(ctx, e.backoff(i)) {
			mayHaveRun = mayHaveRun || e.RunState == Unknown
			continue
		}
		if mayHaveRun && e.RunState == NotRun {
			e.RunState = Unknown
		}
		return nil, e
	}
}

// once makes one attempt at a daemon.
func once[Q, A any](ctx context.Context, c *Client, daemon uint64, method attempt[Q, A], message *Q) (*A, error) {
	request := connect.NewRequest(message)
	if c.shared.key != "" {
		request.Header().Set("Authorization", "Bearer "+c.shared.key)
	}
	sent := c.session.send(request.Header())
	response, err := method(c.shared.callers[daemon%uint64(len(c.shared.callers))], ctx, request)
	if err != nil {
		var connectErr *connect.Error
		if errors.As(err, &connectErr) {
			c.session.receive(connectErr.Meta(), sent)
		}
		return nil, err
	}
	c.session.receive(response.Header(), sent)
	return response.Msg, nil
}

// retryable reports whether the same call may be sent again and may then succeed.
func (e *Error) retryable(repeatable bool) bool {
	switch {
	case e.RunState == Ran || e.Reason == Canceled:
		return false
	case e.RunState == NotRun:
		return !e.refused || e.RetryAfter > 0
	default:
		return repeatable
	}
}

// movesOn reports whether another daemon may serve what this one did not.
func (e *Error) movesOn() bool {
	switch e.Reason {
	case Unavailable, ShuttingDown, Drained, KeyNotFresh, Unspecified, Deadline:
		return true
	default:
		return false
	}
}

// backoff returns how long to wait after the given number of attempts: the stated
// retry-after, or a random time that grows with each attempt.
func (e *Error) backoff(attempts int) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	limit := min(minBackoff<<min(attempts, 10), maxBackoff)
	return minBackoff/2 + rand.N(limit)
}

// wait waits before a retry. It returns false at once when the budget has none or
// the deadline comes first.
func (c *Client) wait(ctx context.Context, d time.Duration) bool {
	now := time.Now()
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) <= d {
		return false
	}
	if !c.shared.budget.retry(now) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
