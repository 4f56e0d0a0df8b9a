package rattanadapter

import (
	"context"
	"math"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

// defaultWait is the longest wait for a position when the context has no deadline.
const defaultWait = time.Second

// invoke makes one unary call and converts its error.
func invoke[Request, Response any](
	ctx context.Context,
	method func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
	request *connect.Request[Request],
) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &notSentError{err: err}
	}
	var sent sending
	response, err := method(sent.trace(ctx), request)
	if err != nil {
		return nil, sent.convert(err)
	}
	return response.Msg, nil
}

// sending observes whether the transport obtained a network connection for a
// request. Without one, no byte of the request can have been sent.
type sending struct {
	wanted   atomic.Bool
	obtained atomic.Bool
}

func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.wanted.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.obtained.Store(true) },
	})
}

// convert returns the *Fault in err if there is one, and marks an error of a
// request that was not sent. A transport that reports neither event proves
// nothing, so its errors stay unmarked.
func (s *sending) convert(err error) error {
	if fault, ok := faultFromConnect(err); ok {
		return fault
	}
	if s.wanted.Load() && !s.obtained.Load() {
		return &notSentError{err: err}
	}
	return err
}

// remainingMilliseconds returns the time until the deadline of ctx.
func remainingMilliseconds(ctx context.Context) uint32 {
	remaining := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	return uint32(min(max(remaining.Milliseconds(), 1), math.MaxUint32))
}
