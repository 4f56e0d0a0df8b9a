package rattanchecker

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRecorded guards against changed verdicts on traces recorded from complete
// daemons. The traces are excerpts from cells of rattanmatrix. A file name begins
// with accept, or with reject and every guarantee that is violated.
func TestRecorded(t *testing.T) {
	paths, err := filepath.Glob("testdata/recorded/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recorded traces found: %v", err)
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
				broken[v.Guarantee] = true
			}
			if got := slices.Sorted(maps.Keys(broken)); !slices.Equal(got, want) {
				t.Errorf("violated guarantees are %v, want %v", got, want)
			}
		})
	}
}
