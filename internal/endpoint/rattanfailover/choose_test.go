package rattanfailover

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestChoose guards against the choice of an endpoint that lacks acknowledged
// writes, because its position is not the highest or because the candidates are
// fewer than a majority.
func TestChoose(t *testing.T) {
	view := rattanmodel.GroupView{Primary: "a", Endpoints: []rattanmodel.EndpointView{{Name: "a"}, {Name: "b", Drained: true}, {Name: "c"}}}
	held := func(name string, term, index uint64) response {
		return response{endpoint: name, status: &rattanv1.EndpointStatus{Position: &rattanv1.Position{Term: term, Index: index}}}
	}
	for _, tc := range []struct {
		name   string
		fenced []response
		target string
		want   string
	}{
		{"higher index", []response{held("b", 1, 9), held("c", 1, 8)}, "", "b"},
		{"higher term with a lower index", []response{held("b", 1, 9), held("c", 2, 3)}, "", "c"},
		{"failed primary left out", []response{held("a", 1, 9), held("b", 1, 7), held("c", 1, 8)}, "", "c"},
		{"failed primary needed for a majority", []response{held("a", 1, 9), held("b", 1, 7)}, "", "a"},
		{"not drained among equals", []response{held("b", 1, 9), held("c", 1, 9)}, "", "c"},
		{"target among equals", []response{held("a", 1, 9), held("b", 1, 9), held("c", 1, 9)}, "b", "b"},
		{"target behind", []response{held("b", 1, 8), held("c", 1, 9)}, "b", "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			candidates := tc.fenced
			if tc.target == "" {
				candidates = withoutFailedPrimary(view, tc.fenced)
			}
			if got := choose(view, candidates, tc.target); got != tc.want {
				t.Errorf("chose endpoint %s, want %s", got, tc.want)
			}
		})
	}
}
