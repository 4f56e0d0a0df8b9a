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
