package rattanpool

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Conn is a connection that is assigned to one request until the request ends.
type Conn struct {
	pool *Pool
	conn *rattanadapter.Conn

	mu        sync.Mutex
	service   time.Duration
	responded bool
	ended     bool
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
	c.responded = true
	c.service += time.Duration(response.GetServiceUs()) * time.Microsecond
	return response, nil
}

// end forbids further use. It returns the total service time that the endpoint
// reported and whether any call of Run succeeded.
func (c *Conn) end() (service time.Duration, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return c.service, c.responded
}
