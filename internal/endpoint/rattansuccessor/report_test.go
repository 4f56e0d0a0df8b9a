package rattansuccessor

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// TestIsDoubted guards against a recorded primary that is a replica, or that another endpoint
// has replaced, without anybody asking the endpoints (review/2, ONE). It also guards against
// queries after each switchover, while the entry of the old primary has not expired.
func TestIsDoubted(t *testing.T) {
	for _, test := range []struct {
		name   string
		report Report
		want   bool
	}{
		{"the primary is a replica", Report{Endpoint: "e1", Role: rattancatalog.ReplicaRole, IsNewer: true}, true},
		{"the primary is the primary", Report{Endpoint: "e1", Role: rattancatalog.PrimaryRole, IsNewer: true}, false},
		{"the primary was a replica before", Report{Endpoint: "e1", Role: rattancatalog.ReplicaRole}, false},
		{"another is the primary", Report{Endpoint: "e2", Role: rattancatalog.PrimaryRole, IsNewer: true}, true},
		{"another was the primary before", Report{Endpoint: "e2", Role: rattancatalog.PrimaryRole}, false},
		{"another is a replica", Report{Endpoint: "e2", Role: rattancatalog.ReplicaRole, IsNewer: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := IsDoubted("e1", []Report{test.report}); got != test.want {
				t.Errorf("doubted: %t, want %t", got, test.want)
			}
		})
	}
}
