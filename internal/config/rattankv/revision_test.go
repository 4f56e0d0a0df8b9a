package rattankv

import (
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestRevisionOrder guards against a revision of an earlier era that counts as newer
// than one that the store has given out after it was restored.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(0, 1<<16-2).Draw(t, "era")
		number := rapid.Int64Range(0, 1<<numberBits-1).Draw(t, "number")
		next := rapid.Int64Range(0, 1<<numberBits-1).Draw(t, "next")
		before, err := NewRevision(era, number)
		if err != nil {
			t.Fatal(err)
		}
		after, err := NewRevision(era+1, next)
		if err != nil {
			t.Fatal(err)
		}
		if before >= after || before.Era() != era || before.Number() != number {
			t.Fatalf("%s and %s, want %d.%d below %d.%d", before, after, era, number, era+1, next)
		}
	})
}

// TestRevisionRange guards against a number that spills into the era.
func TestRevisionRange(t *testing.T) {
	for _, test := range []struct{ era, number int64 }{{-1, 1}, {1, -1}, {1 << 16, 1}, {1, 1 << numberBits}} {
		if _, err := NewRevision(test.era, test.number); !errors.Is(err, ErrMalformed) {
			t.Errorf("era %d, number %d: error %v, want ErrMalformed", test.era, test.number, err)
		}
	}
}

// TestNextNumber guards against a number that is given out in two eras, or that is lower
// than one that a restored store has lost.
func TestNextNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(1, 1000).Draw(t, "era")
		copied := rapid.Int64Range(0, era*numbersPerEra).Draw(t, "copied")
		lost := copied
		for range rapid.IntRange(1, 1000).Draw(t, "lost") {
			lost = NextNumber(lost, era)
		}
		if next := NextNumber(copied, era+1); next <= lost {
			t.Fatalf("%d in era %d after %d in era %d", next, era+1, lost, era)
		}
	})
}
