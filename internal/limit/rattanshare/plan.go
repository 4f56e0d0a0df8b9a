package rattanshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// A daemon borrows ahead when its demand is above 70% of what it has.
	aheadNumerator   = 7
	aheadDenominator = 10
	// A loan is renewed when this much time has passed since it was asked for,
	// which leaves as much again for attempts.
	renewTime = LoanTTL / 2
	// maxAsks is the largest number of lenders asked at a time.
	maxAsks = 8
	// A lender that could not give all that was asked is not asked for more
	// during backoffTime. The time doubles, up to a limit, while it gives nothing,
	// so that the peers of an overloaded client account are not asked all the time.
	backoffTime = 50 * time.Millisecond
	// backoffTimePerLender is the longest backoff divided by the number of lenders. It
	// bounds the requests for one share to 40 per second, however many lenders
	// there are.
	backoffTimePerLender = 25 * time.Millisecond
)

// A lenderBackoff says until when a lender is not asked for more.
type lenderBackoff struct {
	until time.Time
	last  time.Duration
}

// noteShortfall records that lender gave less than asked, or nothing.
func (s *share) noteShortfall(lender string, nothing bool, now time.Time) {
	last := backoffTime
	if nothing {
		limit := max(time.Duration(s.lenders)*backoffTimePerLender, backoffTime)
		last = min(max(s.backoff[lender].last*2, backoffTime), limit)
	}
	s.backoff[lender] = lenderBackoff{until: now.Add(last), last: last}
}

// noteAnswer records how much of a request the lender gave.
func (s *share) noteAnswer(request BorrowRequest, amount Amount, tokens int64, now time.Time) {
	if amount.covers(request.Amount) && tokens >= request.Tokens {
		delete(s.backoff, request.Lender)
		return
	}
	s.noteShortfall(request.Lender, amount == Amount{}, now)
}

// target returns what the daemon should have: 1.25 times its demand once the
// demand is above 70% of what it has, at most ceiling, and enough burst for
// missing units for requests that wait.
func (s *share) target(ceiling Amount, missing int64, now time.Time) Amount {
	have := s.limit()
	if s.whole {
		target := s.inUse + missing
		if s.inUse*aheadDenominator > have.Burst*aheadNumerator {
			target = max(target, wholeUnits(s.inUse*keepNumerator/keepDenominator+Unit-1))
		}
		return Amount{Burst: min(target, ceiling.Burst)}
	}
	demand := s.demand.rate(now)
	if missing > 0 {
		// Requests wait, so the average over a second is behind the demand.
		demand = max(demand, s.demand.recent(now))
	}
	demand = min(demand, ceiling.Rate)
	if demand == 0 || len(s.borrowed) == 0 && missing == 0 && demand*aheadDenominator <= have.Rate*aheadNumerator {
		return Amount{}
	}
	target := Amount{Rate: min(demand*keepNumerator/keepDenominator+1, ceiling.Rate)}
	target.Burst = scale(ceiling.Burst, target.Rate, ceiling.Rate)
	target.Burst = min(max(target.Burst, missing, Unit), ceiling.Burst)
	return target
}

// plan returns what to ask of which of lenders now: renewals of the loans in use,
// and more when the daemon has less than target. missing is the number of units
// that waiting requests lack.
func (s *share) plan(lenders []string, target Amount, missing int64, now time.Time) []LoanSpec {
	if target == (Amount{}) && missing == 0 && len(s.borrowed) == 0 {
		return nil
	}
	have := s.limit()
	deficit := target.sub(have).max(Amount{})
	asked := s.pendingLenders()
	if len(asked) > 0 {
		// The answers under way may already cover the deficit.
		for _, request := range s.pending {
			held := Amount{}
			if loan, ok := s.borrowed[request.Lender]; ok {
				held = loan.Amount
			}
			deficit = deficit.sub(request.Amount.sub(held).max(Amount{})).max(Amount{})
		}
	}
	var asks []LoanSpec
	if deficit != (Amount{}) || missing > 0 {
		asks = s.planMore(lenders, deficit, target, missing, now)
	}
	for _, ask := range asks {
		asked[ask.Lender] = true
	}
	for lender, loan := range s.borrowed {
		if !asked[lender] && now.Sub(loan.renewed) >= renewTime {
			asks = append(asks, LoanSpec{Lender: lender, Amount: loan.Amount})
		}
	}
	slices.SortFunc(asks, func(a, b LoanSpec) int { return cmp.Compare(a.Lender, b.Lender) })
	return asks
}

func (s *share) pendingLenders() map[string]bool {
	lenders := make(map[string]bool, len(s.pending))
	for lender := range s.pending {
		lenders[lender] = true
	}
	return lenders
}

// planMore divides deficit among the first lenders that are neither in backoff nor
// being asked.
func (s *share) planMore(lenders []string, deficit, target Amount, missing int64, now time.Time) []LoanSpec {
	var chosen []string
	for _, lender := range lenders {
		_, pending := s.pending[lender]
		if waiting, ok := s.backoff[lender]; pending || ok && now.Sub(waiting.until) < 0 {
			continue
		}
		chosen = append(chosen, lender)
		if len(chosen) == maxAsks {
			break
		}
	}
	asks := make([]LoanSpec, 0, len(chosen))
	for i, lender := range chosen {
		n := int64(len(chosen))
		more := Amount{Rate: (deficit.Rate + n - 1) / n, Burst: (deficit.Burst + n - 1) / n}
		if s.whole {
			more = Amount{Burst: deficit.part(i, len(chosen), true).Burst}
			if more.Burst == 0 {
				continue
			}
		}
		ask := LoanSpec{Lender: lender, Amount: more}
		if !s.whole {
			ask.Tokens = max(target.Burst-s.bucket.Tokens(), missing, 0)/n + 1
			ask.Burst = max(ask.Burst, ask.Tokens)
		}
		if loan, ok := s.borrowed[lender]; ok {
			ask.Amount = ask.Amount.add(loan.Amount)
		}
		asks = append(asks, ask)
	}
	return asks
}

// surplus returns the lenders whose loans the daemon does not need for target,
// smallest loans first.
func (s *share) surplus(target Amount) []string {
	if len(s.borrowed) == 0 {
		return nil
	}
	lenders := slices.SortedFunc(maps.Keys(s.borrowed), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.borrowed[a].Rate, s.borrowed[b].Rate), cmp.Compare(s.borrowed[a].Burst, s.borrowed[b].Burst), cmp.Compare(a, b))
	})
	have := s.limit()
	var spare []string
	for _, lender := range lenders {
		rest := have.sub(s.borrowed[lender].Amount)
		if _, pending := s.pending[lender]; pending || !rest.covers(target) {
			continue
		}
		spare = append(spare, lender)
		have = rest
	}
	return spare
}
