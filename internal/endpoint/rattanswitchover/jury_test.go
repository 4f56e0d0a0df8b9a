package rattanswitchover

import (
	"fmt"
	"slices"
	"testing"
)

// TestJury guards against a primary whose loss hundreds of daemons have to report, and
// against juries that differ between daemons or that the same few VMs sit on.
func TestJury(t *testing.T) {
	for _, test := range []struct{ fleet, want int }{{1, 1}, {9, 9}, {JurySize, JurySize}, {91, JurySize}, {295, JurySize}} {
		t.Run(fmt.Sprint(test.fleet), func(t *testing.T) {
			vms := make([]string, 0, test.fleet)
			for i := range test.fleet {
				vms = append(vms, fmt.Sprintf("vm-%d", i))
			}
			seats := make(map[string]int)
			for endpoint := range 60 {
				jury := slices.Sorted(slices.Values(Jury(fmt.Sprint(endpoint), vms)))
				if len(slices.Compact(jury)) != test.want {
					t.Fatalf("the jury has %d VMs, want %d", len(jury), test.want)
				}
				reversed := slices.Clone(vms)
				slices.Reverse(reversed)
				if again := slices.Sorted(slices.Values(Jury(fmt.Sprint(endpoint), reversed))); !slices.Equal(jury, again) {
					t.Fatalf("the jury depends on the order of the VMs: %q and %q", jury, again)
				}
				for _, vm := range jury {
					seats[vm]++
				}
			}
			for vm, count := range seats {
				if test.fleet > 10*JurySize && count > 15 {
					t.Errorf("%s sits on %d of 60 juries", vm, count)
				}
			}
		})
	}
}
