// Package rattanmember knows which daemons there are and which of them are
// live, by heartbeats that travel with every gossip exchange.
//
// What seldom changes about a daemon is a gossip record. Its heartbeat counter,
// its running count and its revisions change all the time and travel as vectors,
// one per failure domain, of about one byte per daemon; a record for each of
// them would cost a daemon of a large fleet several times its control budget.
package rattanmember

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A State is what a daemon says of itself.
type State string

// The states of a daemon.
const (
	// Serving takes new work.
	Serving State = "serving"
	// Draining finishes its work; its failure domain has been taken out.
	Draining State = "draining"
	// Leaving is about to stop and takes part in no decision any more.
	Leaving State = "leaving"
)

// Addresses are where a daemon listens, each host:port.
type Addresses struct {
	Caller   string
	Operator string
	Peer     string
}

// An Identity says which daemon of which VM it is.
type Identity struct {
	VM string
	// Incarnation is higher for every start of a daemon on the VM.
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

// A Member is one daemon as this daemon knows it.
type Member struct {
	Identity
	State State
	// Live is true while the daemon's heartbeat counter moves and it does not
	// say that it leaves.
	Live bool
	// SinceHeartbeat is the time since the counter last moved on this daemon's clock,
	// valid when Heard. A daemon that was never heard is known by record only.
	SinceHeartbeat time.Duration
	HeartbeatSeen  bool
	// Revisions and Running are as of the last heartbeat.
	Revisions Revisions
	// Running is the number of requests for callers.
	Running uint32
}

// memberValue is the value of a daemon's gossip record. The VM is the record's
// name and the incarnation its epoch.
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
