package rattanfailover

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Suspicion says whether one monitor suspects the primary of a term.
type Suspicion struct {
	Group   string
	Monitor Daemon
	// Sequence orders the suspicions of one incarnation of the monitor.
	Sequence uint64
	// Term is the term whose primary is suspected.
	Term uint64
	// Suspected is false when the monitor no longer suspects the primary.
	Suspected bool
}

// suspicionValue is the JSON value of a suspicion record.
type suspicionValue struct {
	Group         string `json:"group"`
	Monitor       string `json:"monitor"`
	FailureDomain string `json:"failure_domain"`
	Term          uint64 `json:"term"`
	Suspected     bool   `json:"suspected"`
}

// Record returns s as a record for gossip.
func (s Suspicion) Record() (*rattanv1.Record, error) {
	value, err := json.Marshal(suspicionValue{s.Group, s.Monitor.Name, s.Monitor.FailureDomain, s.Term, s.Suspected})
	if err != nil {
		return nil, errors.Wrap(err, "suspicion")
	}
	return &rattanv1.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SUSPICION,
		Name:    s.Group + "@" + s.Monitor.Name,
		Epoch:   s.Monitor.Incarnation,
		Version: s.Sequence,
		Value:   value,
	}, nil
}

// SuspicionFromRecord converts a record received by gossip. It fails when the value
// is not a suspicion or does not belong to the record's name.
func SuspicionFromRecord(record *rattanv1.Record) (Suspicion, error) {
	var value suspicionValue
	if err := json.Unmarshal(record.GetValue(), &value); err != nil {
		return Suspicion{}, errors.Wrapf(err, "record %q is not a suspicion", record.GetName())
	}
	if value.Group+"@"+value.Monitor != record.GetName() {
		return Suspicion{}, errors.Errorf("record %q holds a suspicion of group %q by monitor %q", record.GetName(), value.Group, value.Monitor)
	}
	return Suspicion{
		Group:     value.Group,
		Monitor:   Daemon{Name: value.Monitor, Incarnation: record.GetEpoch(), FailureDomain: value.FailureDomain},
		Sequence:  record.GetVersion(),
		Term:      value.Term,
		Suspected: value.Suspected,
	}, nil
}
