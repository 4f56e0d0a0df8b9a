package rattanupstream

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// TestReadOutsideTransaction guards against the first read of a transaction that runs outside
// it, because the begin was refused after a copy of the answer to an earlier one (PINNED).
func TestReadOutsideTransaction(t *testing.T) {
	const idle, open = rattanstatement.Idle, rattanstatement.InTransaction
	readOnly := rattanstatement.Refuse(rattanstatement.ReadOnly, "e1")
	upstream, endpoint := newStuttering(script{{begun}, {row(1, open)}, {row(2, idle)}, {begun, readOnly}, {row(3, idle)}})
	transaction, result, err := upstream.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
	assertRow(t, result, err, 1)
	commit := stutterRequest("2")
	commit.IsCommit = true
	result, err = transaction.Commit(commit)
	assertRow(t, result, err, 2)
	first := stutterRequest("3")
	first.Kind.Operation = rattanwork.Transaction
	// What is told is not the point here, but what the endpoint gets.
	_, _, _ = upstream.Begin(Begin{First: first, AtPrimary: true})
	assertSent(t, endpoint, rattanstatement.Read, 0)
}
