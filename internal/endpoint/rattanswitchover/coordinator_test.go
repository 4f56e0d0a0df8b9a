package rattanswitchover

import (
	"context"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// testStore accepts every commit; the other calls are not used.
type testStore struct {
	rattankv.Store
	revision int64
}

func (s *testStore) Commit(context.Context, rattankv.Txn) (int64, error) {
	s.revision++
	return s.revision, nil
}

// testMembers has one daemon whose answers to the first messages are lost.
type testMembers struct {
	lost, told, expelled int
}

func (m *testMembers) Active(string, int64, int64, time.Time) (ActiveDaemons, error) {
	if m.told > m.lost {
		return ActiveDaemons{}, nil
	}
	return ActiveDaemons{Registered: []string{"vm-2"}}, nil
}

func (m *testMembers) Notify(context.Context, string, int64) { m.told++ }

func (m *testMembers) Expel(context.Context, []string) error {
	m.expelled++
	return nil
}

type testLeadership struct{}

func (testLeadership) Token() (int64, bool) { return 3, true }
func (testLeadership) Holder() string       { return "vm-1" }

// testGroup is the endpoints of a group.
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

// TestLostConfirmation guards against a switch that never ends because a daemon's
// direct confirmation was lost: its lease was revoked every 0.4 s for 11 s, and
// the group had no primary (scale-1 of Palapeli, 16 to 28 s).
func TestLostConfirmation(t *testing.T) {
	group := &testGroup{primary: "e1"}
	members := &testMembers{lost: 2}
	coordinator := New(rattanclock.System(), &testStore{}, group, group, members, testLeadership{}, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	report, err := coordinator.Run(ctx, Request{
		Group: "orders", Reason: ReasonLeaving, Record: rattangrant.PrimaryRecord{Primary: "e1", Version: 1},
		Endpoints: []rattancatalog.Endpoint{{ID: "e1", IsDraining: true}, {ID: "e2"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.To != "e2" || members.told != members.lost+1 {
		t.Errorf("moved to %q after %d messages, want e2 after %d", report.To, members.told, members.lost+1)
	}
}
