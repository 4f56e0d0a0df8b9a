package rattanshare

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// spareTime is how long a daemon's remaining tokens must last for it to return a
// loan because a peer needs it.
const spareTime = 250 * time.Millisecond

// A LoanSpec describes a loan to request: the total amount to have from Lender, and
// the number of tokens to receive, which are granted only with additional burst. All
// are in thousandths.
type LoanSpec struct {
	Lender string
	Amount
	Tokens int64
}

// Borrow makes the request for spec and records the time, from which the loan's TTL
// counts. The second result is false when the share is unknown or a request to the
// lender is already pending. Call Accept or Fail once for each request.
func (l *Ledger) Borrow(name string, spec LoanSpec) (BorrowRequest, bool) {
	s, ok := l.find(name)
	if !ok {
		return BorrowRequest{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.borrow(s, spec)
}

// borrow is Borrow for a share whose lock is held.
func (l *Ledger) borrow(s *share, spec LoanSpec) (BorrowRequest, bool) {
	if _, ok := s.pending[spec.Lender]; ok {
		return BorrowRequest{}, false
	}
	now := l.clock.Now()
	s.refresh(now)
	request := BorrowRequest{
		VM:          l.vm,
		Incarnation: l.incarnation,
		Share:       s.name,
		Lender:      spec.Lender,
		Amount:      spec.Amount.clamp(),
		Tokens:      spec.Tokens,
		sent:        now,
	}
	if loan, ok := s.borrowed[spec.Lender]; ok {
		request.LoanID = loan.loan
	} else {
		request.LoanID = l.lastLoan.Add(1)
	}
	s.pending[spec.Lender] = request
	l.activate(s)
	return request, true
}

// Accept handles the response to request and reports whether the daemon now uses the
// loan.
// A response that arrives after the loan's end, a second time, or for a request
// that has failed is not used.
func (l *Ledger) Accept(request BorrowRequest, loan Loan) bool {
	s, ok := l.find(request.Share)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finish(request) {
		return false
	}
	now := l.clock.Now()
	s.refresh(now)
	ttl := min(loan.TTL, LoanTTL)
	if loan.ID != request.LoanID || rattanclock.Elapsed(request.sent, now) >= ttl {
		return false
	}
	amount := loan.Amount.clamp().min(request.Amount)
	tokens := min(max(loan.Tokens, 0), request.Tokens)
	s.recordResponse(request, amount, tokens, now)
	if amount == (Amount{}) {
		return false
	}
	s.borrowed[request.Lender] = &borrowedLoan{
		loan:    request.LoanID,
		Amount:  amount,
		end:     request.sent.Add(ttl),
		renewed: request.sent,
	}
	s.sumBorrowed()
	s.bucket.Add(tokens)
	return true
}

// Fail ends a request that got no response. The lender may have granted the loan
// nevertheless; it reclaims such a loan when it expires.
func (l *Ledger) Fail(request BorrowRequest) {
	s, ok := l.find(request.Share)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish(request) {
		s.recordShortfall(request.Lender, true, l.clock.Now())
	}
}

// finish removes request from the pending ones and reports whether it was pending.
func (s *share) finish(request BorrowRequest) bool {
	pending, ok := s.pending[request.Lender]
	if !ok || pending != request {
		return false
	}
	delete(s.pending, request.Lender)
	return true
}

// Return stops using the loan from lender and makes the message that returns it. The
// second result is false when there is no such loan, or when connections in use
// need it.
func (l *Ledger) Return(name, lender string) (LoanReturn, bool) {
	s, ok := l.find(name)
	if !ok {
		return LoanReturn{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l.clock.Now())
	return l.returnLoan(s, lender)
}

// returnLoan is Return for a refreshed share whose lock is held.
func (l *Ledger) returnLoan(s *share, lender string) (LoanReturn, bool) {
	loan, ok := s.borrowed[lender]
	if !ok || s.isConcurrency && s.free() < loan.Burst {
		return LoanReturn{}, false
	}
	delete(s.borrowed, lender)
	delete(s.pending, lender)
	before := s.bucket.Tokens()
	s.sumBorrowed()
	return LoanReturn{
		VM:          l.vm,
		Incarnation: l.incarnation,
		Share:       s.name,
		LoanID:      loan.loan,
		Lender:      lender,
		Tokens:      min(before-s.bucket.Tokens(), loan.Burst),
	}, true
}

// Plan returns the requests to send and the loans to return now for a share. ceiling
// is the amount that the whole fleet has of it. lenders are the peers that hold base
// shares of it, in the order in which to ask them. missing is the number of units, in
// thousandths, that waiting requests lack; no loan is returned while there are any.
func (l *Ledger) Plan(name string, lenders []string, ceiling Amount, missing int64) ([]BorrowRequest, []LoanReturn) {
	s, ok := l.find(name)
	if !ok {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.refresh(now)
	s.lenders = len(lenders)
	target := s.target(ceiling, missing, now)
	var returns []LoanReturn
	if missing == 0 {
		for _, lender := range s.surplus(target) {
			if loanReturn, ok := l.returnLoan(s, lender); ok {
				returns = append(returns, loanReturn)
			}
		}
	}
	var requests []BorrowRequest
	for _, spec := range s.plan(lenders, target, missing, now) {
		if request, ok := l.borrow(s, spec); ok {
			requests = append(requests, request)
		}
	}
	return requests, returns
}

// ReturnSpare returns loans that this daemon can do without, because the peer borrower
// requests want: first the loan from that peer itself, then others until they add up
// to want. The daemon can do without a loan when the rest covers its recent demand,
// or when its tokens last for spareTime.
func (l *Ledger) ReturnSpare(name, borrower string, want Amount) []LoanReturn {
	s, ok := l.find(name)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.refresh(now)
	var returns []LoanReturn
	for _, lender := range s.lendersFirst(borrower) {
		if want.Rate <= 0 && want.Burst <= 0 {
			break
		}
		loan := s.borrowed[lender]
		if !s.canSpare(loan.Amount, now) {
			continue
		}
		if loanReturn, ok := l.returnLoan(s, lender); ok {
			returns = append(returns, loanReturn)
			want = want.sub(loan.Amount)
		}
	}
	return returns
}

// canSpare reports whether the daemon can do without amount.
func (s *share) canSpare(amount Amount, now time.Time) bool {
	rest := s.limit().sub(amount)
	if s.isConcurrency {
		return rest.Burst >= s.inUse
	}
	demand := min(s.demand.rate(now), 2*s.demand.recentRate(now))
	if rest.Rate >= demand*headroomNumerator/headroomDenominator {
		return true
	}
	return min(s.bucket.Tokens(), rest.Burst) >= scale(demand, int64(spareTime), int64(time.Second))
}

// lendersFirst returns the lenders of the borrowed loans in sorted order, but with
// first, if it is one of them, in front.
func (s *share) lendersFirst(first string) []string {
	var lenders []string
	for lender := range s.borrowed {
		if lender != first {
			lenders = append(lenders, lender)
		}
	}
	slices.Sort(lenders)
	if _, ok := s.borrowed[first]; ok {
		lenders = slices.Insert(lenders, 0, first)
	}
	return lenders
}

// HasPendingRequest reports whether a request for a loan of the share is pending.
func (l *Ledger) HasPendingRequest(name string) bool {
	s, ok := l.find(name)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}
