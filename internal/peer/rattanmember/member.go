// Package rattanmember lists the daemons of the fleet and detects which of them
// are live, by heartbeats that travel with every gossip exchange.
//
// What seldom changes about a daemon (addresses, state) is a gossip record. Its
// heartbeat counter, the number of its running requests and its revisions change
// all the time. They travel in heartbeat vectors, one for each failure domain,
// of about one byte per daemon: sent as records they would exceed the budget for
// control traffic of a daemon in a large fleet several times.
package rattanmember

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A State is what a daemon reports of itself in its record.
type State string

// The states of a daemon.
const (
	// Serving accepts new requests.
	Serving State = "serving"
	// Draining finishes the requests that it has; its failure domain has been
	// taken out.
	Draining State = "draining"
	// Leaving is about to stop. The daemon no longer counts as live.
	Leaving State = "leaving"
)

// Addresses are the addresses at which a daemon listens, each host:port.
type Addresses struct {
	Caller   string
	Operator string
	Peer     string
}

// An Identity identifies one start of a daemon on a VM.
type Identity struct {
	VM string
	// Incarnation rises with every start of a daemon on the VM.
	Incarnation   uint64
	FailureDomain string
	Addresses     Addresses
}

// Revisions are the settings that a daemon has in force.
type Revisions struct {
	// Settings is the revision up to which the daemon has all settings in force.
	Settings uint64
	// Digest is a hash over the revision of each document.
	Digest uint64
}

// A Member is what this daemon knows of one daemon.
type Member struct {
	Identity
	State State
	// Live is true while the daemon's heartbeat counter advances and its State
	// is not Leaving.
	Live bool
	// SinceHeartbeat is the time since the counter last advanced, on this
	// daemon's clock. It is valid when HeartbeatSeen is true; otherwise only the
	// daemon's record has been received so far.
	SinceHeartbeat time.Duration
	HeartbeatSeen  bool
	// Revisions and Running are as of the last heartbeat.
	Revisions Revisions
	// Running is the number of callers' requests that the daemon is running.
	Running uint32
}

// memberValue is the value of a daemon's gossip record. The VM is the record's
// name and the incarnation is its epoch.
type memberValue struct {
	FailureDomain   string `json:"failure_domain"`
	CallerAddress   string `json:"caller_address,omitempty"`
	OperatorAddress string `json:"operator_address,omitempty"`
	PeerAddress     string `json:"peer_address,omitempty"`
	State           State  `json:"state"`
}

func recordOf(identity Identity, state State, version uint64) rattangossip.Record {
	// Marshalling a struct of strings cannot fail.
	value, _ := json.Marshal(memberValue{
		FailureDomain:   identity.FailureDomain,
		CallerAddress:   identity.Addresses.Caller,
		OperatorAddress: identity.Addresses.Operator,
		PeerAddress:     identity.Addresses.Peer,
		State:           state,
	})
	return rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_DAEMON,
		Name:    identity.VM,
		Epoch:   identity.Incarnation,
		Version: version,
		Value:   value,
	}
}

func parseRecord(record rattangossip.Record) (Identity, State, error) {
	var value memberValue
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return Identity{}, "", errors.Wrapf(err, "record of daemon %s", record.Name)
	}
	if record.Name == "" || value.FailureDomain == "" {
		return Identity{}, "", errors.Errorf("record of daemon %q has no VM or no failure domain", record.Name)
	}
	identity := Identity{
		VM:            record.Name,
		Incarnation:   record.Epoch,
		FailureDomain: value.FailureDomain,
		Addresses:     Addresses{Caller: value.CallerAddress, Operator: value.OperatorAddress, Peer: value.PeerAddress},
	}
	return identity, value.State, nil
}
