package rattanproxy

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestIsRead guards against primary work that counts as having a choice: an operator
// would see bytes that the egress budget cannot hold back.
func TestIsRead(t *testing.T) {
	floor := &rattanv1.Position{Term: 1, Index: 7}
	for name, test := range map[string]struct {
		request *rattanv1.WorkRequest
		want    bool
	}{
		"read from a position": {&rattanv1.WorkRequest{Kind: rattanv1.WorkKind_WORK_KIND_READ, Floor: floor}, true},
		"read at the primary":  {&rattanv1.WorkRequest{Kind: rattanv1.WorkKind_WORK_KIND_READ, Floor: &rattanv1.Position{}}, false},
		"write":                {&rattanv1.WorkRequest{Kind: rattanv1.WorkKind_WORK_KIND_WRITE}, false},
		"read-only transaction": {&rattanv1.WorkRequest{
			Kind: rattanv1.WorkKind_WORK_KIND_BEGIN, ReadsOnly: true, Floor: floor,
		}, true},
		"transaction at the primary": {&rattanv1.WorkRequest{
			Kind: rattanv1.WorkKind_WORK_KIND_BEGIN, ReadsOnly: true, AtPrimary: true,
		}, false},
		"statement of a transaction": {&rattanv1.WorkRequest{Kind: rattanv1.WorkKind_WORK_KIND_RUN, Floor: floor}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isRead(test.request); got != test.want {
				t.Errorf("isRead = %t, want %t", got, test.want)
			}
		})
	}
}
