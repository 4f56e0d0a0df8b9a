package rattanfailover

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	writeInterval = 20 * time.Millisecond
	writeTimeout  = 500 * time.Millisecond
)

// ack is an acknowledged write.
type ack struct {
	id             string
	term           uint64
	started, ended time.Time
}

// write sends writes to the primary in the daemon's view, each under a new request
// ID, and records those that a replica has confirmed as acknowledged.
func (d *daemon) write() {
	for number := 0; d.lifetime.Err() == nil; number++ {
		view := d.tracker.View(group)
		if view.Primary != "" {
			d.writeOnce(view.Primary, view.Term, fmt.Sprintf("%s-%d", d.Name, number))
		}
		d.sleep(writeInterval)
	}
}

func (d *daemon) writeOnce(primary string, term uint64, id string) {
	ctx, cancel := context.WithTimeout(d.lifetime, writeTimeout)
	defer cancel()
	started := time.Now()
	client := d.endpoints[primary].Client(d.Name)
	if d.connections[primary] == "" {
		opened, err := client.OpenConnection(ctx, connect.NewRequest(&rattanv1.OpenConnectionRequest{Daemon: d.Name + "/1"}))
		if err != nil {
			return
		}
		d.connections[primary] = opened.Msg.GetConnection()
	}
	written, err := client.RunStatements(ctx, connect.NewRequest(&rattanv1.RunStatementsRequest{
		Connection: d.connections[primary], Term: term, ClientAccount: "shop/writer", RequestId: id,
		Statements: []*rattanv1.Statement{{Text: "CREATE TABLE IF NOT EXISTS t (id TEXT PRIMARY KEY)"}},
	}))
	if err != nil {
		d.connections[primary] = ""
		return
	}
	if d.confirmed(ctx, primary, written.Msg.GetPosition()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.acks = append(d.acks, ack{id, term, started, time.Now()})
	}
}

// confirmed reports whether a replica has reached the position in its term.
func (d *daemon) confirmed(ctx context.Context, primary string, position *rattanv1.Position) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan error, len(domains))
	for _, name := range domains {
		if name != primary {
			go func() {
				_, err := d.endpoints[name].Client(d.Name).WaitPosition(ctx, connect.NewRequest(&rattanv1.WaitPositionRequest{
					Term: position.GetTerm(), Index: position.GetIndex(), MaxWaitMs: uint32(writeTimeout.Milliseconds()),
				}))
				responses <- err
			}()
		}
	}
	for range len(domains) - 1 {
		if <-responses == nil {
			return true
		}
	}
	return false
}
