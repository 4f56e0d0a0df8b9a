package rattandrain

import (
	"slices"
	"testing"
)

// TestUsable guards against reads that are refused although the last endpoint of a
// group could still run them, and against reads at an endpoint that drains while others
// answer, or after its limit.
func TestUsable(t *testing.T) {
	stays := Candidate{ID: "stays", AcceptsNew: true, Answers: true}
	lost := Candidate{ID: "lost", AcceptsNew: true}
	drains := Candidate{ID: "drains", IsLeaving: true, AcceptsNew: true, Answers: true}
	drained := Candidate{ID: "drained", IsLeaving: true, Answers: true}
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       []string
	}{
		{"another endpoint answers", []Candidate{drains, stays, lost}, []string{"stays", "lost"}},
		{"no other endpoint answers", []Candidate{drains, lost}, []string{"lost", "drains"}},
		{"the only endpoint drains", []Candidate{drains}, []string{"drains"}},
		{"the limit has passed", []Candidate{drained}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Usable(test.candidates); !slices.Equal(got, test.want) {
				t.Errorf("usable %q, want %q", got, test.want)
			}
		})
	}
}
