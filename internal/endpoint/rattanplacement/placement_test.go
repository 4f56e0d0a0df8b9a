package rattanplacement

import (
	"slices"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

func now() time.Time { return time.Unix(1000, 0) }

func position(index uint64) rattanmodel.Position { return rattanmodel.Position{Term: 1, Index: index} }

// TestRankOrder guards against reads that prefer a slow, lagging or unresponsive
// endpoint, or the primary or another failure domain without need.
func TestRankOrder(t *testing.T) {
	local := Candidate{ID: "local", IsLocal: true}
	remote := Candidate{ID: "remote"}
	primary := Candidate{ID: "primary", IsPrimary: true}
	busy := Candidate{ID: "local", IsLocal: true, Wait: 100 * time.Millisecond}
	behind := Candidate{ID: "local", IsLocal: true, Behind: position(9), BehindSince: now(), BehindCount: 1, KnownPosition: position(5)}
	caughtUp := Candidate{ID: "local", IsLocal: true, Behind: position(9), BehindSince: now(), BehindCount: 1, KnownPosition: position(12)}
	suspect := Candidate{ID: "local", IsLocal: true, IsSuspect: true}
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       []string
	}{
		{"no load: local first, primary last", []Candidate{primary, remote, local}, []string{"local", "remote", "primary"}},
		{"local endpoint congested: remote first", []Candidate{primary, remote, busy}, []string{"remote", "primary", "local"}},
		{"lagging replica: last", []Candidate{primary, remote, behind}, []string{"remote", "primary", "local"}},
		{"replica that has caught up: first again", []Candidate{primary, remote, caughtUp}, []string{"local", "remote", "primary"}},
		{"suspect endpoint: after all others", []Candidate{suspect, primary, remote}, []string{"remote", "primary", "local"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Rank(test.candidates, position(10), now()); !slices.Equal(got, test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

// TestBehindPauseDoubles guards against a replica that stays behind for seconds and
// gets a read after each short pause. Each refusal doubles the pause, up to a bound
// after which the replica is tried again.
func TestBehindPauseDoubles(t *testing.T) {
	for _, test := range []struct {
		count int
		want  time.Duration
	}{{1, minBehindPause}, {2, 2 * minBehindPause}, {3, 4 * minBehindPause}, {10, maxBehindPause}, {1000, maxBehindPause}} {
		if got := (Candidate{BehindCount: test.count}).behindPause(); got != test.want {
			t.Errorf("pause after %d refusals is %s, want %s", test.count, got, test.want)
		}
	}
}
