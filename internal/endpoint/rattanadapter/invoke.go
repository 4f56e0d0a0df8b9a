package rattanadapter

import (
	"context"
	"math"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

// defaultWait is the longest wait for a position if the context has no deadline.
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
	var connection connectionTrace
	response, err := method(connection.attach(ctx), request)
	if err != nil {
		return nil, connection.convertError(err)
	}
	return response.Msg, nil
}

// A connectionTrace records whether the transport requested and obtained a network
// connection for a request. Without one, no byte of the request can have been sent.
type connectionTrace struct {
	requested atomic.Bool
	obtained  atomic.Bool
}

// attach returns a context whose request reports its connection events to t.
func (t *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.obtained.Store(true) },
	})
}

// convertError returns the *Fault in err if there is one, and a *notSentError for a
// request that was not sent. If the transport reports neither event, it is unknown
// whether the request was sent, and err is returned as it is.
func (t *connectionTrace) convertError(err error) error {
	if fault, ok := faultFromConnect(err); ok {
		return fault
	}
	if t.requested.Load() && !t.obtained.Load() {
		return &notSentError{err: err}
	}
	return err
}

// remainingMilliseconds returns the time until the deadline of ctx, or
// defaultWait if it has none.
func remainingMilliseconds(ctx context.Context) uint32 {
	remaining := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	return uint32(min(max(remaining.Milliseconds(), 1), math.MaxUint32))
}
