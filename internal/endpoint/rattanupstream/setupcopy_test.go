package rattanupstream

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// TestSetupRefusedAfterCopy guards against a statement that runs without the session variable
// that was refused, because a copy of the answer to an earlier SET arrived first (PINNED).
func TestSetupRefusedAfterCopy(t *testing.T) {
	at := func(index uint64) rattanstatement.Result {
		return rattanstatement.Result{Position: rattanmodel.Position{Term: 1, Index: index}}
	}
	upstream, endpoint := newStuttering(script{{at(1)}, {row(1, rattanstatement.Idle)}, {at(1)}, {busy, at(2)}, {row(2, rattanstatement.Idle)}})
	write := stutterWrite("1")
	write.SessionVars = map[string]string{"zone": "a"}
	result, err := upstream.Write(write)
	assertRow(t, result, err, 1)
	write = stutterWrite("2")
	write.SessionVars = map[string]string{"zone": "b"}
	result, err = upstream.Write(write)
	assertError(t, result, err, ErrOverloaded)
	assertSent(t, endpoint, rattanstatement.Write, 1)
}
