package rattanshare

import "time"

// A lender keeps keepNumerator/keepDenominator of its own demand.
const (
	keepNumerator   = 5
	keepDenominator = 4
)

// Lend handles a peer's request. It debits this daemon's share first and then
// returns what it lends: at most what exceeds 1.25 times its own demand, divided
// among the peers that ask in proportion to what they want. A request that is
// repeated or late only keeps the debit for longer.
func (l *Ledger) Lend(request Request) Loan {
	s, ok := l.find(request.Share)
	if !ok {
		return Loan{Loan: request.Loan}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	s.settle(now)
	loan := s.lend(request, now)
	if len(s.lent) > 0 {
		l.activate(s)
	}
	return loan
}

func (s *share) lend(request Request, now time.Time) Loan {
	want := request.Amount.clamp()
	tokens := min(max(request.Tokens, 0), maxAmount)
	key := loanKey{vm: request.VM, incarnation: request.Incarnation, loan: request.Loan}
	debit := Amount{}
	if loan, ok := s.lent[key]; ok {
		debit = loan.debit
	}
	s.claims[request.VM] = claim{Amount: want, at: now}

	net := s.home.sub(s.lentSum).add(debit).max(Amount{})
	keep := s.keep(net, now)
	grant := want.min(s.quota(want, net.sub(keep), now))
	if s.whole {
		grant = Amount{Burst: wholeUnits(grant.Burst)}
	}
	// Tokens move with the burst that holds them and never alone: the lender could
	// refill its bucket while they are under way, and the fleet would have more
	// tokens than burst.
	tokens = min(tokens, max(grant.Burst-debit.Burst, 0), max(s.bucket.Tokens()-keep.Burst, 0))
	s.bucket.Take(tokens)
	if grant != (Amount{}) {
		s.recordLent(key, grant, tokens, now)
	}
	return Loan{Loan: request.Loan, Amount: grant, Tokens: tokens, TTL: LoanTime}
}

func (s *share) recordLent(key loanKey, grant Amount, tokens int64, now time.Time) {
	loan, ok := s.lent[key]
	if !ok {
		loan = &lentLoan{}
		s.lent[key] = loan
	}
	loan.granted += tokens
	loan.add(grant, now)
	s.sumLent()
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
	return keep
}

// quota returns a borrower's part of lendable: all of it, or a part in
// proportion to its claim when the claims of the last claimTime exceed it.
func (s *share) quota(want, lendable Amount, now time.Time) Amount {
	total := Amount{}
	for vm, c := range s.claims {
		if now.Sub(c.at) >= claimTime {
			delete(s.claims, vm)
			continue
		}
		total = total.add(c.Amount)
	}
	quota := lendable
	if total.Rate > lendable.Rate {
		quota.Rate = scale(lendable.Rate, want.Rate, total.Rate)
	}
	if total.Burst > lendable.Burst {
		quota.Burst = scale(lendable.Burst, want.Burst, total.Burst)
	}
	return quota
}

// Returned handles the early end of a loan. A return that is repeated, or of a
// loan that has been reclaimed, has no effect.
func (l *Ledger) Returned(back Return) {
	s, ok := l.find(back.Share)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(l.clock.Now())
	key := loanKey{vm: back.VM, incarnation: back.Incarnation, loan: back.Loan}
	loan, ok := s.lent[key]
	if !ok {
		return
	}
	delete(s.lent, key)
	delete(s.claims, back.VM)
	s.sumLent()
	if !s.whole {
		s.bucket.Add(min(back.Tokens, loan.granted))
	}
}
