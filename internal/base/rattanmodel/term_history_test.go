package rattanmodel

import "testing"

// TestResolve guards against a session token of an ended term that requires entries
// which no later term contains, and against a log that is taken for up to date
// although its newest term is older than that of the token.
func TestResolve(t *testing.T) {
	termHistory := TermHistory{{Term: 1, StartIndex: 1}, {Term: 3, StartIndex: 11}, {Term: 4, StartIndex: 21}}
	for _, tc := range []struct {
		name     string
		position Position
		index    uint64
		ok       bool
	}{
		{"zero position", Position{}, 0, true},
		{"inside an ended term", Position{Term: 1, Index: 7}, 7, true},
		{"past the end of an ended term", Position{Term: 1, Index: 15}, 10, true},
		{"term without entries in this log", Position{Term: 2, Index: 15}, 10, true},
		{"newest term", Position{Term: 4, Index: 30}, 30, true},
		{"newer term", Position{Term: 5, Index: 30}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			index, ok := termHistory.Resolve(tc.position)
			if index != tc.index || ok != tc.ok {
				t.Errorf("Resolve(%v): got %d, %t, want %d, %t", tc.position, index, ok, tc.index, tc.ok)
			}
		})
	}
}
