package rattanplacement

import (
	"slices"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

func now() time.Time { return time.Unix(1000, 0) }

func floor(index uint64) rattanmodel.Position { return rattanmodel.Position{Term: 1, Index: index} }

// TestOrder guards against reads at the wrong place under each kind of load.
func TestOrder(t *testing.T) {
	local := Candidate{ID: "local", IsLocal: true}
	remote := Candidate{ID: "remote"}
	primary := Candidate{ID: "primary", IsPrimary: true}
	busy := Candidate{ID: "local", IsLocal: true, Wait: 100 * time.Millisecond}
	behind := Candidate{ID: "local", IsLocal: true, Behind: floor(9), BehindSince: now(), BehindCount: 1, KnownPosition: floor(5)}
	caughtUp := Candidate{ID: "local", IsLocal: true, Behind: floor(9), BehindSince: now(), BehindCount: 1, KnownPosition: floor(12)}
	lost := Candidate{ID: "local", IsLocal: true, IsSuspect: true}
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       []string
	}{
		{"quiet: the own failure domain first, the primary last", []Candidate{primary, remote, local}, []string{"local", "remote", "primary"}},
		{"congested own failure domain: another one", []Candidate{primary, remote, busy}, []string{"remote", "primary", "local"}},
		{"lagging replica: asked last", []Candidate{primary, remote, behind}, []string{"remote", "primary", "local"}},
		{"replica that has caught up: asked again", []Candidate{primary, remote, caughtUp}, []string{"local", "remote", "primary"}},
		{"lost endpoint: after all others", []Candidate{lost, primary, remote}, []string{"remote", "primary", "local"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Rank(test.candidates, floor(10), now()); !slices.Equal(got, test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

// TestBehindIsAskedLessOften replays a replica that stays behind for seconds: each
// refusal doubles the pause, up to a bound after which it is tried again.
func TestBehindIsAskedLessOften(t *testing.T) {
	for _, test := range []struct {
		count int
		want  time.Duration
	}{{1, minBehind}, {2, 2 * minBehind}, {3, 4 * minBehind}, {10, maxBehind}, {1000, maxBehind}} {
		if got := (Candidate{BehindCount: test.count}).behindTime(); got != test.want {
			t.Errorf("after %d refusals %s, want %s", test.count, got, test.want)
		}
	}
}
