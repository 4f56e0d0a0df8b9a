package rattanupstream

import "github.com/rattanstream/rattanstream/internal/endpoint/rattaninventory"

// OpenAhead opens a connection for an account whose next request is expected soon and
// that has none, while no request waits and a slot is free. It returns after the
// connection is open. It does nothing while another call opens one.
func (u *Upstream) OpenAhead() {
	if !u.AcceptsNewStatements() || !u.isOpeningAhead.CompareAndSwap(false, true) {
		return
	}
	defer u.isOpeningAhead.Store(false)
	now := u.clock.Now()
	u.mu.Lock()
	if u.isClosed || u.reachability.isSuspect() || now.Before(u.fullUntil) {
		u.mu.Unlock()
		return
	}
	assignment, account, ok := u.queue.Ahead(rattaninventory.AheadWithin, now)
	u.mu.Unlock()
	if !ok {
		return
	}
	if assignment.Evict != nil {
		u.count(CountEvicted)
		_ = assignment.Evict.conn.Close()
	}
	u.count(CountAhead)
	pooled, err := u.open(account, now.Add(openTimeout))
	if err != nil {
		return
	}
	u.putBack(pooled, u.queue.Opened)
}

// IsByDemand reports whether this daemon owns the endpoint's connections and they are
// scarce.
func (u *Upstream) IsByDemand() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Limits().ByDemand
}

// Held returns the number of this daemon's connections that are open, being opened or
// being closed.
func (u *Upstream) Held() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Connections()
}

// HasWaiting reports whether requests wait for a connection.
func (u *Upstream) HasWaiting() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Waiting() > 0
}
