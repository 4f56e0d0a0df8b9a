package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// minBackoff and maxBackoff bound the wait before a retry when the answer states no
// retry-after.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// callerMethod is a method of CallerService.
type callerMethod[Q, A any] func(rattanv1connect.CallerServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call attempts a method until it succeeds or a retry is not safe, not useful, or
// not within the budget and the deadline. repeatable is true if running the method
// twice has the effect of running it once. The error is an *Error; its run state
// covers all attempts.
func call[Q, A any](ctx context.Context, c *Client, method callerMethod[Q, A], message *Q, repeatable bool) (*A, error) {
	c.shared.budget.call()
	mayHaveRun := false
	for i := 1; ; i++ {
		daemon := c.shared.next.Load()
		answer, err := attemptOnce(ctx, c, daemon, method, message)
		if err == nil {
			return answer, nil
		}
		e := newError(ctx, err)
		if e.needsOtherDaemon() {
			// Of several calls that fail at one daemon, only the first selects
			// the next daemon.
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

// attemptOnce makes one attempt at a daemon, with the key and the session tokens. It
// takes the session token of the answer, also that of an error.
func attemptOnce[Q, A any](ctx context.Context, c *Client, daemon uint64, method callerMethod[Q, A], message *Q) (*A, error) {
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

// needsOtherDaemon reports whether later attempts go to another daemon, which may
// serve what this one did not.
func (e *Error) needsOtherDaemon() bool {
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

// wait takes a retry from the budget and waits before it. It returns false at once
// when the budget has none or the deadline comes first, and when ctx ends.
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
