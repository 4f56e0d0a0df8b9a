package rattanshare

import (
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// spareTime is how long a daemon's tokens must last for it to return a loan that
// a peer needs.
const spareTime = 250 * time.Millisecond

// An LoanSpec is a wish for a loan: how much to have from a lender in all, and how
// many tokens in addition, which come only with additional burst. All are in
// thousandths.
type LoanSpec struct {
	Lender string
	Amount
	Tokens int64
}

// Borrow makes the request for ask and notes the time, from which the loan's
// time counts. The second result is false when the share is unknown or a request
// to the lender is already pending. Each request ends with Accept or Fail.
func (l *Ledger) Borrow(name string, ask LoanSpec) (BorrowRequest, bool) {
	s, ok := l.find(name)
	if !ok {
		return BorrowRequest{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.borrow(s, ask)
}

// borrow is Borrow for a share whose lock is held.
func (l *Ledger) borrow(s *share, ask LoanSpec) (BorrowRequest, bool) {
	if _, ok := s.pending[ask.Lender]; ok {
		return BorrowRequest{}, false
	}
	now := l.clock.Now()
	s.settle(now)
	request := BorrowRequest{
		VM:          l.vm,
		Incarnation: l.incarnation,
		Share:       s.name,
		Lender:      ask.Lender,
		Amount:      ask.Amount.clamp(),
		Tokens:      ask.Tokens,
		sent:        now,
	}
	if loan, ok := s.borrowed[ask.Lender]; ok {
		request.LoanID = loan.loan
	} else {
		request.LoanID = l.lastLoan.Add(1)
	}
	s.pending[ask.Lender] = request
	l.activate(s)
	return request, true
}

// Accept handles the response to request and reports whether the loan is used.
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
	s.settle(now)
	ttl := min(loan.TTL, LoanTTL)
	if loan.ID != request.LoanID || rattanclock.Elapsed(request.sent, now) >= ttl {
		return false
	}
	amount := loan.Amount.clamp().min(request.Amount)
	tokens := min(max(loan.Tokens, 0), request.Tokens)
	s.noteAnswer(request, amount, tokens, now)
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

// Fail ends a request that got no response. The lender may have lent all the
// same; it reclaims the loan by itself.
func (l *Ledger) Fail(request BorrowRequest) {
	s, ok := l.find(request.Share)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish(request) {
		s.noteShortfall(request.Lender, true, l.clock.Now())
	}
}

// finish removes request from the pending ones and reports whether it was there.
func (s *share) finish(request BorrowRequest) bool {
	pending, ok := s.pending[request.Lender]
	if !ok || pending != request {
		return false
	}
	delete(s.pending, request.Lender)
	return true
}

// Return stops the use of the loan from lender and makes the message that
// returns it. The second result is false when there is no such loan, or when
// connections are in use on it.
func (l *Ledger) Return(name, lender string) (LoanReturn, bool) {
	s, ok := l.find(name)
	if !ok {
		return LoanReturn{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(l.clock.Now())
	return l.giveBack(s, lender)
}

// giveBack is Return for a settled share whose lock is held.
func (l *Ledger) giveBack(s *share, lender string) (LoanReturn, bool) {
	loan, ok := s.borrowed[lender]
	if !ok || s.whole && s.free() < loan.Burst {
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

// Plan returns the requests to send and the loans to return now for a share of
// which the whole fleet has ceiling. lenders are the peers that hold home shares
// of it, in the order in which to ask. missing is the number of units, in
// thousandths, that waiting requests lack; while there are any, nothing is returned.
func (l *Ledger) Plan(name string, lenders []string, ceiling Amount, missing int64) ([]BorrowRequest, []LoanReturn) {
	s, ok := l.find(name)
	if !ok {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.settle(now)
	s.lenders = len(lenders)
	target := s.target(ceiling, missing, now)
	var returns []LoanReturn
	if missing == 0 {
		for _, lender := range s.surplus(target) {
			if back, ok := l.giveBack(s, lender); ok {
				returns = append(returns, back)
			}
		}
	}
	var requests []BorrowRequest
	for _, ask := range s.plan(lenders, target, missing, now) {
		if request, ok := l.borrow(s, ask); ok {
			requests = append(requests, request)
		}
	}
	return requests, returns
}

// ReturnSpare returns the loans that this daemon can give back because a peer asks for
// want: the loan from the peer itself first, and others until they make up want.
// A daemon can do without a loan when the rest covers its recent demand, or when
// its tokens last for spareTime.
func (l *Ledger) ReturnSpare(name, borrower string, want Amount) []LoanReturn {
	s, ok := l.find(name)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.settle(now)
	var returns []LoanReturn
	for _, lender := range s.lendersFirst(borrower) {
		if want.Rate <= 0 && want.Burst <= 0 {
			break
		}
		loan := s.borrowed[lender]
		if !s.canSpare(loan.Amount, now) {
			continue
		}
		if back, ok := l.giveBack(s, lender); ok {
			returns = append(returns, back)
			want = want.sub(loan.Amount)
		}
	}
	return returns
}

// canSpare reports whether the daemon can do without amount.
func (s *share) canSpare(amount Amount, now time.Time) bool {
	rest := s.limit().sub(amount)
	if s.whole {
		return rest.Burst >= s.inUse
	}
	demand := min(s.demand.rate(now), 2*s.demand.recent(now))
	if rest.Rate >= demand*keepNumerator/keepDenominator {
		return true
	}
	return min(s.bucket.Tokens(), rest.Burst) >= scale(demand, int64(spareTime), int64(time.Second))
}

// lendersFirst returns the lenders of the borrowed loans, first in front.
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

// HasPendingRequest reports whether a request for a loan of the share is under way.
func (l *Ledger) HasPendingRequest(name string) bool {
	s, ok := l.find(name)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}
