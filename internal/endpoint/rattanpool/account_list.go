package rattanpool

// accountList is a list of idle accounts in the order in which they became idle.
type accountList struct {
	first, last *account
}

func (l *accountList) append(a *account) {
	a.next, a.previous = nil, l.last
	if l.last == nil {
		l.first = a
	} else {
		l.last.next = a
	}
	l.last = a
}

func (l *accountList) remove(a *account) {
	if a.previous == nil {
		l.first = a.next
	} else {
		a.previous.next = a.next
	}
	if a.next == nil {
		l.last = a.previous
	} else {
		a.next.previous = a.previous
	}
	a.next, a.previous = nil, nil
}
