package rattanpool

import "time"

// defaultDrainTimeout is the drain_timeout of the settings' policy.
const defaultDrainTimeout = 10 * time.Second

// Limits are the limits of a pool. They come from the endpoint's settings, the
// daemon's share of its connections, and the policy.
type Limits struct {
	// Connections is the number of connections that this daemon may currently have
	// to the endpoint; 0 means none.
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

// maxPinned returns how many connections may be pinned: all but one, so that
// autocommit statements are served beside transactions. If there is only one
// connection, it may be pinned.
func (l Limits) maxPinned() int {
	return max(l.Connections-1, min(l.Connections, 1))
}

// maxPinnedPerAccount returns how many connections one client account may pin: half
// of maxPinned, rounded up, so that one account alone cannot keep the others from
// starting transactions.
func (l Limits) maxPinnedPerAccount() int {
	return (l.maxPinned() + 1) / 2
}
