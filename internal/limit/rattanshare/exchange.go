package rattanshare

import "context"

// HandleBorrow handles a peer's request for a loan. It also returns loans that this
// daemon can do without when it lends less than the peer requests.
func (m *Manager) HandleBorrow(request BorrowRequest) Loan {
	if m.fixed {
		return Loan{ID: request.LoanID}
	}
	loan := m.ledger.Lend(request)
	for _, loanReturn := range m.ledger.ReturnSpare(request.Share, request.VM, request.Amount.sub(loan.Amount)) {
		m.sendReturn(loanReturn)
	}
	return loan
}

// HandleReturn handles the early end of a loan that this daemon has given.
func (m *Manager) HandleReturn(loanReturn LoanReturn) {
	m.ledger.HandleReturn(loanReturn)
	m.notify(loanReturn.Share)
}

func (m *Manager) sendBorrow(request BorrowRequest) {
	message := request
	message.SettingsDigest, message.RosterRevision = m.revisions()
	sent := m.call(func(ctx context.Context) {
		loan, err := m.peers.Borrow(ctx, message)
		if err != nil {
			m.ledger.Fail(request)
		} else if !m.ledger.Accept(request, loan) {
			m.returnUnrenewed(request)
		}
		m.notify(request.Share)
	})
	if !sent {
		m.ledger.Fail(request)
	}
}

// returnUnrenewed returns a loan that the lender did not renew, so that the lender can
// divide it anew. The next plan requests again what this daemon needs.
func (m *Manager) returnUnrenewed(request BorrowRequest) {
	if loanReturn, ok := m.ledger.Return(request.Share, request.Lender); ok && loanReturn.LoanID == request.LoanID {
		m.sendReturn(loanReturn)
	}
}

// sendReturn sends the return of a loan. When the message is lost, the lender
// reclaims the loan when it expires.
func (m *Manager) sendReturn(loanReturn LoanReturn) {
	m.call(func(ctx context.Context) {
		_ = m.peers.Return(ctx, loanReturn)
	})
}

// call runs f in a goroutine with a context that ends after callTimeout. It returns
// false, without running f, after Run has ended.
func (m *Manager) call(f func(context.Context)) bool {
	m.callsMu.Lock()
	defer m.callsMu.Unlock()
	if m.closed {
		return false
	}
	m.calls.Add(1)
	go func() {
		defer m.calls.Done()
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
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
