package rattanshare

import "context"

// HandleBorrow answers a peer's request for a loan.
func (m *Manager) HandleBorrow(request BorrowRequest) Loan {
	if m.fixed {
		return Loan{ID: request.LoanID}
	}
	loan := m.ledger.Lend(request)
	for _, back := range m.ledger.ReturnSpare(request.Share, request.VM, request.Amount.sub(loan.Amount)) {
		m.sendReturn(back)
	}
	return loan
}

// HandleReturn handles the early end of a loan that this daemon has given.
func (m *Manager) HandleReturn(back LoanReturn) {
	m.ledger.HandleReturn(back)
	m.notify(back.Share)
}

func (m *Manager) sendBorrow(request BorrowRequest) {
	message := request
	message.SettingsDigest, message.RosterRevision = m.revisions()
	sent := m.call(func(ctx context.Context) {
		loan, err := m.peers.Borrow(ctx, message)
		if err != nil {
			m.ledger.Fail(request)
		} else if !m.ledger.Accept(request, loan) {
			m.returnRefused(request)
		}
		m.notify(request.Share)
	})
	if !sent {
		m.ledger.Fail(request)
	}
}

// returnRefused returns the loan that the lender did not renew, so that the
// lender can divide it anew, and asks again for what this daemon needs.
func (m *Manager) returnRefused(request BorrowRequest) {
	if back, ok := m.ledger.Return(request.Share, request.Lender); ok && back.LoanID == request.LoanID {
		m.sendReturn(back)
	}
}

// sendReturn returns a loan. When the message is lost, the lender reclaims the
// loan by itself.
func (m *Manager) sendReturn(back LoanReturn) {
	m.call(func(ctx context.Context) {
		_ = m.peers.Return(ctx, back)
	})
}

// call runs f beside the caller with a bounded time. It returns false after Run
// has ended.
func (m *Manager) call(f func(context.Context)) bool {
	m.callsMu.Lock()
	defer m.callsMu.Unlock()
	if m.closed {
		return false
	}
	m.calls.Add(1)
	go func() {
		defer m.calls.Done()
		ctx, cancel := context.WithTimeout(m.ctx, callTime)
		defer cancel()
		f(ctx)
	}()
	return true
}

func (m *Manager) revisions() (settings, roster uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version.digest, m.version.rosters[m.version.domain].Revision
}
