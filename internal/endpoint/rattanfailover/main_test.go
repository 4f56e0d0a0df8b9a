package rattanfailover

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of checks for rapid, which flags on the
// command line override: -rapid.seed=0 takes a new seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
