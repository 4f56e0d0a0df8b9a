package rattanproxy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// TestLoadCodec guards against reports that change on their way, and against ones that
// look younger than they are.
func TestLoadCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond
		}
		load := rattanwork.Load{
			Endpoint: "e", StartedUnixMS: rapid.Int64Range(0, 1<<50).Draw(t, "started"), Owner: "a", Number: rapid.Uint64().Draw(t, "number"),
			Slots: rapid.IntRange(0, 99).Draw(t, "slots"), FreeSlots: rapid.IntRange(0, 99).Draw(t, "free"),
			FreeConnections: rapid.IntRange(0, 99).Draw(t, "connections"), ServiceTime: millis("service"),
			FailureShare: float64(rapid.IntRange(0, 1000).Draw(t, "failures")) / 1000,
			Position:     rattanmodel.Position{Term: 2, Index: rapid.Uint64().Draw(t, "index")}, PositionAge: millis("position age"),
		}
		for i := range load.Wait {
			load.Wait[i] = time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Millisecond
		}
		age := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "age"))
		encoded := encodeLoad(load, age)
		if got := time.Duration(encoded.GetAgeMs()) * time.Millisecond; got < age {
			t.Fatalf("age %s became %s", age, got)
		}
		got := decodeLoad(encoded)
		if got.PositionAge < load.PositionAge {
			t.Fatalf("position of %s before became one of %s before", load.PositionAge, got.PositionAge)
		}
		got.PositionAge = load.PositionAge
		if got != load {
			t.Fatalf("%+v became %+v", load, got)
		}
	})
}
