package rattanpool

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Conn is a connection for the time of one request.
type Conn struct {
	pool *Pool
	conn *rattanadapter.Conn

	mu       sync.Mutex
	service  time.Duration
	answered bool
	ended    bool
}

// Run runs statements as rattanadapter.Conn.Run does. After the request has
// ended it returns rattanadapter.ErrClosed, since the connection may serve
// another request by then.
func (c *Conn) Run(ctx context.Context, request *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, rattanadapter.ErrClosed
	}
	start := c.pool.clock.Now()
	response, err := c.conn.Run(ctx, request)
	c.pool.observeCall(ctx, start, response.GetStatus(), err)
	if err != nil {
		return nil, err
	}
	c.answered = true
	c.service += time.Duration(response.GetServiceUs()) * time.Microsecond
	return response, nil
}

// end forbids further use and returns the time at the endpoint and whether the
// endpoint has answered.
func (c *Conn) end() (service time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return c.service, c.answered
}
