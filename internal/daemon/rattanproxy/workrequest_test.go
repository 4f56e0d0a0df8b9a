package rattanproxy

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestRequestThatFitsNoKind guards against a request of another daemon that is run as another
// one than was meant, or ends a transaction (UNASKED).
func TestRequestThatFitsNoKind(t *testing.T) {
	for name, request := range map[string]*rattanv1.WorkRequest{
		"no kind":                     {Text: "READ i1"},
		"unknown kind":                {Kind: 99, Text: "READ i1"},
		"read without a text":         {Kind: rattanv1.WorkKind_WORK_KIND_READ},
		"write without a text":        {Kind: rattanv1.WorkKind_WORK_KIND_WRITE},
		"begin without a text":        {Kind: rattanv1.WorkKind_WORK_KIND_BEGIN},
		"statement without a text":    {Kind: rattanv1.WorkKind_WORK_KIND_RUN},
		"commit without a text":       {Kind: rattanv1.WorkKind_WORK_KIND_COMMIT, IsCommit: true},
		"text and shape":              {Kind: rattanv1.WorkKind_WORK_KIND_RUN, Text: "READ i1", Shape: "q1"},
		"begin without a transaction": {Kind: rattanv1.WorkKind_WORK_KIND_BEGIN, Text: "READ i1", Transaction: "-"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIdleProxy(t, "vm-1").forwarded
			held := f.holdTransaction(endedName)
			request.Endpoint, request.StatementId = "e1", "id-1"
			if request.Transaction == "" {
				request.Transaction = endedName
			} else {
				request.Transaction = ""
			}
			f.assertNotRun(t, request)
			if held.aborts != 0 || f.count() != 1 {
				t.Errorf("the transaction was rolled back %d times, %d are open, want it untouched", held.aborts, f.count())
			}
		})
	}
}
