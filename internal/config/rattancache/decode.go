package rattancache

import (
	"encoding/json"
	"math"
	"net"
	"strconv"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// maxNumber is above each version and fencing token of a record, so that the next ones can
// be counted.
const maxNumber = math.MaxInt64 / 2

// errNoLease says that an entry which daemons bind to a lease has none, so that no daemon
// wrote it and it would never end.
var errNoLease = errors.New("the entry is bound to no lease")

// decodeVM decodes the entry of a VM. An entry that no daemon can have written is an error.
func decodeVM(item rattankv.Item) (VMRecord, error) {
	var record VMRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return VMRecord{}, errors.Wrap(err, "decode the entry of a VM")
	}
	if item.Lease.IsZero() {
		return VMRecord{}, errNoLease
	}
	if record.Incarnation == "" {
		return VMRecord{}, errors.New("the entry has no incarnation")
	}
	if record.ProcessorCores < 0 {
		return VMRecord{}, errors.Errorf("processor_cores %g is negative", record.ProcessorCores)
	}
	record.Lease = item.Lease
	return record, validateAddress(record.Address)
}

func decodeMember(item rattankv.Item) (MemberRecord, error) {
	var record MemberRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return MemberRecord{}, errors.Wrap(err, "decode the entry of a member")
	}
	if record.Incarnation == "" {
		return MemberRecord{}, errors.New("the entry has no incarnation")
	}
	record.CreateRevision, record.Revision = item.CreateRevision, item.Revision
	return record, validateAddress(record.Address)
}

// validateAddress returns why no daemon can listen on an address (host:port).
func validateAddress(address string) error {
	host, portText, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return errors.Errorf("address %q is not a host and a port", address)
	}
	if port, err := strconv.ParseUint(portText, 10, 16); err != nil || port == 0 {
		return errors.Errorf("address %q has a port that is not from 1 to 65535", address)
	}
	return nil
}

// DecodeGroup decodes the record of a group's primary.
func DecodeGroup(value []byte) (rattangrant.PrimaryRecord, error) {
	var record rattangrant.PrimaryRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return rattangrant.PrimaryRecord{}, errors.Wrap(err, "decode the record of a group")
	}
	if record.Version < 1 || record.Version > maxNumber || record.FencingToken < 0 || record.FencingToken > maxNumber {
		return rattangrant.PrimaryRecord{}, errors.Errorf("version %d or fencing token %d is out of range", record.Version, record.FencingToken)
	}
	for _, holder := range record.Holders {
		if holder.ID == "" || holder.Address == "" {
			return rattangrant.PrimaryRecord{}, errors.Errorf("holder %q has the address %q, want an id and an address", holder.ID, holder.Address)
		}
	}
	return record, nil
}

// DecodeLeader decodes the record of the failover leader.
func DecodeLeader(item rattankv.Item) (LeaderRecord, error) {
	var record LeaderRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return LeaderRecord{}, errors.Wrap(err, "decode the record of the failover leader")
	}
	if item.Lease.IsZero() {
		return LeaderRecord{}, errNoLease
	}
	if record.VM == "" || record.Token < 1 || record.Token > maxNumber {
		return LeaderRecord{}, errors.Errorf("it names no VM, or token %d is out of range", record.Token)
	}
	return record, nil
}

// DecodeToken decodes the last fencing token.
func DecodeToken(value []byte) (int64, error) {
	var token int64
	if err := json.Unmarshal(value, &token); err != nil {
		return 0, errors.Wrap(err, "decode the last fencing token")
	}
	if token < 0 || token > maxNumber {
		return 0, errors.Errorf("fencing token %d is out of range", token)
	}
	return token, nil
}
