package rattansql

// A lock is held by one transaction exclusively or shared by several.
type lock struct {
	exclusive *Transaction
	shared    map[*Transaction]bool
	// released is closed and replaced when a holder releases the lock.
	released chan struct{}
}

// acquire takes the lock with the given name or returns a *BlockedError. A
// transaction that is the only shared holder may upgrade to an exclusive lock.
func (t *Transaction) acquire(name string, exclusive bool) error {
	l := t.database.locks[name]
	if l == nil {
		l = &lock{shared: map[*Transaction]bool{}, released: make(chan struct{})}
		t.database.locks[name] = l
	}
	others := len(l.shared)
	if l.shared[t] {
		others--
	}
	if l.exclusive != nil && l.exclusive != t || exclusive && others > 0 {
		return &BlockedError{Lock: name, Released: l.released}
	}
	if exclusive {
		l.exclusive = t
	} else {
		l.shared[t] = true
	}
	t.locks[name] = l
	return nil
}

// release releases all locks of the transaction.
func (t *Transaction) release() {
	for name, l := range t.locks {
		if l.exclusive == t {
			l.exclusive = nil
		}
		delete(l.shared, t)
		close(l.released)
		l.released = make(chan struct{})
		if l.exclusive == nil && len(l.shared) == 0 {
			delete(t.database.locks, name)
		}
	}
	t.locks = map[string]*lock{}
}
