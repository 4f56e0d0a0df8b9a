package rattanshare

import "time"

// A lender keeps keepNumerator/keepDenominator of its own demand.
const (
	keepNumerator   = 5
	keepDenominator = 4
)

const (
	// A bucket that is at least three quarters full has burst that the daemon does
	// not use at present.
	fullNumerator   = 3
	fullDenominator = 4
	// keepBurstTime is the time for which a lender with a full bucket keeps the
	// burst of its own demand, beside one unit. Keeping burst in proportion to the
	// demand refused callers of small client accounts while most of the fleet's
	// tokens lay idle at other daemons.
	keepBurstTime = 250 * time.Millisecond
)

// Lend handles a peer's request. It debits this daemon's share first and then
// returns what it lends: at most what exceeds 1.25 times its own demand, divided
// among the peers that ask in proportion to what they want. A request that is
// repeated or late only keeps the debit for longer.
func (l *Ledger) Lend(request BorrowRequest) Loan {
	s, ok := l.find(request.Share)
	if !ok {
		return Loan{ID: request.LoanID}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.settle(now)
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
	keep := s.keep(net, now)
	grant := want.min(s.quota(want, net.sub(keep), debit))
	if s.whole {
		grant = Amount{Burst: wholeUnits(grant.Burst)}
	}
	if !grant.covers(debit.min(want)) {
		// A renewal for less would leave the difference unused until the earlier
		// response expires. Without a renewal the borrower returns the loan at once
		// and asks again.
		grant = Amount{}
	}
	// Tokens move with the burst that holds them and never alone: the lender could
	// refill its bucket while they are under way, and the fleet would have more
	// tokens than burst.
	tokens = min(tokens, max(grant.Burst-debit.Burst, 0), max(s.bucket.Tokens()-keep.Burst, 0))
	s.bucket.Take(tokens)
	if grant != (Amount{}) {
		s.recordLent(key, grant, now)
	}
	return Loan{ID: request.LoanID, Amount: grant, Tokens: tokens, TTL: LoanTTL}
}

// recordLent debits a grant. It does not look at the other loans, because a share
// can have a loan to every other home daemon of the fleet.
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

// keep returns the part of net that the daemon needs itself.
func (s *share) keep(net Amount, now time.Time) Amount {
	demand := min(s.wanted(now), maxAmount/keepNumerator)
	if demand == 0 {
		return Amount{}
	}
	needed := demand * keepNumerator / keepDenominator
	if s.whole {
		return Amount{Burst: min(net.Burst, wholeUnits(needed+Unit-1))}
	}
	keep := Amount{Rate: min(net.Rate, needed), Burst: net.Burst}
	if net.Rate > 0 {
		keep.Burst = max(scale(net.Burst, keep.Rate, net.Rate), min(net.Burst, Unit))
	}
	if s.bucket.Tokens()*fullDenominator >= net.Burst*fullNumerator {
		keep.Burst = min(keep.Burst, Unit+scale(needed, int64(keepBurstTime), int64(time.Second)))
	}
	return keep
}

// addClaim records what a borrower asks for and drops the claims that are old.
func (s *share) addClaim(vm string, want Amount, now time.Time) {
	if now.Sub(s.oldestClaim) >= claimTime {
		s.dropClaims(now)
	}
	s.claimSum = s.claimSum.sub(s.claims[vm].Amount).add(want)
	s.claims[vm] = claim{Amount: want, at: now}
}

func (s *share) dropClaims(now time.Time) {
	s.oldestClaim = now
	for vm, c := range s.claims {
		if now.Sub(c.at) >= claimTime {
			s.claimSum = s.claimSum.sub(c.Amount)
			delete(s.claims, vm)
		} else if c.at.Before(s.oldestClaim) {
			s.oldestClaim = c.at
		}
	}
}

// quota returns a borrower's part of lendable: all of it, or a part in
// proportion to its claim when the claims of the last claimTime exceed it. A
// borrower whose part has become smaller by up to an eighth keeps what it has, so
// that loans are not returned for each change of the claims.
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

// HandleReturn handles the early end of a loan. A return that is repeated, or of a
// loan that has been reclaimed, has no effect.
func (l *Ledger) HandleReturn(back LoanReturn) {
	s, ok := l.find(back.Share)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(l.clock.Now())
	if s.returned[back.VM].covers(back.Incarnation, back.LoanID) {
		return
	}
	s.returned[back.VM] = returnedLoan{incarnation: back.Incarnation, loan: back.LoanID}
	key := loanKey{vm: back.VM, incarnation: back.Incarnation, loan: back.LoanID}
	loan, ok := s.lent[key]
	if !ok {
		return
	}
	delete(s.lent, key)
	s.claimSum = s.claimSum.sub(s.claims[back.VM].Amount)
	delete(s.claims, back.VM)
	s.sumLent()
	if !s.whole {
		s.bucket.Add(min(back.Tokens, loan.debit.Burst))
	}
}
