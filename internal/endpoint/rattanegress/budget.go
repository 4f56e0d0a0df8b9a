package rattanegress

import (
	"math"
	"time"

	"github.com/rattanstream/rattanstream/internal/limit/rattanbucket"
)

// A budget limits the bytes that leave the failure domain by choice. All bytes that
// leave are taken from it. What is sent without a choice may overdraw it, by at most
// the bytes of one second, so that the choice is back soon after such work has ended.
type budget struct {
	// bucket is nil when there is no limit. It holds the bytes of one second and, on top
	// of them, those that may be sent by choice, again of at most one second.
	bucket *rattanbucket.Bucket
}

func newBudget(bytesPerSecond int64, now time.Time) *budget {
	if bytesPerSecond == 0 {
		return &budget{}
	}
	units := bytesPerSecond * rattanbucket.Unit
	bucket := rattanbucket.New(units, 2*units, now)
	bucket.Add(2 * units)
	return &budget{bucket: bucket}
}

func (b *budget) isLimited() bool { return b.bucket != nil }

// left returns how many bytes may be sent now. It is negative while the budget is
// overdrawn.
func (b *budget) left(now time.Time) int64 {
	if b.bucket == nil {
		return math.MaxInt64
	}
	b.bucket.Refill(now)
	return (b.bucket.Tokens() - b.bucket.Rate()) / rattanbucket.Unit
}

func (b *budget) spend(bytes int64, now time.Time) {
	if b.bucket == nil {
		return
	}
	b.bucket.Refill(now)
	b.bucket.Take(min(bytes*rattanbucket.Unit, b.bucket.Tokens()))
}
