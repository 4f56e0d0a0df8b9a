package rattanshare

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

// claimTime is how long a lender remembers what a borrower asked for when it
// divides what it can lend.
const claimTime = LoanTTL

// A share is one daemon's part of one share. Its limit is its home share, less
// what it has lent, plus what it has borrowed.
type share struct {
	mu    sync.Mutex
	name  string
	whole bool

	base   Amount
	bucket *rattanbucket.Bucket
	// inUse is the number of connections held, in thousandths; for whole shares only.
	inUse int64

	lent    map[loanKey]*lentLoan
	lentSum Amount
	// nextReclaim is a lower bound of the time at which the first response expires.
	nextReclaim time.Time

	borrowed    map[string]*borrowedLoan // by lender
	borrowedSum Amount
	// firstEnd and firstWallEnd are lower bounds of the first end of a borrowed
	// loan by the monotonic and by the wall clock. They save a look at every loan
	// at every spend.
	firstEnd     time.Time
	firstWallEnd time.Time

	pending  map[string]BorrowRequest // by lender
	claims   map[string]claim         // by borrower
	returned map[string]returnedLoan  // by borrower
	// claimSum is the sum of claims, of which none is older than oldestClaim.
	claimSum    Amount
	oldestClaim time.Time
	backoff     map[string]lenderBackoff // by lender
	lenders     int                      // number of peers that hold home shares, as of the last plan
	demand      demand
	active      bool
}

// A claim is what a borrower last asked for.
type claim struct {
	Amount
	at time.Time
}

func newShare(name string, now time.Time) *share {
	return &share{
		name:     name,
		whole:    isWhole(name),
		bucket:   rattanbucket.New(0, 0, now),
		lent:     make(map[loanKey]*lentLoan),
		borrowed: make(map[string]*borrowedLoan),
		pending:  make(map[string]BorrowRequest),
		returned: make(map[string]returnedLoan),
		claims:   make(map[string]claim),
		backoff:  make(map[string]lenderBackoff),
	}
}

// settle brings the share to the time now. A borrowed loan that has ended goes
// first, and its rate does not count for the time since the last call, because
// after a pause it is not known when within that time it ended. A lent loan that
// has expired comes last, so that its rate counts from now on only.
func (s *share) settle(now time.Time) {
	if len(s.borrowed) > 0 && (rattanclock.Elapsed(s.firstEnd, now) >= 0 || rattanclock.Elapsed(s.firstWallEnd, now) >= 0) {
		s.endBorrowed(now)
	}
	s.bucket.Refill(now)
	if len(s.lent) > 0 && now.Sub(s.nextReclaim) >= 0 {
		s.reclaimLent(now)
	}
}

func (s *share) endBorrowed(now time.Time) {
	for lender, loan := range s.borrowed {
		if loan.isOver(now) {
			delete(s.borrowed, lender)
		}
	}
	s.sumBorrowed()
}

func (s *share) reclaimLent(now time.Time) {
	for key, loan := range s.lent {
		loan.reclaim(now)
		if len(loan.responses) == 0 {
			delete(s.lent, key)
		}
	}
	s.sumLent()
}

// sumBorrowed recomputes what depends on the borrowed loans.
func (s *share) sumBorrowed() {
	s.borrowedSum = Amount{}
	first := true
	for _, loan := range s.borrowed {
		s.borrowedSum = s.borrowedSum.add(loan.Amount)
		if first || loan.end.Before(s.firstEnd) {
			s.firstEnd = loan.end
		}
		if first || loan.end.Round(0).Before(s.firstWallEnd) {
			s.firstWallEnd = loan.end.Round(0)
		}
		first = false
	}
	s.applyLimit()
}

// sumLent recomputes what depends on the lent loans. A loan that is renewed later
// leaves nextReclaim too early, which is harmless.
func (s *share) sumLent() {
	s.lentSum = Amount{}
	first := true
	for _, loan := range s.lent {
		s.lentSum = s.lentSum.add(loan.debit)
		for _, response := range loan.responses {
			if end := response.at.Add(reclaimTime); first || end.Before(s.nextReclaim) {
				s.nextReclaim = end
				first = false
			}
		}
	}
	s.applyLimit()
}

// limit is what the daemon may use now. It is below zero for no component, even
// while the home share has been reduced below what is lent.
func (s *share) limit() Amount {
	return s.base.add(s.borrowedSum).sub(s.lentSum).max(Amount{})
}

func (s *share) applyLimit() {
	limit := s.limit()
	s.bucket.SetLimits(limit.Rate, limit.Burst)
}

// free returns the units that can be taken now, in thousandths.
func (s *share) free() int64 {
	if s.whole {
		return max(s.limit().Burst-s.inUse, 0)
	}
	return s.bucket.Tokens()
}

// take removes units when they are free.
func (s *share) take(units int64) bool {
	if !s.whole {
		return s.bucket.Take(units)
	}
	if units < 0 || units > s.free() {
		return false
	}
	s.inUse += units
	return true
}

// settled reports whether the home share covers what is lent, and for a whole
// share whether the limit covers what is in use. Until then a reduction of the
// home share is not complete.
func (s *share) settled() bool {
	return s.base.covers(s.lentSum) && s.inUse <= s.limit().Burst
}

// wanted returns the demand at now: for a whole share the units in use, else the
// units asked for in the last second.
func (s *share) wanted(now time.Time) int64 {
	if s.whole {
		return s.inUse
	}
	return s.demand.rate(now)
}

// idle reports whether the share needs no periodic work.
func (s *share) idle(now time.Time) bool {
	return len(s.borrowed) == 0 && len(s.lent) == 0 && len(s.pending) == 0 && s.wanted(now) == 0
}
