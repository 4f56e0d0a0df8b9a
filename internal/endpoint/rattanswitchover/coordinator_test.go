package rattanswitchover

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

// testStore accepts every commit and keeps the records written; the other calls are not
// used.
type testStore struct {
	rattankv.Store
	revision rattankv.Revision
	records  []rattangrant.PrimaryRecord
}

func (s *testStore) Commit(_ context.Context, txn rattankv.Txn) (rattankv.Revision, error) {
	var record rattangrant.PrimaryRecord
	if err := json.Unmarshal(txn.Writes[0].Value, &record); err != nil {
		return 0, err
	}
	s.records = append(s.records, record)
	s.revision++
	return s.revision, nil
}

// testDaemons has one daemon whose responses to the first notifications are lost.
type testDaemons struct {
	lostResponses, notified, expelled int
}

func (d *testDaemons) Active(string, int64, rattankv.Revision, time.Time) (ActiveDaemons, error) {
	if d.notified > d.lostResponses {
		return ActiveDaemons{}, nil
	}
	return ActiveDaemons{Registered: []string{"vm-2"}}, nil
}

func (d *testDaemons) Notify(context.Context, string, int64) { d.notified++ }

func (d *testDaemons) Expel(context.Context, []string) error {
	d.expelled++
	return nil
}

// errSilent is the error of a query to an endpoint that does not answer.
var errSilent = errors.New("the endpoint does not answer")

type testLeadership struct{}

func (testLeadership) Token() (int64, bool) { return 3, true }
func (testLeadership) Holder() string       { return "vm-1" }

// testGroup stands for the endpoints of a group and the platform.
type testGroup struct {
	mu sync.Mutex
	// term is the newest term; leads maps each endpoint that calls itself the primary to
	// its term.
	term  uint64
	leads map[string]uint64
	// logs holds the last positions of the endpoints' logs, 1/4 unless it is here.
	logs map[string]rattanmodel.Position
	// silent are the endpoints that do not answer.
	silent map[string]bool
	// promoted is the endpoint whose promote has not taken effect, which it does after
	// effectAfter status queries.
	promoted    string
	effectAfter int
	steppedDown []string
}

func newTestGroup(primary string) *testGroup {
	return &testGroup{term: 1, leads: map[string]uint64{primary: 1}, logs: make(map[string]rattanmodel.Position), silent: make(map[string]bool)}
}

func (g *testGroup) Status(endpoint rattancatalog.Endpoint, _ time.Duration) (rattansuccessor.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silent[endpoint.ID] {
		return rattansuccessor.Status{}, errSilent
	}
	if g.promoted != "" && g.effectAfter == 0 {
		g.lead(g.promoted)
	}
	g.effectAfter--
	status := rattansuccessor.Status{Endpoint: endpoint, Received: rattanmodel.Position{Term: 1, Index: 4}, Term: 1}
	if position, ok := g.logs[endpoint.ID]; ok {
		status.Received, status.Term = position, position.Term
	}
	if term, ok := g.leads[endpoint.ID]; ok {
		status.IsPrimary, status.Term = true, term
	}
	return status, nil
}

// lead makes an endpoint lead the next term. The caller holds g.mu.
func (g *testGroup) lead(endpoint string) {
	g.term++
	g.leads[endpoint], g.promoted = g.term, ""
}

func (g *testGroup) StepDown(endpoint rattancatalog.Endpoint, term uint64, _ time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if own, ok := g.leads[endpoint.ID]; ok && own < term {
		delete(g.leads, endpoint.ID)
		g.steppedDown = append(g.steppedDown, endpoint.ID)
	}
	return nil
}

func (g *testGroup) Promote(_ context.Context, _, endpoint, _ string, _ int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leads[endpoint] == g.term:
	case g.effectAfter > 0:
		g.promoted = endpoint
	default:
		g.lead(endpoint)
	}
	return nil
}

// TestLostConfirmation guards against a switchover that never ends because a daemon's
// direct confirmation was lost. The daemon's lease was revoked every 0.4 s for 11 s,
// and the group had no primary (scale-1 of Palapeli, 16 to 28 s).
func TestLostConfirmation(t *testing.T) {
	group := newTestGroup("e1")
	daemons := &testDaemons{lostResponses: 2}
	coordinator := New(rattanclock.System(), &testStore{}, group, group, daemons, testLeadership{}, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	report, err := coordinator.Run(ctx, Request{
		Group: "orders", Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e1", Version: 1},
		Endpoints: []rattancatalog.Endpoint{{ID: "e1", IsDraining: true}, {ID: "e2"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.To != "e2" || daemons.notified != daemons.lostResponses+1 {
		t.Errorf("primary moved to %q after %d notifications, want e2 after %d", report.To, daemons.notified, daemons.lostResponses+1)
	}
}

// TestVersionAboveLostRecords guards against a switchover in a restored store whose
// record other daemons ignore, because they know a later one that the store has lost.
func TestVersionAboveLostRecords(t *testing.T) {
	group, store := newTestGroup("e1"), &testStore{}
	coordinator := New(rattanclock.System(), store, group, group, &testDaemons{lostResponses: -1}, testLeadership{}, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lost := rattankv.NextNumber(4, 1) + 2
	if _, err := coordinator.Run(ctx, Request{
		Group: "orders", Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e1", Version: rattankv.NextNumber(3, 1)},
		Endpoints: []rattancatalog.Endpoint{{ID: "e1", IsDraining: true}, {ID: "e2"}}, Era: 2,
	}); err != nil {
		t.Fatal(err)
	}
	last := lost
	for _, record := range store.records {
		if record.Version <= last {
			t.Errorf("a record has version %d after %d", record.Version, last)
		}
		last = record.Version
	}
}

// runSwitchover runs a switchover of a group whose daemons stop at once, and returns the
// records that it wrote.
func runSwitchover(t *testing.T, group *testGroup, request Request) ([]rattangrant.PrimaryRecord, error) {
	t.Helper()
	store := &testStore{}
	coordinator := New(rattanclock.System(), store, group, group, &testDaemons{lostResponses: -1}, testLeadership{}, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request.Group = "orders"
	_, err := coordinator.Run(ctx, request)
	return store.records, err
}

// assertRecorded checks the primary and its term in the last of the records.
func assertRecorded(t *testing.T, records []rattangrant.PrimaryRecord, primary string, term uint64) {
	t.Helper()
	if len(records) == 0 {
		t.Fatal("no record was written")
	}
	if last := records[len(records)-1]; last.Primary != primary || last.Term != term || last.IsSwitching {
		t.Errorf("the last record is %+v, want the primary %s of term %d", last, primary, term)
	}
}

// TestPromoteOfDeposedPrimary guards against writes that are acknowledged at an old primary
// of a term that has ended: it was published as the new primary while its promote had not
// taken effect, because it still called itself one (review/1, ONE).
func TestPromoteOfDeposedPrimary(t *testing.T) {
	group := newTestGroup("e1")
	group.term, group.effectAfter = 2, 6
	group.silent["e2"] = true
	records, err := runSwitchover(t, group, Request{
		Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{Primary: "e2", Term: 2, Version: 3},
		Endpoints: []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	assertRecorded(t, records, "e1", 3)
}

// TestInitialPrimary guards against an old primary that is recorded for a group in which
// another endpoint leads a newer term.
func TestInitialPrimary(t *testing.T) {
	endpoints := []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	t.Run("two primaries", func(t *testing.T) {
		group := newTestGroup("e1")
		group.term, group.leads["e3"] = 2, 2
		records, err := runSwitchover(t, group, Request{Reason: ReasonInitial, Endpoints: endpoints})
		if err != nil {
			t.Fatal(err)
		}
		assertRecorded(t, records, "e3", 2)
	})
	t.Run("the new primary does not answer", func(t *testing.T) {
		group := newTestGroup("e1")
		group.term, group.logs["e2"], group.silent["e3"] = 2, rattanmodel.Position{Term: 2, Index: 1}, true
		if _, err := runSwitchover(t, group, Request{Reason: ReasonInitial, Endpoints: endpoints}); !errors.Is(err, ErrNoSuccessor) {
			t.Errorf("error %v, want %v", err, ErrNoSuccessor)
		}
	})
}

// TestDeposedPrimary guards against a needless promote, with a moment without a primary, when
// the recorded primary has been deposed and another endpoint leads the group.
func TestDeposedPrimary(t *testing.T) {
	group := newTestGroup("e1")
	group.term, group.leads["e3"], group.logs["e3"] = 2, 2, rattanmodel.Position{Term: 2, Index: 9}
	records, err := runSwitchover(t, group, Request{
		Reason: ReasonDeposed, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3},
		Endpoints: []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	assertRecorded(t, records, "e3", 2)
	if len(group.steppedDown) > 0 || group.term != 2 {
		t.Errorf("%q stepped down and the term is %d, want nobody and 2", group.steppedDown, group.term)
	}
}

// TestSyncReplicas guards against the loss of commits that only a draining replica holds, and
// against a step-down of the only endpoint that holds them (review/4, LOST).
func TestSyncReplicas(t *testing.T) {
	at := func(index uint64) rattanmodel.Position { return rattanmodel.Position{Term: 1, Index: index} }
	endpoints := []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e2", IsDraining: true}, {ID: "e3"}}
	t.Run("the primary has crashed", func(t *testing.T) {
		group := newTestGroup("e1")
		group.silent["e1"], group.logs["e2"], group.logs["e3"] = true, at(46), at(43)
		records, err := runSwitchover(t, group, Request{
			Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3},
			Endpoints: endpoints, SyncReplicas: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		assertRecorded(t, records, "e2", 2)
	})
	t.Run("a replica is silent", func(t *testing.T) {
		group := newTestGroup("e1")
		group.silent["e1"], group.silent["e2"] = true, true
		if _, err := runSwitchover(t, group, Request{
			Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3},
			Endpoints: endpoints, SyncReplicas: 1,
		}); !errors.Is(err, rattansuccessor.ErrLogsMissing) {
			t.Errorf("error %v, want %v", err, rattansuccessor.ErrLogsMissing)
		}
	})
	t.Run("a replica without an entry holds them", func(t *testing.T) {
		group := newTestGroup("e1")
		group.silent["e1"], group.logs["e2"], group.logs["e3"] = true, at(46), at(43)
		records, err := runSwitchover(t, group, Request{
			Reason: ReasonUnreachable, Record: rattangrant.PrimaryRecord{Primary: "e1", Term: 1, Version: 3},
			Endpoints: []rattancatalog.Endpoint{{ID: "e1"}, {ID: "e3"}}, Unlisted: []rattancatalog.Endpoint{{ID: "e2"}}, SyncReplicas: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		assertRecorded(t, records, "e2", 2)
	})
	t.Run("nobody has caught up with a draining primary", func(t *testing.T) {
		group := newTestGroup("e2")
		group.silent["e1"], group.logs["e2"], group.logs["e3"] = true, at(46), at(43)
		records, err := runSwitchover(t, group, Request{
			Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e2", Term: 1, Version: 3},
			Endpoints: endpoints, SyncReplicas: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		assertRecorded(t, records, "e2", 1)
		if len(group.steppedDown) > 0 {
			t.Errorf("%q stepped down", group.steppedDown)
		}
	})
}
