package rattanshare

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

// claimTTL is how long a lender takes a borrower's last request into account when
// it divides what it can lend among the borrowers.
const claimTTL = LoanTTL

// A share is one daemon's part of one rate or concurrency share. Its limit is its
// base share, less what it has lent, plus what it has borrowed.
type share struct {
	mu            sync.Mutex
	name          string
	isConcurrency bool

	base   Amount
	bucket *rattanbucket.Bucket
	// inUse is the number of connections held, in thousandths; for concurrency
	// shares only.
	inUse int64

	lent    map[loanKey]*lentLoan
	lentSum Amount
	// nextReclaim is a lower bound of the time at which the first lent loan can be
	// reclaimed, wholly or in part.
	nextReclaim time.Time

	borrowed    map[string]*borrowedLoan // by lender
	borrowedSum Amount
	// firstEnd and firstWallEnd are lower bounds of the time at which the first
	// borrowed loan ends, by the monotonic and by the wall clock. Until then refresh
	// need not go through the borrowed loans.
	firstEnd     time.Time
	firstWallEnd time.Time

	pending  map[string]BorrowRequest // by lender
	claims   map[string]claim         // by borrower
	returned map[string]returnedLoan  // by borrower
	// claimSum is the sum of claims. None of them is older than oldestClaim.
	claimSum    Amount
	oldestClaim time.Time
	backoff     map[string]lenderBackoff // by lender
	lenders     int                      // number of peers that hold base shares, as of the last Plan
	demand      demand
	active      bool
}

// A claim is the amount that a borrower last requested.
type claim struct {
	Amount
	at time.Time
}

func newShare(name string, now time.Time) *share {
	return &share{
		name:          name,
		isConcurrency: isConcurrencyShare(name),
		bucket:        rattanbucket.New(0, 0, now),
		lent:          make(map[loanKey]*lentLoan),
		borrowed:      make(map[string]*borrowedLoan),
		pending:       make(map[string]BorrowRequest),
		returned:      make(map[string]returnedLoan),
		claims:        make(map[string]claim),
		backoff:       make(map[string]lenderBackoff),
	}
}

// refresh updates the share to the time now. It drops ended borrowed loans before
// it refills the bucket, so that their rate does not count for the time since the
// last call: after a pause it is not known when within that time they ended. It
// reclaims expired lent loans after the refill, so that their rate counts only from
// now on.
func (s *share) refresh(now time.Time) {
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

// sumBorrowed recomputes the fields and limits that depend on the borrowed loans.
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

// sumLent recomputes the fields and limits that depend on the lent loans. When a
// loan is renewed afterwards, nextReclaim is too early, which only makes refresh look
// for expired loans once more.
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

// limit returns what the daemon may use now. Neither rate nor burst is negative,
// even while the base share has been reduced below what is lent.
func (s *share) limit() Amount {
	return s.base.add(s.borrowedSum).sub(s.lentSum).max(Amount{})
}

func (s *share) applyLimit() {
	limit := s.limit()
	s.bucket.SetLimits(limit.Rate, limit.Burst)
}

// free returns the number of units that can be taken now, in thousandths.
func (s *share) free() int64 {
	if s.isConcurrency {
		return max(s.limit().Burst-s.inUse, 0)
	}
	return s.bucket.Tokens()
}

// take takes units thousandths and returns true, or returns false and takes nothing
// when fewer are free.
func (s *share) take(units int64) bool {
	if !s.isConcurrency {
		return s.bucket.Take(units)
	}
	if units < 0 || units > s.free() {
		return false
	}
	s.inUse += units
	return true
}

// reductionApplied reports whether the base share covers what is lent, and for a
// concurrency share also whether the limit covers what is in use. Until then a
// reduction of the base share is not complete.
func (s *share) reductionApplied() bool {
	return s.base.covers(s.lentSum) && s.inUse <= s.limit().Burst
}

// currentDemand returns the demand at now, in thousandths: for a concurrency share
// the units in use, for a rate share the units requested in the last second.
func (s *share) currentDemand(now time.Time) int64 {
	if s.isConcurrency {
		return s.inUse
	}
	return s.demand.rate(now)
}

// idle reports whether the share needs no periodic work.
func (s *share) idle(now time.Time) bool {
	return len(s.borrowed) == 0 && len(s.lent) == 0 && len(s.pending) == 0 && s.currentDemand(now) == 0
}
