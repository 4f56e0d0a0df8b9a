package rattanshare

import (
	"testing"
	"time"
)

// A pair is a lender with a base share of rate 100/s and burst 100 (without the rate if
// the share is one of connections), and a borrower without a base share.
type pair struct {
	t                *testing.T
	lenderClock      *modelClock
	borrowerClock    *modelClock
	lender, borrower *Ledger
}

func newPair(t *testing.T, share string) *pair {
	t.Helper()
	base := time.Now()
	p := &pair{t: t, lenderClock: &modelClock{base: base}, borrowerClock: &modelClock{base: base}}
	p.lender = NewLedger(p.lenderClock, "lender", 1)
	p.borrower = NewLedger(p.borrowerClock, "borrower", 1)
	baseShare := Amount{Rate: 100 * Unit, Burst: 100 * Unit}
	if isConcurrencyShare(share) {
		baseShare.Rate = 0
	}
	p.lender.SetBase(share, baseShare, true)
	p.borrower.SetBase(share, Amount{}, true)
	p.advance(time.Second)
	return p
}

func (p *pair) advance(d time.Duration) {
	for _, clock := range []*modelClock{p.lenderClock, p.borrowerClock} {
		clock.mono += d
		clock.wall += d
	}
}

// request makes a request for half of the lender's share, with tokens.
func (p *pair) request(share string) BorrowRequest {
	p.t.Helper()
	spec := LoanSpec{Lender: "lender", Amount: Amount{Rate: 50 * Unit, Burst: 50 * Unit}, Tokens: 50 * Unit}
	request, ok := p.borrower.Borrow(share, spec)
	if !ok {
		p.t.Fatal("a request to the lender is already pending")
	}
	return request
}

// assertFree checks how many units the lender and the borrower can take.
func (p *pair) assertFree(share string, lender, borrower int64) {
	p.t.Helper()
	lent, _ := p.lender.Share(share)
	borrowed, _ := p.borrower.Share(share)
	if lent.Free != lender*Unit || borrowed.Free != borrower*Unit {
		p.t.Errorf("lender has %d and borrower %d thousandths free, want %d and %d units", lent.Free, borrowed.Free, lender, borrower)
	}
}

// TestLoanTime guards against a borrower that uses a loan after its end by either
// clock, and against a lender that reclaims a loan while the borrower may use it.
func TestLoanTime(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	if !p.borrower.Accept(request, p.lender.Lend(request)) {
		t.Fatal("a loan that arrived in time is not used")
	}
	p.assertFree(modelAccount, 50, 50)
	p.lender.Take(modelAccount, 20*Unit)
	p.lenderClock.wall += time.Hour
	p.assertFree(modelAccount, 30, 50)
	p.advance(time.Second)
	p.borrowerClock.wall -= time.Hour
	p.assertFree(modelAccount, 50, 50)
	p.borrowerClock.wall += time.Hour + LoanTTL
	p.assertFree(modelAccount, 50, 0)
	p.advance(reclaimTime - time.Second - 1)
	p.assertFree(modelAccount, 50, 0)
	p.advance(1)
	p.assertFree(modelAccount, 50, 0)
	p.advance(time.Second)
	p.assertFree(modelAccount, 100, 0)
}

// TestLateLoan guards against the use of a loan whose response took as long as the
// loan lasts.
func TestLateLoan(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	loan := p.lender.Lend(request)
	p.advance(LoanTTL)
	if p.borrower.Accept(request, loan) {
		t.Error("a loan whose response came after its end is used")
	}
	p.assertFree(modelAccount, 50, 0)
}

// TestEndedLoanDoesNotRefill guards against a bucket that refills at the rate of a loan
// for time after the loan's end.
func TestEndedLoanDoesNotRefill(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	p.borrower.SetBase(modelAccount, Amount{Burst: 1000 * Unit}, true)
	p.advance(10 * time.Second)
	p.assertFree(modelAccount, 50, 50)
}

// TestRepeatedReturn guards against messages about a loan that arrive again after its
// return and then add tokens to the lender's share or debit it.
func TestRepeatedReturn(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	loanReturn, _ := p.borrower.Return(modelAccount, "lender")
	p.lender.HandleReturn(loanReturn)
	p.assertFree(modelAccount, 100, 0)
	p.lender.Take(modelAccount, 10*Unit)
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v in response to a repeated request for a returned loan", loan)
	}
	p.lender.HandleReturn(loanReturn)
	p.assertFree(modelAccount, 90, 0)
	if loan := p.lender.Lend(p.request(modelAccount)); loan.Amount == (Amount{}) {
		t.Error("a new loan is refused after the return of an earlier one")
	}
}

// TestReturnEndsRequest guards against the use of a loan after its return, when the
// response to its renewal arrives later.
func TestReturnEndsRequest(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	renewal := p.request(modelAccount)
	loan := p.lender.Lend(renewal)
	loanReturn, _ := p.borrower.Return(modelAccount, "lender")
	p.lender.HandleReturn(loanReturn)
	if p.borrower.Accept(renewal, loan) {
		t.Error("a returned loan is used")
	}
}

// TestOwnDemandFirst guards against a lender that lends what it needs itself.
func TestOwnDemandFirst(t *testing.T) {
	p := newPair(t, modelAccount)
	for range 40 {
		p.lender.Take(modelAccount, Unit)
	}
	request := p.request(modelAccount)
	request.Burst = 20 * Unit
	loan := p.lender.Lend(request)
	p.assertFree(modelAccount, 50, 0)
	if want := (Amount{Rate: 50 * Unit, Burst: 20 * Unit}); loan.Amount != want || loan.Tokens != 10*Unit {
		t.Errorf("lent %v, want %v with 10 tokens, which are the 60 left less 1.25 times the demand", loan, want)
	}
	for range 40 {
		p.lender.Take(modelAccount, Unit)
	}
	request.VM = "other"
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v of a share that the lender needs itself, want nothing", loan)
	}
}

// TestConnections guards against connections that are lent, or returned, while they are
// in use, and against a borrower that does not learn from Excess how many connections
// to close after a loan's end.
func TestConnections(t *testing.T) {
	p := newPair(t, modelConnection)
	request := p.request(modelConnection)
	p.borrower.Accept(request, p.lender.Lend(request))
	p.assertFree(modelConnection, 50, 50)
	p.borrower.Take(modelConnection, 30*Unit)
	if _, ok := p.borrower.Return(modelConnection, "lender"); ok {
		t.Error("a loan was returned although its connections are in use")
	}
	p.advance(LoanTTL)
	if excess := p.borrower.Excess(modelConnection); excess != 30*Unit {
		t.Errorf("the excess is %d thousandths, want 30 units", excess)
	}
	p.borrower.Release(modelConnection, 30*Unit)
	p.advance(time.Second)
	p.assertFree(modelConnection, 100, 0)
	p.lender.Take(modelConnection, 80*Unit)
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v with 80 of 100 connections in use, want nothing", loan)
	}
}

// TestReclaimEachLoan guards against a lender that, when one loan has expired, also
// reclaims another one early because its wall clock was set forward.
func TestReclaimEachLoan(t *testing.T) {
	p := newPair(t, modelAccount)
	earlier := BorrowRequest{VM: "other", Incarnation: 1, Share: modelAccount, LoanID: 1, Amount: Amount{Rate: 20 * Unit, Burst: 20 * Unit}}
	p.lender.Lend(earlier)
	p.advance(time.Second)
	p.lender.Lend(p.request(modelAccount))
	p.lenderClock.wall += time.Hour
	p.advance(reclaimTime - time.Second)
	if share, _ := p.lender.Share(modelAccount); share.Lent != (Amount{Rate: 50 * Unit, Burst: 50 * Unit}) {
		t.Errorf("%v is lent, want only the later loan", share.Lent)
	}
}
