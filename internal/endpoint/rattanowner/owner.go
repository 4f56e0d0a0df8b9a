// Package rattanowner decides which daemon keeps the connections to an
// endpoint. Reads of all daemons go through the owner, so that a connection of
// each client account stays open, the endpoint's queue stays short, and one place
// sees all that waits for it.
package rattanowner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A VM is a live daemon.
type VM struct {
	Name          string
	FailureDomain string
}

// Choose returns the owner of an endpoint: of the daemons in its failure domain
// the one with the highest hash of both names; of all daemons when there is none.
// It returns false when there is no daemon.
func Choose(endpoint rattancatalog.Endpoint, vms []VM) (string, bool) {
	var owner string
	var highest uint64
	var isLocal bool
	for _, vm := range vms {
		local := vm.FailureDomain == endpoint.FailureDomain
		if isLocal && !local {
			continue
		}
		hash := xxhash.Sum64String(vm.Name + "\x00" + endpoint.ID)
		if owner == "" || local && !isLocal || hash > highest {
			owner, highest, isLocal = vm.Name, hash, local
		}
	}
	return owner, owner != ""
}

// A ConnectionBudget is how the connections that an endpoint accepts are divided.
type ConnectionBudget struct {
	// MaxConnections is the number of connections that the endpoint accepts.
	MaxConnections int
	// Slots is the number of statements that the endpoint runs at once.
	Slots int
}

const (
	// reservePercent of the connections stay free for control and for
	// connections that are ending.
	reservePercent = 12
	// fallbackPercent of the connections are for daemons that cannot reach the
	// owner.
	fallbackPercent = 15
	// otherConnections is how many connections a daemon that is not the owner
	// may have while it cannot reach the owner.
	otherConnections = 2
	// minKept is the least number of connections of the owner.
	minKept = 4
	// queuedAtEndpoint is how many statements may wait at the endpoint, so that
	// its slots stay busy between an answer and the next statement.
	queuedAtEndpoint = 1
)

// OwnerConnections returns how many connections the owner has.
func (p ConnectionBudget) OwnerConnections() int {
	const percent = reservePercent + fallbackPercent
	return max(p.MaxConnections-(p.MaxConnections*percent+99)/100, minKept)
}

// Idle returns how many connections the owner keeps without a request. An endpoint
// counts the connections of daemons that lost power for three seconds, so that most
// of what it accepts has to stay free for those that take their place.
func (p ConnectionBudget) Idle() int {
	const idlePercent = 35
	return max(p.MaxConnections*idlePercent/100, p.InFlight())
}

// FallbackConnections returns how many connections another daemon has.
func (p ConnectionBudget) FallbackConnections() int { return otherConnections }

// InFlight returns how many statements the owner has running at once.
func (p ConnectionBudget) InFlight() int { return p.Slots + queuedAtEndpoint }
