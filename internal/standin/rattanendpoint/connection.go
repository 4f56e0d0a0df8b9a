package rattanendpoint

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A connection belongs to a daemon, runs one call at a time and has at most one
// open transaction.
type connection struct {
	daemon string
	// available holds one element while no call runs on the connection.
	available chan struct{}
	// transaction is nil while none is open. The instance's mu guards it.
	transaction *transaction
	lastUsed    time.Time
	closed      bool
}

type transaction struct {
	*rattansql.Transaction
	name       string
	statements []*rattanv1.Statement
}

// rollBack ends the transaction without effect. The caller holds mu.
func (c *connection) rollBack() {
	if c.transaction != nil {
		c.transaction.Close()
		c.transaction = nil
	}
}

// OpenConnection implements EndpointService. The first connection of a new
// incarnation ("<vm>/<incarnation>") closes those of other incarnations on the VM,
// whose process has ended.
func (i *Instance) OpenConnection(ctx context.Context, request *connect.Request[rattanv1.OpenConnectionRequest]) (*connect.Response[rattanv1.OpenConnectionResponse], error) {
	daemon := request.Msg.GetDaemon()
	name, err := i.reserveConnection(daemon)
	if err != nil {
		return nil, err
	}
	if err := i.sleep(ctx, i.config.OpenTime); err != nil {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.closeConnection(name)
		return nil, err
	}
	return connect.NewResponse(&rattanv1.OpenConnectionResponse{Connection: name, Status: i.Status()}), nil
}

func (i *Instance) reserveConnection(daemon string) (string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	vm, incarnation, ok := strings.Cut(daemon, "/")
	for name, other := range i.connections {
		otherVM, otherIncarnation, _ := strings.Cut(other.daemon, "/")
		if ok && vm == otherVM && incarnation != otherIncarnation {
			i.closeConnection(name)
		}
	}
	if len(i.connections) >= i.config.Connections {
		return "", connect.NewError(connect.CodeResourceExhausted, errors.Errorf("connection limit reached: all %d connections are in use", i.config.Connections))
	}
	i.opened++
	name := fmt.Sprintf("%s-%d", i.config.Name, i.opened)
	opened := &connection{daemon: daemon, available: make(chan struct{}, 1), lastUsed: i.clock.Now()}
	opened.available <- struct{}{}
	i.connections[name] = opened
	return name, nil
}

// CloseConnection implements EndpointService.
func (i *Instance) CloseConnection(_ context.Context, request *connect.Request[rattanv1.CloseConnectionRequest]) (*connect.Response[rattanv1.CloseConnectionResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.connections[request.Msg.GetConnection()] == nil {
		return nil, errNoConnection(request.Msg.GetConnection())
	}
	i.closeConnection(request.Msg.GetConnection())
	return connect.NewResponse(&rattanv1.CloseConnectionResponse{}), nil
}

// closeConnection rolls the transaction back and frees the connection. The
// caller holds mu.
func (i *Instance) closeConnection(name string) {
	if closing := i.connections[name]; closing != nil {
		closing.rollBack()
		closing.closed = true
		delete(i.connections, name)
	}
}

// takeConnection waits until no other call runs on the connection. The caller
// calls release when it is done.
func (i *Instance) takeConnection(ctx context.Context, name string) (taken *connection, release func(), err error) {
	i.mu.Lock()
	taken = i.connections[name]
	i.mu.Unlock()
	if taken == nil {
		return nil, nil, errNoConnection(name)
	}
	select {
	case <-taken.available:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	return taken, func() {
		i.mu.Lock()
		taken.lastUsed = i.clock.Now()
		i.mu.Unlock()
		taken.available <- struct{}{}
	}, nil
}

func errNoConnection(name string) error {
	return connect.NewError(connect.CodeNotFound, errors.Errorf("unknown connection %q", name))
}

// idleLoop closes connections whose open transaction had no call for
// TransactionIdle. Connect calls do not show that a daemon has ended, and the locks
// of its transactions would stay held.
func (i *Instance) idleLoop(ctx context.Context) {
	for i.sleep(ctx, i.config.TransactionIdle/4) == nil {
		i.mu.Lock()
		for name, candidate := range i.connections {
			busy := len(candidate.available) == 0
			if candidate.transaction != nil && !busy && i.clock.Now().Sub(candidate.lastUsed) >= i.config.TransactionIdle {
				i.closeConnection(name)
			}
		}
		i.mu.Unlock()
	}
}
