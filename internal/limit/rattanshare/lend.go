package rattanshare

import "time"

// A daemon has headroomNumerator/headroomDenominator of its demand as its target, and
// lends only what exceeds that.
const (
	headroomNumerator   = 5
	headroomDenominator = 4
)

const (
	// A bucket that is at least three quarters full shows that the daemon does not
	// use all of its burst at present.
	fullNumerator   = 3
	fullDenominator = 4
	// reservedBurstTime is the time for whose demand a lender with such a bucket keeps
	// burst for itself, in addition to one unit. When lenders kept burst in proportion
	// to their demand instead, callers of small client accounts were refused while most
	// of the fleet's tokens were unused at other daemons.
	reservedBurstTime = 250 * time.Millisecond
)

// Lend handles a peer's request. It debits this daemon's share before it returns the
// loan. It lends at most what exceeds 1.25 times the daemon's own demand, and divides
// that among the requesting peers in proportion to their requests. A repeated or late
// request does no harm: it only makes the debit last longer.
func (l *Ledger) Lend(request BorrowRequest) Loan {
	s, ok := l.find(request.Share)
	if !ok {
		return Loan{ID: request.LoanID}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.refresh(now)
	loan := Loan{ID: request.LoanID}
	if !s.returned[request.VM].covers(request.Incarnation, request.LoanID) {
		loan = s.lend(request, now)
	}
	if len(s.lent) > 0 {
		l.activate(s)
	}
	return loan
}

func (s *share) lend(request BorrowRequest, now time.Time) Loan {
	want := request.Amount.clamp()
	tokens := min(max(request.Tokens, 0), maxAmount)
	key := loanKey{vm: request.VM, incarnation: request.Incarnation, loan: request.LoanID}
	debit := Amount{}
	if loan, ok := s.lent[key]; ok {
		debit = loan.debit
	}
	s.addClaim(request.VM, want, now)

	net := s.base.sub(s.lentSum).add(debit).max(Amount{})
	reserved := s.reserved(net, now)
	grant := want.min(s.quota(want, net.sub(reserved), debit))
	if s.isConcurrency {
		grant = Amount{Burst: wholeUnits(grant.Burst)}
	}
	if !grant.covers(debit.min(want)) {
		// A renewal for less would leave the difference unused by both sides until the
		// earlier response expires. Without a renewal the borrower returns the loan at
		// once and asks again.
		grant = Amount{}
	}
	// Tokens move only together with burst. Otherwise the lender could refill its
	// bucket while they are on the way, and the fleet would have more tokens than
	// burst.
	tokens = min(tokens, max(grant.Burst-debit.Burst, 0), max(s.bucket.Tokens()-reserved.Burst, 0))
	s.bucket.Take(tokens)
	if grant != (Amount{}) {
		s.recordLent(key, grant, now)
	}
	return Loan{ID: request.LoanID, Amount: grant, Tokens: tokens, TTL: LoanTTL}
}

// recordLent debits a grant. It updates lentSum without going through the other
// loans, because a share can be lent to every other owner in the fleet.
func (s *share) recordLent(key loanKey, grant Amount, now time.Time) {
	loan, ok := s.lent[key]
	if !ok {
		loan = &lentLoan{}
		s.lent[key] = loan
	}
	if len(s.lent) == 1 && !ok {
		s.nextReclaim = now.Add(reclaimTime)
	}
	before := loan.debit
	loan.add(grant, now)
	s.lentSum = s.lentSum.add(loan.debit).sub(before)
	s.applyLimit()
}

// reserved returns the part of net, which is the base share less what is lent to
// others, that the daemon needs itself.
func (s *share) reserved(net Amount, now time.Time) Amount {
	demand := min(s.currentDemand(now), maxAmount/headroomNumerator)
	if demand == 0 {
		return Amount{}
	}
	needed := demand * headroomNumerator / headroomDenominator
	if s.isConcurrency {
		return Amount{Burst: min(net.Burst, wholeUnits(needed+Unit-1))}
	}
	reserved := Amount{Rate: min(net.Rate, needed), Burst: net.Burst}
	if net.Rate > 0 {
		reserved.Burst = max(scale(net.Burst, reserved.Rate, net.Rate), min(net.Burst, Unit))
	}
	if s.bucket.Tokens()*fullDenominator >= net.Burst*fullNumerator {
		reserved.Burst = min(reserved.Burst, Unit+scale(needed, int64(reservedBurstTime), int64(time.Second)))
	}
	return reserved
}

// addClaim records what a borrower requests and drops the claims that are older than
// claimTTL.
func (s *share) addClaim(vm string, want Amount, now time.Time) {
	if now.Sub(s.oldestClaim) >= claimTTL {
		s.dropClaims(now)
	}
	s.claimSum = s.claimSum.sub(s.claims[vm].Amount).add(want)
	s.claims[vm] = claim{Amount: want, at: now}
}

func (s *share) dropClaims(now time.Time) {
	s.oldestClaim = now
	for vm, c := range s.claims {
		if now.Sub(c.at) >= claimTTL {
			s.claimSum = s.claimSum.sub(c.Amount)
			delete(s.claims, vm)
		} else if c.at.Before(s.oldestClaim) {
			s.oldestClaim = c.at
		}
	}
}

// quota returns the part of lendable that a borrower may have: all of it, or a part in
// proportion to its claim when the claims of the last claimTTL add up to more. A
// borrower whose part has shrunk by at most an eighth keeps what it has, so that loans
// are not returned for each small change of the claims.
func (s *share) quota(want, lendable, debit Amount) Amount {
	part := func(want, lendable, claims, debit int64) int64 {
		if claims <= lendable {
			return lendable
		}
		quota := scale(lendable, want, claims)
		if quota >= debit-debit/8 {
			quota = max(quota, min(debit, lendable))
		}
		return quota
	}
	return Amount{
		Rate:  part(want.Rate, lendable.Rate, s.claimSum.Rate, debit.Rate),
		Burst: part(want.Burst, lendable.Burst, s.claimSum.Burst, debit.Burst),
	}
}

// HandleReturn handles the early end of a loan. A repeated return, and one of a loan
// that has been reclaimed, has no effect.
func (l *Ledger) HandleReturn(loanReturn LoanReturn) {
	s, ok := l.find(loanReturn.Share)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(l.clock.Now())
	if s.returned[loanReturn.VM].covers(loanReturn.Incarnation, loanReturn.LoanID) {
		return
	}
	s.returned[loanReturn.VM] = returnedLoan{incarnation: loanReturn.Incarnation, loan: loanReturn.LoanID}
	key := loanKey{vm: loanReturn.VM, incarnation: loanReturn.Incarnation, loan: loanReturn.LoanID}
	loan, ok := s.lent[key]
	if !ok {
		return
	}
	delete(s.lent, key)
	s.claimSum = s.claimSum.sub(s.claims[loanReturn.VM].Amount)
	delete(s.claims, loanReturn.VM)
	s.sumLent()
	if !s.isConcurrency {
		s.bucket.Add(min(loanReturn.Tokens, loan.debit.Burst))
	}
}
