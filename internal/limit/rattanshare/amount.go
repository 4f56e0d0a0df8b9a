// Package rattanshare divides the rate and burst of each client account, and the
// connections of each endpoint, among the daemons so that the sum over all daemons
// never exceeds the total. Each daemon that owns a base share lends what it does not
// need to other daemons for a short time.
package rattanshare

import (
	"math/bits"
	"strings"

	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

// Unit is one request or one connection, in the thousandths that all amounts count.
const Unit = rattanbucket.Unit

const (
	accountPrefix    = "account/"
	connectionPrefix = "connection/"
)

// maxAmount bounds each amount so that sums and products do not overflow.
const maxAmount = 1 << 50

// AccountShare returns the name of the share of a client account.
func AccountShare(clientAccount string) string { return accountPrefix + clientAccount }

// ConnectionShare returns the name of the share of an endpoint's connections.
func ConnectionShare(endpoint string) string { return connectionPrefix + endpoint }

// isConcurrencyShare reports whether a share limits whole units that are held and
// released, such as connections. A rate share has tokens that are spent and refilled.
func isConcurrencyShare(share string) bool { return strings.HasPrefix(share, connectionPrefix) }

// An Amount is a part of a share.
type Amount struct {
	// Rate is the refill rate in thousandths of a unit per second. It is 0 for connections.
	Rate int64 `json:"rate_milli"`
	// Burst is the bucket depth, or the number of connections, in thousandths of a unit.
	Burst int64 `json:"burst_milli"`
}

func (a Amount) add(b Amount) Amount { return Amount{a.Rate + b.Rate, a.Burst + b.Burst} }

func (a Amount) sub(b Amount) Amount { return Amount{a.Rate - b.Rate, a.Burst - b.Burst} }

func (a Amount) min(b Amount) Amount { return Amount{min(a.Rate, b.Rate), min(a.Burst, b.Burst)} }

func (a Amount) max(b Amount) Amount { return Amount{max(a.Rate, b.Rate), max(a.Burst, b.Burst)} }

// clamp returns a within the accepted range, 0 to maxAmount.
func (a Amount) clamp() Amount { return a.max(Amount{}).min(Amount{maxAmount, maxAmount}) }

// covers reports whether a is at least b in rate and in burst.
func (a Amount) covers(b Amount) bool { return a.Rate >= b.Rate && a.Burst >= b.Burst }

// part returns the part with the given index when a is divided into n parts. The
// parts add up to a, and no part shrinks when a grows. If integral is true, a is
// rounded down to whole units and divided in whole units.
func (a Amount) part(index, n int, integral bool) Amount {
	if n <= 0 || index < 0 || index >= n {
		return Amount{}
	}
	unit := int64(1)
	if integral {
		unit = Unit
	}
	split := func(total int64) int64 {
		return (total/unit + int64(n-1-index)) / int64(n) * unit
	}
	return Amount{split(a.Rate), split(a.Burst)}
}

// scale returns value*numerator/denominator rounded down, and value when
// numerator is at least denominator. All arguments are 0 or positive.
func scale(value, numerator, denominator int64) int64 {
	if numerator >= denominator {
		return value
	}
	high, low := bits.Mul64(uint64(value), uint64(numerator))
	result, _ := bits.Div64(high, low, uint64(denominator))
	return int64(result)
}

// wholeUnits returns value rounded down to whole units.
func wholeUnits(value int64) int64 { return value / Unit * Unit }
