package rattanupstream

import "time"

// SetNewStatementsUntil sets when the endpoint stops getting new statements, since it
// goes out of service. The zero time means that it stays.
func (u *Upstream) SetNewStatementsUntil(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.newStatementsUntil = until
}

// AcceptsNewStatements reports whether the endpoint may get new statements now.
func (u *Upstream) AcceptsNewStatements() bool {
	until, isLimited := u.newStatementsLimit()
	return !isLimited || u.clock.Now().Before(until)
}

func (u *Upstream) newStatementsLimit() (until time.Time, isLimited bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.newStatementsUntil, !u.newStatementsUntil.IsZero()
}
