package rattanshare

import (
	"testing"
	"time"
)

// A pair is a lender with a home share of 100/s and 100, and a borrower without.
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
	home := Amount{Rate: 100 * Unit, Burst: 100 * Unit}
	if isWhole(share) {
		home.Rate = 0
	}
	p.lender.SetBase(share, home, true)
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

// request asks for half of the lender's share, with tokens.
func (p *pair) request(share string) BorrowRequest {
	p.t.Helper()
	ask := LoanSpec{Lender: "lender", Amount: Amount{Rate: 50 * Unit, Burst: 50 * Unit}, Tokens: 50 * Unit}
	request, ok := p.borrower.Borrow(share, ask)
	if !ok {
		p.t.Fatal("a request is already under way")
	}
	return request
}

// assertFree checks how many whole units each side can take.
func (p *pair) assertFree(share string, lender, borrower int64) {
	p.t.Helper()
	lent, _ := p.lender.Share(share)
	borrowed, _ := p.borrower.Share(share)
	if lent.Free != lender*Unit || borrowed.Free != borrower*Unit {
		p.t.Errorf("lender has %d and borrower %d thousandths free, want %d and %d units", lent.Free, borrowed.Free, lender, borrower)
	}
}

// TestLoanTime guards against a loan that a borrower uses after its end by either
// clock, or that a lender takes back before every borrower's end.
func TestLoanTime(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	if !p.borrower.Accept(request, p.lender.Lend(request)) {
		t.Fatal("loan is not used")
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

// TestLateLoan guards against a loan that is used although its response took as
// long as the loan lasts.
func TestLateLoan(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	loan := p.lender.Lend(request)
	p.advance(LoanTTL)
	if p.borrower.Accept(request, loan) {
		t.Error("late loan is used")
	}
	p.assertFree(modelAccount, 50, 0)
}

// TestEndedLoanDoesNotRefill guards against a bucket that refills at a loan's
// rate for time after the loan's end.
func TestEndedLoanDoesNotRefill(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	p.borrower.SetBase(modelAccount, Amount{Burst: 1000 * Unit}, true)
	p.advance(10 * time.Second)
	p.assertFree(modelAccount, 50, 50)
}

// TestRepeatedReturn guards against tokens made, or a share debited, by messages
// about a loan that arrive again after it has been returned.
func TestRepeatedReturn(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	back, _ := p.borrower.Return(modelAccount, "lender")
	p.lender.HandleReturn(back)
	p.assertFree(modelAccount, 100, 0)
	p.lender.Take(modelAccount, 10*Unit)
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v for a loan that was returned", loan)
	}
	p.lender.HandleReturn(back)
	p.assertFree(modelAccount, 90, 0)
	if loan := p.lender.Lend(p.request(modelAccount)); loan.Amount == (Amount{}) {
		t.Error("a new loan is refused after the return of an earlier one")
	}
}

// TestReturnEndsRequest guards against a loan that is used although it has been
// returned, because the answer to its renewal came later.
func TestReturnEndsRequest(t *testing.T) {
	p := newPair(t, modelAccount)
	request := p.request(modelAccount)
	p.borrower.Accept(request, p.lender.Lend(request))
	renewal := p.request(modelAccount)
	loan := p.lender.Lend(renewal)
	back, _ := p.borrower.Return(modelAccount, "lender")
	p.lender.HandleReturn(back)
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
		t.Errorf("lent %v, want %v with 10 tokens: 60 left, less 1.25 times the demand", loan, want)
	}
	for range 40 {
		p.lender.Take(modelAccount, Unit)
	}
	request.VM = "other"
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v of a share that it uses itself", loan)
	}
}

// TestConnections guards against connections that are lent while they are in use,
// and against a borrower that is not told to close what it has no share of.
func TestConnections(t *testing.T) {
	p := newPair(t, modelConnection)
	request := p.request(modelConnection)
	p.borrower.Accept(request, p.lender.Lend(request))
	p.assertFree(modelConnection, 50, 50)
	p.borrower.Take(modelConnection, 30*Unit)
	if _, ok := p.borrower.Return(modelConnection, "lender"); ok {
		t.Error("returned a loan whose connections are in use")
	}
	p.advance(LoanTTL)
	if excess := p.borrower.Excess(modelConnection); excess != 30*Unit {
		t.Errorf("%d thousandths to close, want 30 units", excess)
	}
	p.borrower.Release(modelConnection, 30*Unit)
	p.advance(time.Second)
	p.assertFree(modelConnection, 100, 0)
	p.lender.Take(modelConnection, 80*Unit)
	if loan := p.lender.Lend(request); loan.Amount != (Amount{}) {
		t.Errorf("lent %v, want nothing beside 80 in use", loan)
	}
}

// TestReclaimEachLoan guards against a lender that takes back a loan early
// because another has expired after its wall clock was set forward.
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
