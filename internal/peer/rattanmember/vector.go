package rattanmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// errMalformedVector is returned for bytes that are not a heartbeat vector.
var errMalformedVector = errors.New("malformed heartbeat vector")

// A vector has the heartbeats of one failure domain. Its encoding is:
//
//	1 byte   flags: sparse, running
//	dense:   4 bytes hash of the members' identities, then one bit per member
//	         in the order of the VM names, set when the member is present
//	sparse:  number of members (varint), then a 4-byte tag for each
//	         lowest byte of the counter, for each present member
//	         number of distinct revisions (varint), then for each: the settings
//	         revision (varint) and 8 bytes of digest
//	         with more than one of them: an index byte for each present member
//	running: running count (varint) for each present member
//
// Sender and receiver of a dense vector must know the same members. When their
// hashes differ, which lasts until a new member's record has arrived, the
// receiver answers with a sparse vector.
type vector struct {
	sparse bool
	// hash is valid for a dense vector.
	hash    uint32
	entries []vectorEntry
	// withRunning says whether the vector carries running counts.
	withRunning bool
}

type vectorEntry struct {
	// tag identifies the member in a sparse vector.
	tag uint32
	// index is the member's place in the failure domain's member list; it
	// identifies the member in a dense vector.
	index int
	// counter is the lowest byte of the heartbeat counter.
	counter   byte
	revisions Revisions
	// running is the number of callers' requests that the member is running.
	running uint32
}

const (
	flagSparse  = 1 << 0
	flagRunning = 1 << 1
	// maxRevisions is the number of distinct revisions that one vector can have,
	// since each member refers to its own by one byte. Members with further
	// revisions are left out of the vector.
	maxRevisions = 255
)

// tagOf returns the tag of one incarnation of a daemon.
func tagOf(vm string, incarnation uint64) uint32 {
	buffer := binary.BigEndian.AppendUint64(make([]byte, 0, 64), incarnation)
	return uint32(xxhash.Sum64(append(buffer, vm...)))
}

// hashOf returns the hash of members given by their tags in order.
func hashOf(tags []uint32) uint32 {
	buffer := make([]byte, 0, 4*len(tags))
	for _, tag := range tags {
		buffer = binary.BigEndian.AppendUint32(buffer, tag)
	}
	return uint32(xxhash.Sum64(buffer))
}

// encode returns the encoding of v for a failure domain with the given number of
// members.
func (v vector) encode(members int) []byte {
	revisions, entries, index := v.distinctRevisions()
	buffer := v.encodeMembers(entries, members)
	for _, e := range entries {
		buffer = append(buffer, e.counter)
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(revisions)))
	for _, r := range revisions {
		buffer = binary.AppendUvarint(buffer, r.Settings)
		buffer = binary.BigEndian.AppendUint64(buffer, r.Digest)
	}
	if len(revisions) > 1 {
		buffer = append(buffer, index...)
	}
	if v.withRunning {
		for _, e := range entries {
			buffer = binary.AppendUvarint(buffer, uint64(e.running))
		}
	}
	return buffer
}

// distinctRevisions returns the distinct revisions, the entries that fit, and
// for each of these the index of its revisions.
func (v vector) distinctRevisions() (revisions []Revisions, entries []vectorEntry, index []byte) {
	entries = make([]vectorEntry, 0, len(v.entries))
	index = make([]byte, 0, len(v.entries))
	for _, e := range v.entries {
		i := slices.Index(revisions, e.revisions)
		if i < 0 && len(revisions) == maxRevisions {
			continue
		}
		if i < 0 {
			i = len(revisions)
			revisions = append(revisions, e.revisions)
		}
		entries = append(entries, e)
		index = append(index, byte(i))
	}
	return revisions, entries, index
}

// encodeMembers encodes the flags and the part that says which members are
// present.
func (v vector) encodeMembers(entries []vectorEntry, members int) []byte {
	var flags byte
	if v.withRunning {
		flags |= flagRunning
	}
	if v.sparse {
		buffer := binary.AppendUvarint([]byte{flags | flagSparse}, uint64(len(entries)))
		for _, e := range entries {
			buffer = binary.BigEndian.AppendUint32(buffer, e.tag)
		}
		return buffer
	}
	buffer := binary.BigEndian.AppendUint32([]byte{flags}, v.hash)
	bits := make([]byte, (members+7)/8)
	for _, e := range entries {
		bits[e.index/8] |= 1 << (e.index % 8)
	}
	return append(buffer, bits...)
}

// decodeVector decodes a vector. members is the number of members that the
// receiver knows and hash is their hash. A dense vector with another hash cannot
// be decoded and is returned with its hash only.
func decodeVector(data []byte, members int, hash uint32) (vector, error) {
	r := vectorReader{data: data}
	flags := r.byte()
	v := vector{sparse: flags&flagSparse != 0, withRunning: flags&flagRunning != 0}
	if v.sparse {
		count := r.uvarint()
		if count > uint64(len(r.data)/4) {
			return vector{}, errMalformedVector
		}
		for range count {
			v.entries = append(v.entries, vectorEntry{tag: r.uint32()})
		}
	} else {
		v.hash = r.uint32()
		if !r.failed && v.hash != hash {
			return v, nil
		}
		bits := r.bytes((members + 7) / 8)
		for i := range members {
			if !r.failed && bits[i/8]&(1<<(i%8)) != 0 {
				v.entries = append(v.entries, vectorEntry{index: i})
			}
		}
	}
	v.decodeColumns(&r)
	if r.failed || len(r.data) > 0 {
		return vector{}, errMalformedVector
	}
	return v, nil
}

// decodeColumns decodes what follows the members: counters, revisions and running
// counts.
func (v vector) decodeColumns(r *vectorReader) {
	for i := range v.entries {
		v.entries[i].counter = r.byte()
	}
	count := r.uvarint()
	if count > maxRevisions || (count == 0 && len(v.entries) > 0) {
		r.failed = true
		return
	}
	revisions := make([]Revisions, count)
	for i := range revisions {
		revisions[i] = Revisions{Settings: r.uvarint(), Digest: r.uint64()}
	}
	for i := range v.entries {
		var index byte
		if count > 1 {
			index = r.byte()
		}
		if int(index) >= len(revisions) {
			r.failed = true
			return
		}
		v.entries[i].revisions = revisions[index]
	}
	if !v.withRunning {
		return
	}
	for i := range v.entries {
		v.entries[i].running = uint32(r.uvarint())
	}
}

// vectorReader reads the fields of an encoded vector. After the end of the data it
// returns zeros.
type vectorReader struct {
	data []byte
	// failed is true when a field was missing or malformed.
	failed bool
}

func (r *vectorReader) bytes(n int) []byte {
	if n > len(r.data) {
		r.failed = true
		r.data = nil
		return make([]byte, n)
	}
	field := r.data[:n]
	r.data = r.data[n:]
	return field
}

func (r *vectorReader) byte() byte {
	return r.bytes(1)[0]
}

func (r *vectorReader) uint32() uint32 {
	return binary.BigEndian.Uint32(r.bytes(4))
}

func (r *vectorReader) uint64() uint64 {
	return binary.BigEndian.Uint64(r.bytes(8))
}

func (r *vectorReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return value
}
