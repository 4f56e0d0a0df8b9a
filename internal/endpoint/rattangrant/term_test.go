package rattangrant

import "testing"

// TestNewerTerm guards against a daemon that uses a primary whose term has ended: the record
// of its successor was lost with the store, or was never written (review/2, ONE).
func TestNewerTerm(t *testing.T) {
	newGrants := func(term uint64) *Grants {
		grants, _ := newTestGrants()
		record := newRecord("e1", 4)
		record.Term = term
		grants.UpdateRecord("orders", record, 10)
		grants.MarkInitialSync(grants.Now())
		return grants
	}
	t.Run("the term of the record", func(t *testing.T) {
		grants := newGrants(2)
		grants.ObserveTerm("orders", 2)
		assertPrimary(t, grants, "e1")
	})
	t.Run("a newer term", func(t *testing.T) {
		grants := newGrants(2)
		if !grants.ObserveTerm("orders", 3) {
			t.Error("the newer term was not reported")
		}
		assertPrimary(t, grants, "")
		if _, ok := grants.Track("orders", "e1", func() {}); ok {
			t.Error("an operation may be sent to the old primary")
		}
	})
	t.Run("the record of the newer term", func(t *testing.T) {
		grants := newGrants(2)
		grants.ObserveTerm("orders", 3)
		record := newRecord("e2", 5)
		record.Term = 3
		grants.UpdateRecord("orders", record, 11)
		assertPrimary(t, grants, "e2")
	})
	t.Run("the same record, read again", func(t *testing.T) {
		grants := newGrants(2)
		grants.ObserveTerm("orders", 3)
		record := newRecord("e1", 4)
		record.Term = 2
		grants.UpdateRecord("orders", record, 12)
		assertPrimary(t, grants, "")
	})
	t.Run("a record without a term", func(t *testing.T) {
		grants := newGrants(0)
		grants.ObserveTerm("orders", 3)
		assertPrimary(t, grants, "e1")
	})
}
