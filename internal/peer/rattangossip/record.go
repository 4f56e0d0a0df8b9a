// Package rattangossip spreads versioned records between daemons: every daemon
// comes to hold the newest version of each record, whichever peer has it.
//
// Store, Exchange and PeerSelector decide and have no network access. Runner connects
// them to a Link.
package rattangossip

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Record is one versioned value. Of two records with the same kind and name
// the one with the higher Epoch, then Version, replaces the other. The Value is
// not changed after the record has been offered.
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

// RecordFromWire converts a wire record. The value is shared.
func RecordFromWire(r *rattanv1.Record) Record {
	return Record{
		Kind:    r.GetKind(),
		Name:    r.GetName(),
		Epoch:   r.GetEpoch(),
		Version: r.GetVersion(),
		Value:   r.GetValue(),
	}
}

// Wire returns r as a wire message. The value is shared.
func (r Record) Wire() *rattanv1.Record {
	return &rattanv1.Record{Kind: r.Kind, Name: r.Name, Epoch: r.Epoch, Version: r.Version, Value: r.Value}
}

// Compare returns -1, 0 or +1 when r is older than, as old as or newer than
// other. Both have the same kind and name.
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

// wireBytes is close to the size of r in a message.
func (r Record) wireBytes() int {
	const envelopeBytes = 16
	return envelopeBytes + len(r.Name) + len(r.Value)
}

// hash covers everything but the value.
func (r Record) hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.AppendUvarint(buffer, uint64(r.Kind))
	buffer = binary.AppendUvarint(buffer, r.Epoch)
	buffer = binary.AppendUvarint(buffer, r.Version)
	buffer = append(buffer, r.Name...)
	return xxhash.Sum64(buffer)
}

type key struct {
	kind rattanv1.RecordKind
	name string
}

func (k key) bucket() int {
	return int((xxhash.Sum64String(k.name) + uint64(k.kind)) % bucketCount)
}

// urgent reports whether a change of the kind is pushed at once. The others
// travel with the regular exchanges.
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

// lifetime returns how long a record of the kind is kept after its last change,
// 0 for ever. Records with a lifetime are not compared by digest. A suspicion
// counts for 1.5 s and a switch for 1 s; they are kept longer so that a late
// copy is known as old.
func lifetime(kind rattanv1.RecordKind) time.Duration {
	switch kind {
	case rattanv1.RecordKind_RECORD_KIND_SUSPICION, rattanv1.RecordKind_RECORD_KIND_SWITCH:
		return 10 * time.Second
	default:
		return 0
	}
}
