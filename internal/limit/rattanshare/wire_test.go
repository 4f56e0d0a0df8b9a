package rattanshare

import (
	"math"
	"testing"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestWire guards against a field that is lost in the conversion to a wire message and
// back, and against an amount that becomes negative.
func TestWire(t *testing.T) {
	request := BorrowRequest{VM: "vm-a1", Incarnation: 2, Share: modelAccount, LoanID: 3, Amount: Amount{4, 5}, Tokens: 6, SettingsDigest: 7, RosterRevision: 8}
	if got := BorrowRequestFromWire(request.Wire()); got != request {
		t.Errorf("request %+v became %+v after conversion", request, got)
	}
	loan := Loan{ID: 1, Amount: Amount{2, 3}, Tokens: 4, TTL: LoanTTL}
	if got := LoanFromWire(loan.Wire()); got != loan {
		t.Errorf("loan %+v became %+v", loan, got)
	}
	loanReturn := LoanReturn{VM: "vm-a1", Incarnation: 2, Share: modelAccount, LoanID: 3, Tokens: 4}
	if got := LoanReturnFromWire(loanReturn.Wire()); got != loanReturn {
		t.Errorf("return %+v became %+v", loanReturn, got)
	}
	if got := LoanFromWire(&rattanv1.BorrowResponse{RateMilli: math.MaxUint64}); got.Rate != maxAmount {
		t.Errorf("the rate is %d, want the largest accepted amount %d", got.Rate, int64(maxAmount))
	}
}
