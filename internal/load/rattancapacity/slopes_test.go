package rattancapacity

import (
	"flag"
	"os"
	"testing"
	"time"
)

var (
	capacity = flag.Bool("capacity", false, "measure the slopes that docs/CAPACITY.md is worked out from")
	windows  = flag.Int("windows", 3, "number of measurements at each size")
	window   = flag.Duration("window", 3*time.Second, "time of one measurement")
	profile  = flag.String("profile_dir", "", "directory for processor profiles of control work")
	series   = flag.String("series", "daemons,domains,groups,accounts,request,connection,scarce,outage,target", "what to measure")
)

// TestSlopes measures what docs/CAPACITY.md states, and prints the tables.
func TestSlopes(t *testing.T) {
	if !*capacity {
		t.Skip("measures for several minutes; run it with -capacity")
	}
	plan := Plan{Settle: 11 * time.Second, Window: *window, Windows: *windows, Profile: *profile}
	if err := Report(t.Context(), os.Stdout, plan, *series); err != nil {
		t.Fatal(err)
	}
}
