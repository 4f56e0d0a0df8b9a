package rattansuccessor

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

func assertCandidates(t *testing.T, view View, want ...string) {
	t.Helper()
	got, err := view.Candidates()
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Fatalf("%d candidates, want %q", len(got), want)
	}
	for i, id := range want {
		if got[i].Endpoint.ID != id {
			t.Errorf("candidate %d is %s, want %s", i, got[i].Endpoint.ID, id)
		}
	}
}

func endpoints(ids ...string) []rattancatalog.Endpoint {
	var list []rattancatalog.Endpoint
	for _, id := range ids {
		list = append(list, rattancatalog.Endpoint{ID: id})
	}
	return list
}

// TestCandidates guards against the promotion of an endpoint that lacks commits which
// another one holds, or of an endpoint that is draining.
func TestCandidates(t *testing.T) {
	view := New(Group{}, []Status{draining(replica("e1", 1, 30)), replica("e2", 1, 10), replica("e3", 1, 20)})
	assertCandidates(t, view, "e3", "e2", "e1")
	t.Run("endpoints that get no work", func(t *testing.T) {
		group := Group{Endpoints: endpoints("e1", "e2", "e3"), Unusable: map[string]bool{"e2": true}, TermHistory: rattanmodel.TermHistory{{Term: 2, StartIndex: 41}}}
		assertLogsMissing(t, New(group, []Status{replica("e2", 1, 30)}))
		assertCandidates(t, New(group, []Status{replica("e2", 1, 30), replica("e3", 1, 20)}), "e3")
		assertCandidates(t, New(group, []Status{replica("e2", 1, 30), replica("e3", 1, 50)}), "e2", "e3")
	})
	t.Run("the leader before a replica with an equal log", func(t *testing.T) {
		assertCandidates(t, New(Group{}, []Status{replica("e2", 2, 9), primary("e1", 2, 9)}), "e1", "e2")
	})
}

// TestDivergedLog guards against a write that callers saw, did not see during the next term,
// and see again: the primary of before that term was promoted with its log (review/1, STALE).
func TestDivergedLog(t *testing.T) {
	group := Group{
		Endpoints: endpoints("e1", "e2", "e3"), Term: 3,
		TermHistory: rattanmodel.TermHistory{{Term: 2, StartIndex: 59}, {Term: 3, StartIndex: 81}},
	}
	deposed := primary("e1", 1, 63)
	t.Run("another log belongs to the history", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{deposed, replica("e3", 1, 50)}), "e3", "e1")
	})
	t.Run("also that of a draining endpoint", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{deposed, draining(replica("e3", 1, 58))}), "e3", "e1")
	})
	t.Run("a log that ends with its term", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{replica("e2", 1, 50), replica("e3", 2, 80)}), "e3", "e2")
	})
	t.Run("a term between has left entries out", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{replica("e1", 1, 63), replica("e2", 2, 80), replica("e3", 2, 70)}), "e2", "e3", "e1")
	})
	t.Run("a later term starts before an earlier one", func(t *testing.T) {
		shortened := group
		shortened.TermHistory = rattanmodel.TermHistory{{Term: 2, StartIndex: 59}, {Term: 3, StartIndex: 41}}
		assertCandidates(t, New(shortened, []Status{replica("e1", 1, 50), replica("e2", 1, 40)}), "e2", "e1")
	})
	t.Run("a term that is no longer recorded has left entries out", func(t *testing.T) {
		long := group
		for term := uint64(4); term <= 12; term++ {
			long.TermHistory = ExtendHistory(long.TermHistory, primary("e2", term, 20*term))
		}
		assertCandidates(t, New(long, []Status{replica("e1", 1, 63), replica("e2", 1, 58)}), "e2", "e1")
	})
	t.Run("no other endpoint answers", func(t *testing.T) {
		if _, err := New(group, []Status{deposed}).Candidates(); !errors.Is(err, ErrLogsMissing) {
			t.Errorf("error %v, want %v", err, ErrLogsMissing)
		}
	})
	t.Run("there is no other endpoint", func(t *testing.T) {
		alone := group
		alone.Endpoints = endpoints("e1")
		assertCandidates(t, New(alone, []Status{deposed}), "e1")
	})
}

// TestExtendHistory guards against a log that counts as diverged because the start of a term
// is recorded too early, and against a record that grows with each switchover.
func TestExtendHistory(t *testing.T) {
	history := ExtendHistory(nil, primary("e1", 2, 58))
	t.Run("the log of the primary belongs to it", func(t *testing.T) {
		if hasDiverged(history, rattanmodel.Position{Term: 1, Index: 58}) || !hasDiverged(history, rattanmodel.Position{Term: 1, Index: 59}) {
			t.Errorf("history %v, want the start 59", history)
		}
	})
	t.Run("a term is recorded once", func(t *testing.T) {
		if again := ExtendHistory(history, primary("e1", 2, 90)); len(again) != 1 || again[0].StartIndex != 59 {
			t.Errorf("history %v, want the start 59 only", again)
		}
	})
	t.Run("the oldest terms go", func(t *testing.T) {
		for term := uint64(3); term < 30; term++ {
			history = ExtendHistory(history, primary("e1", term, 10*term))
		}
		if len(history) != maxTerms || history.Term() != 29 {
			t.Errorf("history %v, want the newest %d terms", history, maxTerms)
		}
	})
}

func assertLogsMissing(t *testing.T, view View) {
	t.Helper()
	if got, err := view.Candidates(); !errors.Is(err, ErrLogsMissing) {
		t.Errorf("candidates %v and error %v, want %v", got, err, ErrLogsMissing)
	}
}

// TestSyncReplicas guards against the loss of acknowledged commits: with synchronous replicas,
// a replica that lacked them was promoted although another one, which drained, held them
// (review/4, LOST).
func TestSyncReplicas(t *testing.T) {
	group := Group{Endpoints: endpoints("e1", "e2", "e3", "e4"), Primary: "e1", SyncReplicas: 1, Term: 1}
	two := group
	two.SyncReplicas = 2
	t.Run("only a draining replica holds all", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{draining(replica("e2", 1, 46)), replica("e3", 1, 43), replica("e4", 1, 20)}), "e2")
	})
	t.Run("a replica that stays holds all as well", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{draining(replica("e2", 1, 46)), replica("e3", 1, 46), replica("e4", 1, 20)}), "e3", "e2")
	})
	t.Run("a replica that may be the only holder is silent", func(t *testing.T) {
		assertLogsMissing(t, New(group, []Status{replica("e3", 1, 43), replica("e4", 1, 20)}))
	})
	t.Run("the primary answers", func(t *testing.T) {
		assertCandidates(t, New(group, []Status{draining(primary("e1", 1, 46)), replica("e3", 1, 43)}), "e1")
	})
	t.Run("a deposed primary answers", func(t *testing.T) {
		assertLogsMissing(t, New(group, []Status{primary("e1", 1, 46), replica("e3", 2, 43)}))
	})
	t.Run("two hold each commit, and the second one stays", func(t *testing.T) {
		assertCandidates(t, New(two, []Status{draining(replica("e2", 1, 46)), replica("e3", 1, 43), replica("e4", 1, 20)}), "e3", "e2")
	})
	t.Run("two hold each commit, and one is silent", func(t *testing.T) {
		assertCandidates(t, New(two, []Status{replica("e3", 1, 43), replica("e4", 1, 20)}), "e3")
	})
	t.Run("the other replicas have left", func(t *testing.T) {
		left := two
		left.Endpoints = endpoints("e1", "e3")
		assertCandidates(t, New(left, []Status{replica("e3", 1, 43)}), "e3")
	})
}
