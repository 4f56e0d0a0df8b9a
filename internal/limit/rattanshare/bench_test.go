package rattanshare

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

var benchShares = []int{10, 100, 1000, 10_000}

func benchLedger(n int) (*Ledger, []string) {
	l := NewLedger(rattanclock.System(), "vm-a1", 1)
	names := make([]string, n)
	for i := range names {
		names[i] = AccountShare("shop/dealer-" + strconv.Itoa(i))
		l.SetBase(names[i], Amount{Rate: 1 << 40, Burst: 1 << 40}, true)
	}
	return l, names
}

func BenchmarkTake(b *testing.B) {
	for _, n := range benchShares {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, names := benchLedger(n)
			i := 0
			for b.Loop() {
				l.Take(names[i%n], 1)
				i++
			}
		})
	}
}

// BenchmarkLend renews loans to the 55 other owners of a share in a fleet with seven
// failure domains.
func BenchmarkLend(b *testing.B) {
	for _, n := range benchShares {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, names := benchLedger(n)
			borrowers := make([]string, 55)
			for i := range borrowers {
				borrowers[i] = "vm-" + strconv.Itoa(i)
			}
			i := 0
			for b.Loop() {
				l.Lend(BorrowRequest{VM: borrowers[i/n%len(borrowers)], Incarnation: 1, Share: names[i%n], LoanID: 1, Amount: Amount{Rate: Unit, Burst: Unit}})
				i++
			}
		})
	}
}

// BenchmarkTakeBorrowed takes from a share with loans from different numbers of
// lenders.
func BenchmarkTakeBorrowed(b *testing.B) {
	for _, n := range []int{0, 8, 55} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, names := benchLedger(1)
			for i := range n {
				request, _ := l.Borrow(names[0], LoanSpec{Lender: strconv.Itoa(i), Amount: Amount{Rate: Unit, Burst: Unit}})
				l.Accept(request, Loan{ID: request.LoanID, Amount: request.Amount, TTL: LoanTTL})
			}
			for b.Loop() {
				l.Take(names[0], 1)
			}
		})
	}
}

// BenchmarkPlan plans the loans of all shares of a daemon that uses each of them.
func BenchmarkPlan(b *testing.B) {
	for _, n := range benchShares {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, names := benchLedger(n)
			for b.Loop() {
				for _, name := range names {
					l.Take(name, 1)
					l.Plan(name, nil, Amount{Rate: 1 << 40, Burst: 1 << 40}, 0)
				}
			}
		})
	}
}

// BenchmarkSetRoster applies a new revision of a roster of 110 daemons.
func BenchmarkSetRoster(b *testing.B) {
	for _, n := range benchShares {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			shares := make(map[string]Amount, n)
			for i := range n {
				shares[AccountShare("shop/dealer-"+strconv.Itoa(i))] = Amount{Rate: Unit, Burst: Unit}
			}
			roster := Roster{}
			for i := range 110 {
				roster, _ = roster.Join(Member{VM: "vm-" + strconv.Itoa(i), Incarnation: 1})
			}
			m := New(rattanclock.System(), "vm-1", 1, "a", noPeers{})
			m.SetSettings(Settings{Revisions: map[string]uint64{"shop": 1}, Domains: []string{"a", "b"}, Shares: shares})
			for b.Loop() {
				roster.Revision++
				m.SetRoster("a", roster)
			}
		})
	}
}
