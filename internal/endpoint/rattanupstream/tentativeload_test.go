package rattanupstream

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// TestTentativeIsNoFailure guards against an endpoint that counts as failing because its
// answer to a begin equals an earlier one.
func TestTentativeIsNoFailure(t *testing.T) {
	const open = rattanstatement.InTransaction
	upstream, endpoint := newStuttering(script{{begun}, {row(1, open)}, {done}, {begun}}, script{{begun}, {row(2, open)}})
	transaction, result, err := upstream.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
	assertRow(t, result, err, 1)
	transaction.Rollback()
	_, result, err = upstream.Begin(Begin{First: stutterWrite("2"), AtPrimary: true})
	assertRow(t, result, err, 2)
	assertDialed(t, endpoint, 2)
	if share := upstream.Load().FailureShare; share != 0 {
		t.Errorf("got %v failures, want none", share)
	}
}
