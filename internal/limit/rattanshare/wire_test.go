package rattanshare

import (
	"math"
	"testing"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestWire guards against a field that is lost on the way to a peer, and an
// amount that becomes negative.
func TestWire(t *testing.T) {
	request := BorrowRequest{VM: "vm-a1", Incarnation: 2, Share: modelAccount, LoanID: 3, Amount: Amount{4, 5}, Tokens: 6, SettingsDigest: 7, RosterRevision: 8}
	if got := BorrowRequestFromWire(request.Wire()); got != request {
		t.Errorf("request %+v became %+v", request, got)
	}
	loan := Loan{ID: 1, Amount: Amount{2, 3}, Tokens: 4, TTL: LoanTTL}
	if got := LoanFromWire(loan.Wire()); got != loan {
		t.Errorf("loan %+v became %+v", loan, got)
	}
	back := LoanReturn{VM: "vm-a1", Incarnation: 2, Share: modelAccount, LoanID: 3, Tokens: 4}
	if got := LoanReturnFromWire(back.Wire()); got != back {
		t.Errorf("return %+v became %+v", back, got)
	}
	if got := LoanFromWire(&rattanv1.BorrowResponse{RateMilli: math.MaxUint64}); got.Rate != maxAmount {
		t.Errorf("rate %d, want the bound %d", got.Rate, int64(maxAmount))
	}
}
