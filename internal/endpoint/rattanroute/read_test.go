package rattanroute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

var observed = time.Unix(1000, 0)

// newView returns a group in term 4 at index 20 with the primary p in domain a
// and replicas r1 to r3 in the domains a, b and c.
func newView(change ...func(endpoints map[string]*rattanmodel.EndpointView)) rattanmodel.GroupView {
	view := rattanmodel.GroupView{
		Term: 4, Primary: "p",
		TermHistory: rattanmodel.TermHistory{{Term: 1, StartIndex: 1}, {Term: 4, StartIndex: 11}},
	}
	for i, name := range []string{"p", "r1", "r2", "r3"} {
		view.Endpoints = append(view.Endpoints, rattanmodel.EndpointView{
			Name: name, FailureDomain: string("aabc"[i]), Reachable: true, ObservedAt: observed,
			Position: rattanmodel.Position{Term: 4, Index: 20}, Age: time.Second, AgeKnown: true,
		})
	}
	byName := make(map[string]*rattanmodel.EndpointView)
	for i := range view.Endpoints {
		byName[view.Endpoints[i].Name] = &view.Endpoints[i]
	}
	for _, change := range change {
		change(byName)
	}
	return view
}

func names(candidates []Candidate) []string {
	var names []string
	for _, candidate := range candidates {
		names = append(names, candidate.Endpoint.Name)
	}
	return names
}

// TestRead guards against a read at an endpoint that must not serve it and
// against a needless read at the primary or in another failure domain.
func TestRead(t *testing.T) {
	type endpoints = map[string]*rattanmodel.EndpointView
	behind := rattanmodel.Position{Term: 4, Index: 15}
	for _, tc := range []struct {
		name        string
		change      func(e endpoints)
		minPosition rattanmodel.Position
		options     []Option
		want        []string
	}{
		{name: "all reached", want: []string{"r1", "r2", "r3", "p"}},
		{name: "other domain", options: []Option{WithFailureDomain("c")}, want: []string{"r3", "r1", "r2", "p"}},
		{name: "spread", options: []Option{WithSpread(1)}, want: []string{"r1", "r3", "r2", "p"}},
		{
			name:   "own replica behind",
			change: func(e endpoints) { e["r1"].Position = behind },
			want:   []string{"r2", "r3", "p"},
		},
		{
			name:   "own replica expected soon",
			change: func(e endpoints) { e["r1"].Position, e["r1"].Age = behind, 20*time.Millisecond },
			want:   []string{"r2", "r3", "r1", "p"},
		},
		{
			name:        "position past the end of an ended term",
			change:      func(e endpoints) { e["r1"].Position = rattanmodel.Position{Term: 1, Index: 10} },
			minPosition: rattanmodel.Position{Term: 1, Index: 99},
			want:        []string{"r1", "r2", "r3", "p"},
		},
		{
			name:   "log with entries that were never acknowledged",
			change: func(e endpoints) { e["r1"].Position = rattanmodel.Position{Term: 1, Index: 99} },
			want:   []string{"r2", "r3", "p"},
		},
		{
			name:        "session of a term that the view lacks",
			change:      func(e endpoints) { e["r2"].Position = rattanmodel.Position{Term: 5, Index: 30} },
			minPosition: rattanmodel.Position{Term: 5, Index: 25},
			want:        []string{"r2", "p"},
		},
		{
			name: "drained, unreachable and blocked",
			change: func(e endpoints) {
				e["r1"].Drained, e["r2"].Reachable = true, false
			},
			options: []Option{WithBlocked(func(name string) bool { return name == "r3" })},
			want:    []string{"p"},
		},
		{name: "drained primary", change: func(e endpoints) { e["p"].Drained = true }, want: []string{"r1", "r2", "r3"}},
		{
			name: "stale read",
			change: func(e endpoints) {
				e["r1"].AgeKnown = false
				e["r2"].Age = 1600 * time.Millisecond
			},
			options: []Option{WithMaxAge(2*time.Second, observed.Add(500*time.Millisecond))},
			want:    []string{"r3", "p"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			minPosition := tc.minPosition
			if minPosition == (rattanmodel.Position{}) {
				minPosition = rattanmodel.Position{Term: 4, Index: 20}
			}
			change := tc.change
			if change == nil {
				change = func(endpoints) {}
			}
			got := names(ReadCandidates(newView(change), minPosition, append([]Option{WithFailureDomain("a")}, tc.options...)...))
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestWrite guards against a write at an endpoint that is not the primary or may not
// get new requests.
func TestWrite(t *testing.T) {
	drained := newView(func(e map[string]*rattanmodel.EndpointView) { e["p"].Drained = true })
	unknown := newView()
	unknown.Primary = ""
	for _, tc := range []struct {
		name    string
		view    rattanmodel.GroupView
		options []Option
		ok      bool
	}{
		{"primary", newView(), nil, true},
		{"drained", drained, nil, false},
		{"drained during a planned switchover", drained, []Option{WithPlannedSwitchover()}, true},
		{"blocked", newView(), []Option{WithBlocked(func(string) bool { return true })}, false},
		{"no primary", unknown, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if endpoint, ok := WriteTarget(tc.view, tc.options...); ok != tc.ok || ok && endpoint.Name != "p" {
				t.Errorf("got %q, %t, want ok %t", endpoint.Name, ok, tc.ok)
			}
		})
	}
}

// TestSpreadIsEven guards against a replica that gets much more or less than an even
// share of the reads, in groups with fewer and with more replicas than candidates.
func TestSpreadIsEven(t *testing.T) {
	for _, replicas := range []int{2, 3, 12} {
		first := make(map[string]int)
		view := newGroup(replicas + 1)
		const reads = 12000
		for n := range uint64(reads) {
			first[ReadCandidates(view, rattanmodel.Position{}, WithSpread(n))[0].Endpoint.Name]++
		}
		for name, count := range first {
			if share := float64(count*replicas) / reads; len(first) != replicas || share < 0.8 || share > 1.2 {
				t.Errorf("%d replicas: %s got %.2f of its even share; %d replicas got reads", replicas, name, share, len(first))
			}
		}
	}
}

func newGroup(size int) rattanmodel.GroupView {
	view := newView()
	endpoints := make([]rattanmodel.EndpointView, 0, size)
	for i := range size {
		endpoint := view.Endpoints[min(i, 1)]
		if i > 0 {
			endpoint.Name = fmt.Sprintf("r%d", i)
		}
		endpoints = append(endpoints, endpoint)
	}
	view.Endpoints = endpoints
	return view
}

// BenchmarkRead measures one decision for groups of different sizes.
func BenchmarkRead(b *testing.B) {
	for _, size := range []int{3, 10, 100, 1000, 10000} {
		view := newGroup(size)
		minPosition := rattanmodel.Position{Term: 4, Index: 20}
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				ReadCandidates(view, minPosition, WithFailureDomain("a"), WithSpread(n))
			}
		})
	}
}
