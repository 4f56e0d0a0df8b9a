package rattanchecker

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRecorded guards against a checker whose verdict on traces of whole
// daemons changes. The traces are parts of cells of rattanmatrix. A name begins
// with accept, or with reject and every promise that is broken.
func TestRecorded(t *testing.T) {
	paths, err := filepath.Glob("testdata/recorded/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recorded traces: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			var want []string
			for _, part := range strings.Split(name, "_") {
				if strings.HasPrefix(name, "reject") && strings.Trim(part, "0123456789") == "p" {
					want = append(want, strings.ToUpper(part))
				}
			}
			broken := make(map[string]bool)
			for _, v := range Check(readFile(t, path)) {
				broken[v.Promise] = true
			}
			if got := slices.Sorted(maps.Keys(broken)); !slices.Equal(got, want) {
				t.Errorf("broken promises are %v, want %v", got, want)
			}
		})
	}
}
