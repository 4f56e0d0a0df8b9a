package rattanswitchover

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

func holdersOf(ids ...string) rattanholder.Holders {
	var holders rattanholder.Holders
	for _, id := range ids {
		holders = append(holders, rattanholder.Holder{ID: id, Address: id + ":1", StartedUnixMS: 1, Term: 1})
	}
	return holders
}

func endpointsOf(ids ...string) []rattancatalog.Endpoint {
	var endpoints []rattancatalog.Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, rattancatalog.Endpoint{ID: id, Address: id + ":1", StartedUnixMS: 1})
	}
	return endpoints
}

// assertAwaits runs a switchover that has to wait, and checks for whom by its record.
func assertAwaits(t *testing.T, group *testGroup, request Request, want ...string) {
	t.Helper()
	records, err := runSwitchover(t, group, request)
	if !errors.Is(err, rattansuccessor.ErrLogsMissing) {
		t.Fatalf("error %v, want %v", err, rattansuccessor.ErrLogsMissing)
	}
	last := records[len(records)-1]
	if !last.IsSwitching || !slices.Equal(last.Awaited, want) || len(last.Holders) != len(request.Holders) {
		t.Errorf("the last record is %+v, want a switchover that awaits %q", last, want)
	}
}

// TestForgottenHolder guards against a promote by a failover leader that knows holders of the
// log by the group's record only: their entries are gone (review/7 and review/8).
func TestForgottenHolder(t *testing.T) {
	t.Run("the only synchronous replica", func(t *testing.T) {
		group := newTestGroup("e1")
		group.silent["e1"], group.silent["e2"] = true, true
		assertAwaits(t, group, Request{
			Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3, SyncReplicas: 1, Holders: holdersOf("e1", "e2", "e3")},
			Endpoints: endpointsOf("e3"), Holders: holdersOf("e1", "e2", "e3"), SyncReplicas: 1,
		}, "e1", "e2")
	})
	t.Run("the log of the last term", func(t *testing.T) {
		group := newTestGroup("e2")
		group.term, group.leads["e2"] = 2, 2
		group.silent["e2"], group.silent["e3"], group.logs["e1"] = true, true, rattanmodel.Position{Term: 1, Index: 9}
		assertAwaits(t, group, Request{
			Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{
				Primary: "e2", Term: 2, Version: 3, TermHistory: rattanmodel.TermHistory{{Term: 2, StartIndex: 5}},
			},
			Endpoints: endpointsOf("e1"), Holders: holdersOf("e1", "e2", "e3"),
		}, "e2", "e3")
	})
	t.Run("one that answers without an entry", func(t *testing.T) {
		group := newTestGroup("e1")
		group.silent["e1"], group.logs["e2"], group.logs["e3"] = true, rattanmodel.Position{Term: 1, Index: 46}, rattanmodel.Position{Term: 1, Index: 43}
		records, err := runSwitchover(t, group, Request{
			Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3, SyncReplicas: 1, Holders: holdersOf("e1", "e2", "e3")},
			Endpoints: endpointsOf("e3"), Holders: holdersOf("e1", "e2", "e3"), SyncReplicas: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		assertRecorded(t, records, "e2", 2)
	})
	t.Run("an empty log beside one that a term has left out", func(t *testing.T) {
		group := newTestGroup("e2")
		group.term, group.leads["e2"], group.silent["e2"] = 2, 2, true
		group.logs["e1"], group.logs["e3"] = rattanmodel.Position{Term: 1, Index: 9}, rattanmodel.Position{}
		assertAwaits(t, group, Request{
			Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{
				Primary: "e2", Term: 2, Version: 3, TermHistory: rattanmodel.TermHistory{{Term: 2, StartIndex: 5}},
			},
			Endpoints: endpointsOf("e1", "e3"), Holders: holdersOf("e1", "e2", "e3"),
		}, "e2")
	})
}

// TestRaisedSyncReplicas guards against the loss of commits that were acknowledged before a
// change of the configuration raised the number of synchronous replicas.
func TestRaisedSyncReplicas(t *testing.T) {
	group := newTestGroup("e1")
	group.silent["e1"] = true
	assertAwaits(t, group, Request{
		Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3, Holders: holdersOf("e1", "e2", "e3")},
		Endpoints: endpointsOf("e2", "e3"), Holders: holdersOf("e1", "e2", "e3"), SyncReplicas: 1,
	}, "e1")
}

// TestHasNewHolders guards against holders that the next failover leader does not know, and
// against writes at the start of each day that nobody needs.
func TestHasNewHolders(t *testing.T) {
	drained := holdersOf("e1", "e2")
	drained[1].IsDraining = true
	history := rattanmodel.TermHistory{{Term: 2, StartIndex: 5}}
	for _, test := range []struct {
		name         string
		history      rattanmodel.TermHistory
		holders      rattanholder.Holders
		syncReplicas int
		want         bool
	}{
		{"nothing new", history, holdersOf("e2", "e1"), 0, false},
		{"a new endpoint, no term has left out a log", nil, holdersOf("e1", "e2", "e3"), 0, false},
		{"a new endpoint", history, holdersOf("e1", "e2", "e3"), 0, true},
		{"a new endpoint that may be the only holder", nil, holdersOf("e1", "e2", "e3"), 1, true},
		{"an endpoint drains", nil, drained, 0, true},
		{"an endpoint was replaced", nil, holdersOf("e1", "e4"), 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := Request{
				Record:  rattangrant.PrimaryRecord{Holders: holdersOf("e1", "e2"), TermHistory: test.history, SyncReplicas: test.syncReplicas},
				Holders: test.holders, SyncReplicas: test.syncReplicas,
			}
			if got := request.HasNewHolders(); got != test.want {
				t.Errorf("has new holders: %t, want %t", got, test.want)
			}
		})
	}
}

// TestConfirm guards against a group that waits for an endpoint which has left in order, and
// against an endpoint that is forgotten while it may hold what the others lack.
func TestConfirm(t *testing.T) {
	at := func(index uint64) rattanmodel.Position { return rattanmodel.Position{Term: 1, Index: index} }
	holders := holdersOf("e1", "e2", "e3", "e4")
	holders[1].HasLostLog, holders[3].IsDraining = true, true
	request := Request{
		Record:    rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3, Holders: holders},
		Endpoints: endpointsOf("e1", "e2", "e3"), Holders: holders, SyncReplicas: 1,
	}
	confirm := func(e2, e3 uint64, silent ...string) Request {
		group := newTestGroup("e1")
		group.logs["e1"], group.logs["e2"], group.logs["e3"] = at(46), at(e2), at(e3)
		for _, id := range append(silent, "e4") {
			group.silent[id] = true
		}
		coordinator := New(rattanclock.System(), &testStore{}, group, group, &testDaemons{}, testLeadership{}, 0)
		confirmed, _ := coordinator.Confirm(request)
		return confirmed
	}
	if !request.IsUnconfirmed() {
		t.Error("there is nothing to confirm")
	}
	t.Run("a primary without its log is not asked again and again", func(t *testing.T) {
		empty := Request{
			Record: rattangrant.PrimaryRecord{Primary: "e2", Term: 1, Holders: holders[:3], SyncReplicas: 1}, Endpoints: endpointsOf("e1", "e2", "e3"),
			Holders: holders[:3], SyncReplicas: 1,
		}
		if empty.IsUnconfirmed() {
			t.Error("the primary is asked what it holds")
		}
	})
	for _, test := range []struct {
		name             string
		confirmed        Request
		hasLost, hasLeft bool
		replicas         int
	}{
		{"both replicas hold all", confirm(46, 46), false, true, 1},
		{"only the one that was started again does", confirm(46, 40), false, true, 1},
		{"only the other one does", confirm(40, 46), true, true, 1},
		{"none does", confirm(40, 40), true, false, 0},
		{"the primary is silent", confirm(46, 46, "e1"), true, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.confirmed.Holders.HasLostLog("e2"); got != test.hasLost {
				t.Errorf("e2 has lost its log: %t, want %t", got, test.hasLost)
			}
			if got := !test.confirmed.Holders.Contains("e4"); got != test.hasLeft {
				t.Errorf("e4 has left: %t, want %t", got, test.hasLeft)
			}
			if got := test.confirmed.confirmedReplicas(); got != test.replicas {
				t.Errorf("%d replicas are confirmed, want %d", got, test.replicas)
			}
		})
	}
}
