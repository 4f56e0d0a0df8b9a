// Package rattangossip spreads versioned records between daemons by gossip: in the
// end every daemon holds the newest version of each record.
//
// Store holds the records, Exchange builds and handles messages, and PeerSelector
// selects the peers; none of them has network access. Runner connects them to the
// network through a Link.
package rattangossip

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Record is one versioned value. Of two records with the same kind and name
// the one with the higher Epoch, then Version, replaces the other. The Value must
// not be changed after the record has been merged into a Store.
//
// A record with Epoch and Version 0 is volatile: it is part of one message only
// and is never stored.
type Record struct {
	Kind    rattanv1.RecordKind
	Name    string
	Epoch   uint64
	Version uint64
	Value   []byte
}

// RecordFromWire converts a wire message. Its value is not copied.
func RecordFromWire(r *rattanv1.Record) Record {
	return Record{
		Kind:    r.GetKind(),
		Name:    r.GetName(),
		Epoch:   r.GetEpoch(),
		Version: r.GetVersion(),
		Value:   r.GetValue(),
	}
}

// Wire returns r as a wire message. The value is not copied.
func (r Record) Wire() *rattanv1.Record {
	return &rattanv1.Record{Kind: r.Kind, Name: r.Name, Epoch: r.Epoch, Version: r.Version, Value: r.Value}
}

// Compare returns -1, 0 or +1 when r is older than, as old as or newer than other.
// Both must have the same kind and name.
func (r Record) Compare(other Record) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version))
}

func (r Record) volatile() bool {
	return r.Epoch == 0 && r.Version == 0
}

func (r Record) key() key {
	return key{kind: r.Kind, name: r.Name}
}

func (r Record) versionOnly() *rattanv1.RecordVersion {
	return &rattanv1.RecordVersion{Kind: r.Kind, Name: r.Name, Epoch: r.Epoch, Version: r.Version}
}

// wireBytes estimates the size of r in a message.
func (r Record) wireBytes() int {
	const envelopeBytes = 16
	return envelopeBytes + len(r.Name) + len(r.Value)
}

// hash returns a hash of everything but the value.
func (r Record) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.AppendUvarint(buffer, uint64(r.Kind))
	buffer = binary.AppendUvarint(buffer, r.Epoch)
	buffer = binary.AppendUvarint(buffer, r.Version)
	buffer = append(buffer, r.Name...)
	return xxhash.Sum64(buffer)
}

// key identifies a record without its version.
type key struct {
	kind rattanv1.RecordKind
	name string
}

// bucket returns the part of the digest that covers the record.
func (k key) bucket() int {
	return int((xxhash.Sum64String(k.name) + uint64(k.kind)) % bucketCount)
}

// urgent reports whether changes of records of the kind are pushed at once. Other
// changes travel with the regular exchanges only.
func urgent(kind rattanv1.RecordKind) bool {
	switch kind {
	case rattanv1.RecordKind_RECORD_KIND_SETTINGS,
		rattanv1.RecordKind_RECORD_KIND_ROSTER,
		rattanv1.RecordKind_RECORD_KIND_GROUP,
		rattanv1.RecordKind_RECORD_KIND_SUSPICION,
		rattanv1.RecordKind_RECORD_KIND_SWITCH,
		rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL:
		return true
	default:
		return false
	}
}

// lifetime returns how long a record of the kind is stored after its last change;
// 0 means for ever. The digest does not cover records with a lifetime. A suspicion
// is valid for 1.5 s and a switchover record for 1 s; they are stored longer so
// that a late copy is recognized as old.
func lifetime(kind rattanv1.RecordKind) time.Duration {
	switch kind {
	case rattanv1.RecordKind_RECORD_KIND_SUSPICION, rattanv1.RecordKind_RECORD_KIND_SWITCH:
		return 10 * time.Second
	default:
		return 0
	}
}
