package rattanpool

import "time"

// defaultDrainTimeout is the drain_timeout of the settings' policy.
const defaultDrainTimeout = 10 * time.Second

// Limits of a pool, from the settings of the endpoint, its share of connections
// and the policy.
type Limits struct {
	// Connections is the largest number of connections that this daemon may have
	// to the endpoint now. 0 means none.
	Connections int
	// Slots is the number of requests that the endpoint runs at once; less than 1
	// counts as 1.
	Slots int
	// DrainTimeout is how long pinned connections may last while the endpoint is
	// drained; 0 means 10 s.
	DrainTimeout time.Duration
}

func (l Limits) normalized() Limits {
	l.Connections = max(l.Connections, 0)
	l.Slots = max(l.Slots, 1)
	if l.DrainTimeout <= 0 {
		l.DrainTimeout = defaultDrainTimeout
	}
	return l
}

// pinnable is how many connections may be pinned: all but one, so that single
// requests are served beside the transactions.
func (l Limits) pinnable() int {
	return max(l.Connections-1, min(l.Connections, 1))
}

// pinnablePerAccount is how many of them one client account may hold: half,
// rounded up, so that no account alone keeps the others from a transaction.
func (l Limits) pinnablePerAccount() int {
	return (l.pinnable() + 1) / 2
}
