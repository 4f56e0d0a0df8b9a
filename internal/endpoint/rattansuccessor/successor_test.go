package rattansuccessor

import (
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// primary returns the status of an endpoint that calls itself the primary of a term, replica
// that of one which follows a term.
func primary(id string, term, index uint64) Status {
	return Status{
		Endpoint: rattancatalog.Endpoint{ID: id}, Received: rattanmodel.Position{Term: term, Index: index}, Term: term, IsPrimary: true,
	}
}

func replica(id string, term, index uint64) Status {
	status := primary(id, term, index)
	status.IsPrimary = false
	return status
}

func draining(status Status) Status {
	status.Endpoint.IsDraining = true
	return status
}

// TestHasTakenOver guards against a primary that is published before its promote has taken
// effect, because it still called itself the primary of a term that had ended: writes were
// acknowledged at the old primary (review/1, ONE).
func TestHasTakenOver(t *testing.T) {
	for _, test := range []struct {
		name      string
		before    []Status
		knownTerm uint64
		now       Status
		want      bool
	}{
		{"a deposed primary, before its promote", []Status{primary("e1", 1, 9)}, 2, primary("e1", 1, 9), false},
		{"a deposed primary, after its promote", []Status{primary("e1", 1, 9)}, 2, primary("e1", 3, 9), true},
		{"a deposed primary, whose successor answers", []Status{primary("e1", 1, 9), primary("e2", 2, 5)}, 0, primary("e1", 1, 9), false},
		{"a replica, before its promote", []Status{replica("e2", 1, 9)}, 1, replica("e2", 1, 9), false},
		{"a replica, after its promote", []Status{replica("e2", 1, 9)}, 1, primary("e2", 2, 9), true},
		{"the leader, whose promote changes nothing", []Status{primary("e1", 2, 9), replica("e2", 2, 9)}, 2, primary("e1", 2, 9), true},
		{"the leader, which has stepped down", []Status{primary("e1", 2, 9)}, 2, replica("e1", 2, 9), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := New(Group{Term: test.knownTerm}, test.before).HasTakenOver(test.now); got != test.want {
				t.Errorf("has taken over: %t, want %t", got, test.want)
			}
		})
	}
}

// TestLeader guards against an old primary that is recorded as the primary of a group in
// which another one leads a newer term.
func TestLeader(t *testing.T) {
	for _, test := range []struct {
		name      string
		statuses  []Status
		knownTerm uint64
		want      string
	}{
		{"one primary", []Status{replica("e1", 1, 4), primary("e2", 1, 4)}, 0, "e2"},
		{"an old primary and a new one", []Status{primary("e1", 1, 9), primary("e2", 2, 4)}, 0, "e2"},
		{"an old primary and a replica of the new one", []Status{primary("e1", 1, 9), replica("e3", 2, 4)}, 0, ""},
		{"an old primary, by the known term", []Status{primary("e1", 1, 9)}, 2, ""},
		{"no primary", []Status{replica("e1", 1, 9)}, 0, ""},
		{"no answer", nil, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := New(Group{Term: test.knownTerm}, test.statuses).Leader(); got.Endpoint.ID != test.want {
				t.Errorf("the leader is %q, want %q", got.Endpoint.ID, test.want)
			}
		})
	}
}

// TestIsDeposed guards against an old primary that stays recorded although the endpoints tell
// of a newer term, and against a switchover without need.
func TestIsDeposed(t *testing.T) {
	for _, test := range []struct {
		name      string
		statuses  []Status
		knownTerm uint64
		want      bool
	}{
		{"the recorded primary leads", []Status{primary("e1", 2, 9), replica("e2", 2, 9)}, 2, false},
		{"an old primary has come back", []Status{primary("e1", 2, 9), primary("e2", 1, 12)}, 2, false},
		{"another endpoint leads", []Status{primary("e1", 2, 9), primary("e2", 3, 9)}, 2, true},
		{"a replica follows a newer term", []Status{primary("e1", 2, 9), replica("e2", 3, 9)}, 2, true},
		{"it is a replica", []Status{replica("e1", 2, 9)}, 2, true},
		{"it is a replica, and no term is known", []Status{replica("e1", 2, 9), primary("e2", 2, 9)}, 0, true},
		{"it does not answer", []Status{replica("e2", 2, 9)}, 2, false},
		{"nobody answers", nil, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := New(Group{Term: test.knownTerm}, test.statuses).IsDeposed("e1"); got != test.want {
				t.Errorf("deposed: %t, want %t", got, test.want)
			}
		})
	}
}
