package rattanmatrix

import (
	"flag"
	"hash/fnv"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seeds   = flag.Int("matrix.seeds", 1, "number of seeds of each cell")
	logs    = flag.Bool("matrix.logs", false, "write the daemons' logs to standard error")
	traces  = flag.String("matrix.traces", "", "directory to keep the trace of each cell in")
	stepOf  = flag.String("matrix.step", "", "run the cells of this step only")
	faultOf = flag.String("matrix.fault", "", "run the cells of this fault only")
)

// totals counts the cells of the matrix by result.
type totals struct {
	mutex                                 sync.Mutex
	cells, ran, passed, failed, unreached int
	longestGap                            time.Duration
}

// TestMatrix runs every fault at every step and checks the guarantees. It guards
// against guarantees that hold only as long as nothing fails.
func TestMatrix(t *testing.T) {
	var sum totals
	t.Run("cells", func(t *testing.T) {
		for i, f := range faults() {
			for j, s := range steps() {
				if !selected(f, s, i, j) {
					continue
				}
				for seed := range *seeds {
					t.Run(f.name+"/"+s.name, func(t *testing.T) {
						t.Parallel()
						runCell(t, &sum, f, s, uint64(seed)+cellSeed(f, s))
					})
				}
			}
		}
	})
	t.Logf("%d cells: %d ran, %d passed, %d failed, %d did not reach their step; longest time without an acknowledged write %s",
		sum.cells, sum.ran, sum.passed, sum.failed, sum.unreached, sum.longestGap)
}

// selected reports whether a cell is run. Under the race detector every fault is run
// only at some steps, which differ from fault to fault; .ci/run runs all cells without
// the race detector.
func selected(f fault, s step, i, j int) bool {
	if *stepOf != "" || *faultOf != "" {
		return (*stepOf == "" || *stepOf == s.name) && (*faultOf == "" || *faultOf == f.name)
	}
	return !raceEnabled || (i+j)%len(steps()) == 0
}

// cellSeed returns the first seed of a cell, which depends only on its name.
func cellSeed(f fault, s step) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, f.name+"/"+s.name)
	return hash.Sum64() % 1_000_000
}

func runCell(t *testing.T, sum *totals, f fault, s step, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		var w io.Writer
		if *logs {
			w = os.Stderr
		}
		outcome, err := run(f, s, seed, w, *traces)
		sum.mutex.Lock()
		defer sum.mutex.Unlock()
		sum.cells++
		switch {
		case err != nil:
			t.Fatalf("seed %d: %v", seed, err)
		case !outcome.occurred:
			sum.unreached++
			t.Errorf("seed %d: step was not reached", seed)
			return
		}
		sum.ran++
		sum.longestGap = max(sum.longestGap, outcome.gap)
		t.Logf("seed %d: %d requests, %d served, longest time without an acknowledged write %s", seed, outcome.events, outcome.served, outcome.gap)
		if len(outcome.violations) == 0 {
			sum.passed++
			return
		}
		sum.failed++
		for _, violation := range outcome.violations {
			t.Errorf("seed %d: %v", seed, violation)
		}
	})
}
