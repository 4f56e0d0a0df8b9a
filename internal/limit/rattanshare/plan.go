package rattanshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// A daemon borrows in advance when its demand is above 70% of its limit.
	borrowAheadNumerator   = 7
	borrowAheadDenominator = 10
	// renewAfter is the time from the request for a loan to its renewal. It leaves as
	// much time again for further attempts.
	renewAfter = LoanTTL / 2
	// maxLendersAsked is the largest number of lenders asked for more at a time.
	maxLendersAsked = 8
	// backoffTime is the time during which a lender that granted less than was
	// requested is not asked for more. It doubles, up to a limit, each time the lender
	// grants nothing, so that peers are not asked all the time while a client account
	// is overloaded.
	backoffTime = 50 * time.Millisecond
	// backoffTimePerLender is the longest backoff divided by the number of lenders. It
	// limits the requests for one share to 40 per second for any number of lenders.
	backoffTimePerLender = 25 * time.Millisecond
)

// A lenderBackoff is the time until which a lender is not asked for more, and the
// length of that backoff.
type lenderBackoff struct {
	until time.Time
	last  time.Duration
}

// recordShortfall starts a backoff for a lender that granted less than requested, or
// nothing.
func (s *share) recordShortfall(lender string, nothing bool, now time.Time) {
	last := backoffTime
	if nothing {
		limit := max(time.Duration(s.lenders)*backoffTimePerLender, backoffTime)
		last = min(max(s.backoff[lender].last*2, backoffTime), limit)
	}
	s.backoff[lender] = lenderBackoff{until: now.Add(last), last: last}
}

// recordResponse updates the lender's backoff by how much of request it granted.
func (s *share) recordResponse(request BorrowRequest, amount Amount, tokens int64, now time.Time) {
	if amount.covers(request.Amount) && tokens >= request.Tokens {
		delete(s.backoff, request.Lender)
		return
	}
	s.recordShortfall(request.Lender, amount == Amount{}, now)
}

// target returns the limit that the daemon should have: 1.25 times its demand once
// the demand is above 70% of its present limit, and enough burst for the missing
// units that waiting requests lack, but at most ceiling.
func (s *share) target(ceiling Amount, missing int64, now time.Time) Amount {
	current := s.limit()
	if s.isConcurrency {
		target := s.inUse + missing
		if s.inUse*borrowAheadDenominator > current.Burst*borrowAheadNumerator {
			target = max(target, wholeUnits(s.inUse*headroomNumerator/headroomDenominator+Unit-1))
		}
		return Amount{Burst: min(target, ceiling.Burst)}
	}
	demand := s.demand.rate(now)
	if missing > 0 {
		// Requests wait, so the demand may have risen above its average over a second.
		demand = max(demand, s.demand.recentRate(now))
	}
	demand = min(demand, ceiling.Rate)
	if demand == 0 || len(s.borrowed) == 0 && missing == 0 && demand*borrowAheadDenominator <= current.Rate*borrowAheadNumerator {
		return Amount{}
	}
	target := Amount{Rate: min(demand*headroomNumerator/headroomDenominator+1, ceiling.Rate)}
	target.Burst = scale(ceiling.Burst, target.Rate, ceiling.Rate)
	target.Burst = min(max(target.Burst, missing, Unit), ceiling.Burst)
	return target
}

// plan returns the loans to request from lenders now: renewals of borrowed loans that
// are due, and more when the limit is below target. missing is the number of units
// that waiting requests lack, in thousandths.
func (s *share) plan(lenders []string, target Amount, missing int64, now time.Time) []LoanSpec {
	if target == (Amount{}) && missing == 0 && len(s.borrowed) == 0 {
		return nil
	}
	current := s.limit()
	deficit := target.sub(current).max(Amount{})
	requested := s.pendingLenders()
	if len(requested) > 0 {
		// The pending requests may already cover the deficit.
		for _, request := range s.pending {
			held := Amount{}
			if loan, ok := s.borrowed[request.Lender]; ok {
				held = loan.Amount
			}
			deficit = deficit.sub(request.Amount.sub(held).max(Amount{})).max(Amount{})
		}
	}
	var specs []LoanSpec
	if deficit != (Amount{}) || missing > 0 {
		specs = s.planMore(lenders, deficit, target, missing, now)
	}
	for _, spec := range specs {
		requested[spec.Lender] = true
	}
	for lender, loan := range s.borrowed {
		if !requested[lender] && now.Sub(loan.renewed) >= renewAfter {
			specs = append(specs, LoanSpec{Lender: lender, Amount: loan.Amount})
		}
	}
	slices.SortFunc(specs, func(a, b LoanSpec) int { return cmp.Compare(a.Lender, b.Lender) })
	return specs
}

func (s *share) pendingLenders() map[string]bool {
	lenders := make(map[string]bool, len(s.pending))
	for lender := range s.pending {
		lenders[lender] = true
	}
	return lenders
}

// planMore divides deficit among the first lenders that are not in backoff and have
// no pending request.
func (s *share) planMore(lenders []string, deficit, target Amount, missing int64, now time.Time) []LoanSpec {
	var chosen []string
	for _, lender := range lenders {
		_, pending := s.pending[lender]
		if waiting, ok := s.backoff[lender]; pending || ok && now.Sub(waiting.until) < 0 {
			continue
		}
		chosen = append(chosen, lender)
		if len(chosen) == maxLendersAsked {
			break
		}
	}
	specs := make([]LoanSpec, 0, len(chosen))
	for i, lender := range chosen {
		n := int64(len(chosen))
		more := Amount{Rate: (deficit.Rate + n - 1) / n, Burst: (deficit.Burst + n - 1) / n}
		if s.isConcurrency {
			more = Amount{Burst: deficit.part(i, len(chosen), true).Burst}
			if more.Burst == 0 {
				continue
			}
		}
		spec := LoanSpec{Lender: lender, Amount: more}
		if !s.isConcurrency {
			spec.Tokens = max(target.Burst-s.bucket.Tokens(), missing, 0)/n + 1
			spec.Burst = max(spec.Burst, spec.Tokens)
		}
		if loan, ok := s.borrowed[lender]; ok {
			spec.Amount = spec.Amount.add(loan.Amount)
		}
		specs = append(specs, spec)
	}
	return specs
}

// surplus returns the lenders whose loans the daemon does not need to have target,
// those of the smallest loans first.
func (s *share) surplus(target Amount) []string {
	if len(s.borrowed) == 0 {
		return nil
	}
	lenders := slices.SortedFunc(maps.Keys(s.borrowed), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.borrowed[a].Rate, s.borrowed[b].Rate), cmp.Compare(s.borrowed[a].Burst, s.borrowed[b].Burst), cmp.Compare(a, b))
	})
	current := s.limit()
	var spare []string
	for _, lender := range lenders {
		rest := current.sub(s.borrowed[lender].Amount)
		if _, pending := s.pending[lender]; pending || !rest.covers(target) {
			continue
		}
		spare = append(spare, lender)
		current = rest
	}
	return spare
}
