package rattanfailover

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestChoose guards against a choice that lacks acknowledged writes: a lower
// position, or a candidate from fewer than a majority.
func TestChoose(t *testing.T) {
	view := rattanmodel.GroupView{Primary: "a", Endpoints: []rattanmodel.EndpointView{{Name: "a"}, {Name: "b", Drained: true}, {Name: "c"}}}
	held := func(name string, term, index uint64) answer {
		return answer{endpoint: name, status: &rattanv1.EndpointStatus{Position: &rattanv1.Position{Term: term, Index: index}}}
	}
	for _, tc := range []struct {
		name   string
		fenced []answer
		target string
		want   string
	}{
		{"higher index", []answer{held("b", 1, 9), held("c", 1, 8)}, "", "b"},
		{"higher term with a lower index", []answer{held("b", 1, 9), held("c", 2, 3)}, "", "c"},
		{"failed primary left out", []answer{held("a", 1, 9), held("b", 1, 7), held("c", 1, 8)}, "", "c"},
		{"failed primary needed for a majority", []answer{held("a", 1, 9), held("b", 1, 7)}, "", "a"},
		{"not drained among equals", []answer{held("b", 1, 9), held("c", 1, 9)}, "", "c"},
		{"target among equals", []answer{held("a", 1, 9), held("b", 1, 9), held("c", 1, 9)}, "b", "b"},
		{"target behind", []answer{held("b", 1, 8), held("c", 1, 9)}, "b", "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			candidates := tc.fenced
			if tc.target == "" {
				candidates = withoutFailed(view, tc.fenced)
			}
			if got := choose(view, candidates, tc.target); got != tc.want {
				t.Errorf("chose %s, want %s", got, tc.want)
			}
		})
	}
}
