package rattanswitchover

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
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

type testLeadership struct{}

func (testLeadership) Token() (int64, bool) { return 3, true }
func (testLeadership) Holder() string       { return "vm-1" }

// testGroup stands for the endpoints of a group and the platform.
type testGroup struct {
	primary string
}

func (g *testGroup) Status(endpoint rattancatalog.Endpoint, _ time.Duration) (Status, error) {
	return Status{Endpoint: endpoint, Received: rattanmodel.Position{Term: 1, Index: 4}, IsPrimary: endpoint.ID == g.primary}, nil
}

func (g *testGroup) StepDown(rattancatalog.Endpoint, uint64, time.Duration) error {
	g.primary = ""
	return nil
}

func (g *testGroup) Promote(_ context.Context, _, endpoint, _ string, _ int64) error {
	g.primary = endpoint
	return nil
}

// TestLostConfirmation guards against a switchover that never ends because a daemon's
// direct confirmation was lost. The daemon's lease was revoked every 0.4 s for 11 s,
// and the group had no primary (scale-1 of Palapeli, 16 to 28 s).
func TestLostConfirmation(t *testing.T) {
	group := &testGroup{primary: "e1"}
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
	group, store := &testGroup{primary: "e1"}, &testStore{}
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
