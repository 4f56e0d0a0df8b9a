package rattanowner

import (
	"testing"
)

// TestScarceBudget guards against connections over an endpoint's limit when a new owner
// opens its own while the endpoint still counts all of the former owner's, and against a
// budget that changes where there is a connection for each account. The limits are those
// of the users' sites.
func TestScarceBudget(t *testing.T) {
	for _, site := range []ConnectionBudget{{MaxConnections: 72, Slots: 6, Accounts: 86}, {MaxConnections: 82, Slots: 5, Accounts: 87}, {MaxConnections: 40, Slots: 3, Accounts: 88}, {MaxConnections: 21, Slots: 3, Accounts: 8}} {
		if sum := site.OwnerConnections() + site.TakeoverConnections() + site.FallbackConnections(); sum > site.MaxConnections {
			t.Errorf("%d connections of an endpoint that accepts %d", sum, site.MaxConnections)
		}
		if site.OwnerConnections() < 3*site.InFlight() {
			t.Errorf("the owner has %d of %d connections, %d statements in flight", site.OwnerConnections(), site.MaxConnections, site.InFlight())
		}
		if site.Idle() != site.OwnerConnections() {
			t.Errorf("%d idle connections of %d", site.Idle(), site.OwnerConnections())
		}
	}
	ample := ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 25}
	if ample.OwnerConnections() != 52 || ample.Idle() != 25 {
		t.Errorf("with a connection for each account the owner has %d connections and keeps %d idle, want 52 and 25", ample.OwnerConnections(), ample.Idle())
	}
}

// TestPart guards against a former owner that loses its slots while statements wait there,
// and against each of many daemons that can reach neither owner nor deputy taking as much as
// a new owner.
func TestPart(t *testing.T) {
	budget := ConnectionBudget{MaxConnections: 72, Slots: 6, Accounts: 86}
	owner := budget.Part(Role{IsOwner: true, IsSettled: true})
	other := budget.Part(Role{})
	takeover := budget.TakeoverConnections()
	tests := []struct {
		name              string
		role              Role
		connections, idle int
	}{
		{"owner", Role{IsOwner: true, IsSettled: true}, budget.OwnerConnections(), budget.OwnerConnections()},
		{"new owner", Role{IsOwner: true}, takeover, takeover},
		{"owner refused for too many", Role{IsOwner: true, IsSettled: true, IsRefused: true}, (budget.OwnerConnections() + takeover) / 2, (budget.OwnerConnections() + takeover) / 2},
		{"superseded owner", Role{IsOwner: true, IsSettled: true, IsSuperseded: true}, budget.FallbackConnections(), 0},
		{"deputy of an owner that answers", Role{IsDeputy: true, OwnerAnswers: true}, takeover, 0},
		{"deputy of a silent owner", Role{IsDeputy: true}, takeover, takeover},
		{"former owner with statements", Role{HasWaiting: true, Before: owner}, takeover, 0},
		{"former owner without", Role{Before: owner}, budget.FallbackConnections(), 0},
		{"another daemon with statements", Role{HasWaiting: true, Before: other}, budget.FallbackConnections(), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := budget.Part(test.role); got.Connections != test.connections || got.Idle != test.idle {
				t.Errorf("%d connections, %d of them idle, want %d and %d", got.Connections, got.Idle, test.connections, test.idle)
			}
		})
	}
}
