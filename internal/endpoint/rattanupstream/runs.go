package rattanupstream

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// A RunCounter counts the requests of callers that endpoints began to run: single
// statements, and transactions as one request each.
type RunCounter interface {
	// CountRun counts a request of a client account whose first statement was sent at a
	// time of the daemon's clock.
	CountRun(account string, sentAt time.Time)
}

// SetRunCounter sets what counts the requests. It must be called before the first one.
func (u *Upstream) SetRunCounter(runs RunCounter) { u.runs = runs }

// countRun counts the request that a statement begins. The statement was sent at a time
// and answered with a result, or its answer was lost. It does not count if it is one of the
// daemon itself, has not run, repeats one that has, or belongs to a transaction that has been
// counted. A
// statement without an answer most likely ran: it had reached the endpoint's connection.
func (c *PooledConn) countRun(statement rattanstatement.Request, sentAt time.Time, result rattanstatement.Result, isLost bool) {
	if statement.Kind == rattanstatement.Begin || statement.Kind == rattanstatement.BeginRead {
		c.isRunCounted = false
	}
	isFirst := !c.isRunCounted
	if isFirst && statement.ID != "" && c.account != "" && HasRun(result.Code) {
		c.isRunCounted = true
		if c.upstream.runs != nil && !statement.IsRepeat {
			c.upstream.runs.CountRun(c.account, sentAt)
		}
	}
	if !isLost && result.TransactionStatus == rattanstatement.Idle {
		c.isRunCounted = false
	}
}

// HasRun reports whether an endpoint began to run a statement that it answered with a code.
func HasRun(code rattanstatement.Code) bool {
	return !code.NotRun() && code != rattanstatement.Malformed && code != rattanstatement.Aborted
}
