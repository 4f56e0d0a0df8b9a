package rattanshare

// Share returns the present state of one share, and false when there is none.
func (m *Manager) Share(name string) (ShareSnapshot, bool) { return m.ledger.Share(name) }
