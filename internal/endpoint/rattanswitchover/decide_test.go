package rattanswitchover

import (
	"slices"
	"testing"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

func group() []rattancatalog.Endpoint {
	return []rattancatalog.Endpoint{
		{ID: "e1", FailureDomain: "a"}, {ID: "e2", FailureDomain: "b"}, {ID: "e3", FailureDomain: "c"},
	}
}

func leaving() []rattancatalog.Endpoint {
	endpoints := group()
	endpoints[0].IsDraining = true
	return endpoints
}

// TestDecide guards against a primary that is replaced without need, or that is not
// replaced when it is unreachable, draining or gone.
func TestDecide(t *testing.T) {
	settled := rattangrant.PrimaryRecord{Primary: "e1", Version: 1}
	for _, test := range []struct {
		name  string
		state GroupState
		want  Reason
	}{
		{"no reason", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Daemons: 7}, ReasonNone},
		{"no record", GroupState{Endpoints: group(), Daemons: 7}, ReasonInitial},
		{"switchover begun by another leader", GroupState{Record: rattangrant.PrimaryRecord{Primary: "e1", IsSwitching: true}, HasRecord: true, Endpoints: group()}, ReasonResume},
		{"one daemon cannot reach the primary", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Reporters: 1, Daemons: 7}, ReasonNone},
		{"half of the daemons cannot reach the primary", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Reporters: 4, Daemons: 7}, ReasonUnreachable},
		{"the only daemon registered after a partition cannot reach the primary", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Reporters: 1, Daemons: 9}, ReasonNone},
		{"unreachable without another endpoint", GroupState{Record: settled, HasRecord: true, Endpoints: group()[:1], Reporters: 7, Daemons: 7}, ReasonNone},
		{"unreachable, entry missing, one other endpoint", GroupState{Record: settled, HasRecord: true, Endpoints: group()[1:2], Reporters: 7, Daemons: 7}, ReasonUnreachable},
		{"unreachable while the others are past their limit", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Unusable: map[string]bool{"e2": true, "e3": true}, Reporters: 7, Daemons: 7}, ReasonNone},
		{"unreachable while another endpoint drains", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Unusable: map[string]bool{"e2": true}, Reporters: 7, Daemons: 7}, ReasonUnreachable},
		{"deposed", GroupState{Record: settled, HasRecord: true, Endpoints: group(), IsDeposed: true, Daemons: 7}, ReasonDeposed},
		{"deposed during a switchover", GroupState{Record: rattangrant.PrimaryRecord{Primary: "e1", IsSwitching: true}, HasRecord: true, Endpoints: group(), IsDeposed: true}, ReasonResume},
		{"deposed by a record that the store has lost", GroupState{Record: settled, HasRecord: true, IsLost: true, Endpoints: group(), IsDeposed: true}, ReasonNone},
		{"draining", GroupState{Record: settled, HasRecord: true, Endpoints: leaving(), Daemons: 7}, ReasonLeaving},
		{"draining without a successor", GroupState{Record: settled, HasRecord: true, Endpoints: leaving()[:1], Daemons: 7}, ReasonNone},
		{"evacuated", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Evacuated: map[string]bool{"a": true}, Daemons: 7}, ReasonEvacuated},
		{"entry missing for a moment", GroupState{Record: settled, HasRecord: true, Endpoints: group()[1:], Daemons: 7}, ReasonNone},
		{"entry missing for long", GroupState{Record: settled, HasRecord: true, Endpoints: group()[1:], IsPrimaryGone: true, Daemons: 7}, ReasonLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Decide(test.state); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// TestCandidates guards against the promotion of an endpoint that gets no new
// statements any more: nothing could run there, and commits that only the old primary
// holds would be lost.
func TestCandidates(t *testing.T) {
	state := GroupState{
		Record: rattangrant.PrimaryRecord{Primary: "e1"}, HasRecord: true, Endpoints: group(),
		Unusable: map[string]bool{"e1": true, "e2": true},
	}
	var ids []string
	for _, endpoint := range state.Candidates() {
		ids = append(ids, endpoint.ID)
	}
	if !slices.Equal(ids, []string{"e1", "e3"}) {
		t.Errorf("candidates %q, want the primary and the endpoint that stays", ids)
	}
}

// TestSyncCandidates guards against a switchover that does not ask an endpoint past its limit,
// which may be the only one that holds acknowledged commits.
func TestSyncCandidates(t *testing.T) {
	state := GroupState{
		Record: rattangrant.PrimaryRecord{Primary: "e1"}, HasRecord: true, Endpoints: group(),
		Unusable: map[string]bool{"e2": true}, SyncReplicas: 1,
	}
	if candidates := state.Candidates(); len(candidates) != 3 {
		t.Errorf("candidates %v, want all three endpoints", candidates)
	}
}

// TestBlocked guards against a primary that cannot be replaced without any log line
// that says so.
func TestBlocked(t *testing.T) {
	settled := rattangrant.PrimaryRecord{Primary: "e1", Version: 1}
	for _, test := range []struct {
		name  string
		state GroupState
		want  Reason
	}{
		{"the last endpoint drains", GroupState{Record: settled, HasRecord: true, Endpoints: leaving()[:1]}, ReasonLeaving},
		{"all are evacuated", GroupState{Record: settled, HasRecord: true, Endpoints: group(), Evacuated: map[string]bool{"a": true, "b": true, "c": true}}, ReasonEvacuated},
		{"another endpoint can take over", GroupState{Record: settled, HasRecord: true, Endpoints: leaving()}, ReasonNone},
		{"the primary stays", GroupState{Record: settled, HasRecord: true, Endpoints: group()[:1]}, ReasonNone},
		{"the primary has no entry", GroupState{Record: settled, HasRecord: true, Endpoints: group()[1:]}, ReasonNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Blocked(test.state); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}
