package rattanpool

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
)

// waiter is a request that waits for its turn. Its fields belong to the pool's
// mutex until ready is closed.
type waiter struct {
	flow     Flow
	deadline time.Time
	// cost is the estimated cost, charged what the account has paid so far.
	cost, charged  time.Duration
	account        *account
	next, previous *waiter

	// ready is closed when conn or refusal is set. It is nil while the request
	// has not had to wait.
	ready   chan struct{}
	conn    *rattanadapter.Conn
	refusal *rattanerr.Refusal
}

func (w *waiter) settled() bool {
	return w.conn != nil || w.refusal != nil
}

func (w *waiter) grant(conn *rattanadapter.Conn) {
	w.conn = conn
	w.signal()
}

func (w *waiter) refuse(refusal *rattanerr.Refusal) {
	w.refusal = refusal
	w.signal()
}

func (w *waiter) signal() {
	if w.ready != nil {
		close(w.ready)
	}
}
