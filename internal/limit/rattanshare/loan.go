package rattanshare

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// LoanTTL is how long a borrower may use a loan, counted from the time at which
	// it made its request.
	LoanTTL = 2 * time.Second
	// reclaimTime is how long a lender waits after its response before it uses the
	// lent amount again: LoanTTL, 1% of it for the drift between two clocks, and a
	// margin of 50 ms.
	reclaimTime = LoanTTL + LoanTTL/100 + 50*time.Millisecond
)

// A BorrowRequest asks a lender for a loan, or for the renewal of the loan with the
// same LoanID. Rate and Burst are the total that the borrower wants to have from this
// lender.
type BorrowRequest struct {
	// VM and Incarnation name the borrower.
	VM          string
	Incarnation uint64
	Share       string
	// LoanID identifies the loan; it is unique for the borrower's incarnation.
	LoanID uint64
	Amount
	// Tokens is the number of tokens wanted in addition, in thousandths.
	Tokens int64
	// SettingsDigest and RosterRevision identify the settings and the roster of its
	// failure domain that the borrower uses.
	SettingsDigest uint64
	RosterRevision uint64

	// Lender is the VM to ask. It is not part of the message.
	Lender string
	// sent is when the borrower made the request, by its own clock.
	sent time.Time
}

// A Loan is the response to a BorrowRequest. A Loan without rate and burst grants
// nothing; it does not renew an earlier loan with the same ID, and does not end it
// either.
type Loan struct {
	ID uint64
	Amount
	// Tokens is the number of tokens granted, in thousandths.
	Tokens int64
	// TTL is how long the loan lasts, counted from when the request was sent.
	TTL time.Duration
}

// A LoanReturn ends a loan early. The borrower has already stopped using it.
type LoanReturn struct {
	VM          string
	Incarnation uint64
	Share       string
	LoanID      uint64
	// Tokens is the number of tokens given back, in thousandths.
	Tokens int64

	// Lender is the VM to return the loan to. It is not part of the message.
	Lender string
}

// A borrowedLoan is a loan as its borrower sees it.
type borrowedLoan struct {
	loan uint64
	Amount
	end     time.Time
	renewed time.Time
}

// isOver reports whether the loan has ended by the monotonic or the wall clock.
func (b *borrowedLoan) isOver(now time.Time) bool {
	return rattanclock.Elapsed(b.end, now) >= 0
}

type loanKey struct {
	vm          string
	incarnation uint64
	loan        uint64
}

// A lentLoan is a loan as its lender sees it. Responses can be lost, so the borrower
// may hold the amount of any response that has not expired. The lender therefore
// debits the largest of them.
type lentLoan struct {
	responses []lentResponse
	debit     Amount
}

// A returnedLoan identifies the last loan that a borrower returned. The borrower's
// later loans have higher numbers, so messages about this loan or one with a lower
// number are outdated.
type returnedLoan struct {
	incarnation uint64
	loan        uint64
}

// covers reports whether messages about the given loan are outdated.
func (r returnedLoan) covers(incarnation, loan uint64) bool {
	return incarnation < r.incarnation || incarnation == r.incarnation && loan <= r.loan
}

type lentResponse struct {
	Amount
	at time.Time
}

// add records a response. It drops the earlier responses for no more than amount,
// because the new one expires last.
func (l *lentLoan) add(amount Amount, now time.Time) {
	kept := l.responses[:0]
	for _, response := range l.responses {
		if !amount.covers(response.Amount) {
			kept = append(kept, response)
		}
	}
	l.responses = append(kept, lentResponse{Amount: amount, at: now})
	l.update()
}

// reclaim drops the responses that the borrower can no longer use. It uses the
// monotonic clock only: a wall clock that is set forward must not end a loan that
// the borrower still uses.
func (l *lentLoan) reclaim(now time.Time) {
	kept := l.responses[:0]
	for _, response := range l.responses {
		if now.Sub(response.at) < reclaimTime {
			kept = append(kept, response)
		}
	}
	l.responses = kept
	l.update()
}

func (l *lentLoan) update() {
	l.debit = Amount{}
	for _, response := range l.responses {
		l.debit = l.debit.max(response.Amount)
	}
}
