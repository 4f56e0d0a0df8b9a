package rattanshare

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Wire returns r as a wire message.
func (r BorrowRequest) Wire() *rattanv1.BorrowRequest {
	return &rattanv1.BorrowRequest{
		FromVm:           r.VM,
		FromIncarnation:  r.Incarnation,
		Share:            r.Share,
		RateMilli:        toWire(r.Rate),
		BurstMilli:       toWire(r.Burst),
		TokensMilli:      toWire(r.Tokens),
		Loan:             r.LoanID,
		SettingsRevision: r.SettingsDigest,
		RosterRevision:   r.RosterRevision,
	}
}

// BorrowRequestFromWire converts a wire message.
func BorrowRequestFromWire(r *rattanv1.BorrowRequest) BorrowRequest {
	return BorrowRequest{
		VM:             r.GetFromVm(),
		Incarnation:    r.GetFromIncarnation(),
		Share:          r.GetShare(),
		LoanID:         r.GetLoan(),
		Amount:         Amount{Rate: fromWire(r.GetRateMilli()), Burst: fromWire(r.GetBurstMilli())},
		Tokens:         fromWire(r.GetTokensMilli()),
		SettingsDigest: r.GetSettingsRevision(),
		RosterRevision: r.GetRosterRevision(),
	}
}

// Wire returns l as a wire message.
func (l Loan) Wire() *rattanv1.BorrowResponse {
	return &rattanv1.BorrowResponse{
		Loan:        l.ID,
		RateMilli:   toWire(l.Rate),
		BurstMilli:  toWire(l.Burst),
		TokensMilli: toWire(l.Tokens),
		TtlMs:       uint32(max(l.TTL.Milliseconds(), 0)),
	}
}

// LoanFromWire converts a wire message.
func LoanFromWire(l *rattanv1.BorrowResponse) Loan {
	return Loan{
		ID:     l.GetLoan(),
		Amount: Amount{Rate: fromWire(l.GetRateMilli()), Burst: fromWire(l.GetBurstMilli())},
		Tokens: fromWire(l.GetTokensMilli()),
		TTL:    time.Duration(l.GetTtlMs()) * time.Millisecond,
	}
}

// Wire returns r as a wire message.
func (r LoanReturn) Wire() *rattanv1.ReturnLoanRequest {
	return &rattanv1.ReturnLoanRequest{
		FromVm:          r.VM,
		FromIncarnation: r.Incarnation,
		Loan:            r.LoanID,
		TokensMilli:     toWire(r.Tokens),
		Share:           r.Share,
	}
}

// LoanReturnFromWire converts a wire message.
func LoanReturnFromWire(r *rattanv1.ReturnLoanRequest) LoanReturn {
	return LoanReturn{
		VM:          r.GetFromVm(),
		Incarnation: r.GetFromIncarnation(),
		Share:       r.GetShare(),
		LoanID:      r.GetLoan(),
		Tokens:      fromWire(r.GetTokensMilli()),
	}
}

func toWire(amount int64) uint64 { return uint64(max(amount, 0)) }

// fromWire limits an amount to the accepted range.
func fromWire(amount uint64) int64 { return int64(min(amount, maxAmount)) }
