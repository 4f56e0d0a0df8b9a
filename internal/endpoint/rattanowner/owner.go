// Package rattanowner decides which daemon owns the connections to an endpoint, and
// how many connections the owner and other daemons may have. All daemons forward their
// reads to the owner, so that one connection of each client account stays open, the
// endpoint's own queue stays short, and one daemon sees all requests that wait for
// the endpoint.
package rattanowner

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A VM is a VM whose daemon is live.
type VM struct {
	Name          string
	FailureDomain string
}

// Choose returns the owner of an endpoint: the daemon in the endpoint's failure domain
// with the highest hash of VM name and endpoint id, or that of all daemons when the
// failure domain has none. It returns false when there is no daemon.
func Choose(endpoint rattancatalog.Endpoint, vms []VM) (string, bool) {
	var owner string
	var highestHash uint64
	var isLocal bool
	for _, vm := range vms {
		vmIsLocal := vm.FailureDomain == endpoint.FailureDomain
		if isLocal && !vmIsLocal {
			continue
		}
		hash := rattanrendezvous.Weight(vm.Name, endpoint.ID)
		if owner == "" || vmIsLocal && !isLocal || hash > highestHash {
			owner, highestHash, isLocal = vm.Name, hash, vmIsLocal
		}
	}
	return owner, owner != ""
}

// A ConnectionBudget divides the connections that an endpoint accepts.
type ConnectionBudget struct {
	// MaxConnections is the number of connections that the endpoint accepts.
	MaxConnections int
	// Slots is the number of statements that the endpoint runs at once.
	Slots int
}

const (
	// reservePercent is the part of the connections that stays free for control
	// requests and for connections that are being closed.
	reservePercent = 12
	// fallbackPercent is the part of the connections for daemons that cannot reach
	// the owner.
	fallbackPercent = 15
	// fallbackConnections is how many connections a daemon may have while it cannot
	// reach the owner.
	fallbackConnections = 2
	// minOwnerConnections is the minimum number of connections of the owner.
	minOwnerConnections = 4
	// queuedAtEndpoint is how many statements may wait at the endpoint, so that
	// its slots stay busy between a response and the next statement.
	queuedAtEndpoint = 1
)

// OwnerConnections returns how many connections the owner may have.
func (b ConnectionBudget) OwnerConnections() int {
	const percent = reservePercent + fallbackPercent
	return max(b.MaxConnections-(b.MaxConnections*percent+99)/100, minOwnerConnections)
}

// Idle returns how many idle connections the owner keeps open. An endpoint still
// counts the connections of daemons that lost power for three seconds, so most of
// its connections have to stay free for the daemons that replace them.
func (b ConnectionBudget) Idle() int {
	const idlePercent = 35
	return max(b.MaxConnections*idlePercent/100, b.InFlight())
}

// FallbackConnections returns how many connections a daemon other than the owner may
// have.
func (b ConnectionBudget) FallbackConnections() int { return fallbackConnections }

// InFlight returns how many statements of the owner may be in flight at once.
func (b ConnectionBudget) InFlight() int { return b.Slots + queuedAtEndpoint }
