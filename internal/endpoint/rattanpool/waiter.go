package rattanpool

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
)

// waiter is a request that waits to be admitted. Its fields are guarded by the
// pool's mutex until ready is closed.
type waiter struct {
	flow     Flow
	deadline time.Time
	// cost is the estimated cost, charged what the account was charged so far.
	cost, charged  time.Duration
	account        *account
	next, previous *waiter

	// ready is closed when conn or refusal is set. It is nil if the request did not
	// have to wait.
	ready   chan struct{}
	conn    *rattanadapter.Conn
	refusal *rattanerr.Refusal
}

// decided reports whether the request was assigned a connection or refused.
func (w *waiter) decided() bool {
	return w.conn != nil || w.refusal != nil
}

func (w *waiter) assign(conn *rattanadapter.Conn) {
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
