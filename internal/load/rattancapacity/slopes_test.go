package rattancapacity

import (
	"flag"
	"os"
	"testing"
	"time"
)

var (
	capacity = flag.Bool("capacity", false, "measure the figures that docs/CAPACITY.md is derived from")
	windows  = flag.Int("windows", 3, "number of measurements at each size")
	window   = flag.Duration("window", 3*time.Second, "duration of one measurement")
	profile  = flag.String("profile_dir", "", "directory for CPU profiles of idle windows and of requests")
	series   = flag.String("series", "daemons,domains,groups,accounts,request,connection,scarce,outage,target", "series to measure, separated by commas")
)

// TestSlopes measures the figures of docs/CAPACITY.md and prints the tables.
func TestSlopes(t *testing.T) {
	if !*capacity {
		t.Skip("measures for several minutes; run it with -capacity")
	}
	plan := Plan{Settle: 11 * time.Second, Window: *window, Windows: *windows, Profile: *profile}
	if err := Report(t.Context(), os.Stdout, plan, *series); err != nil {
		t.Fatal(err)
	}
}
