package rattanmember

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// runningEvery is the number of vectors of which one carries running counts.
const runningEvery = 8

// vectorTurn decides which failure domains' vectors a message carries: always
// the own one, and the others in turn.
type vectorTurn struct {
	next  int
	built int
}

// Outgoing returns the vectors of a request: the own failure domain's and one
// other.
func (r *Registry) Outgoing(rattangossip.Peer) []rattangossip.Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	records := r.appendVector(nil, r.self.FailureDomain, false, now)
	if other, ok := r.otherDomain(); ok {
		records = r.appendVector(records, other, false, now)
	}
	return records
}

// otherDomain returns the other failure domain whose turn it is.
func (r *Registry) otherDomain() (string, bool) {
	names := r.domainNames()
	if len(names) == 1 {
		return "", false
	}
	r.vectors.next++
	name := names[r.vectors.next%len(names)]
	if name == r.self.FailureDomain {
		r.vectors.next++
		name = names[r.vectors.next%len(names)]
	}
	return name, true
}

// domainNames returns the names of the known failure domains in order.
func (r *Registry) domainNames() []string {
	return slices.Sorted(maps.Keys(r.domains))
}

// Answer merges a request's vectors. It returns the vectors of the same failure
// domains of which this daemon knows more, and the own one.
func (r *Registry) Answer(_ rattangossip.Peer, records []rattangossip.Record) []rattangossip.Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	var answer []rattangossip.Record
	answered := map[string]bool{}
	for _, record := range records {
		behind, unknown := r.merge(record, now)
		if behind || unknown {
			answer = r.appendVector(answer, record.Name, unknown, now)
		}
		answered[record.Name] = true
	}
	if !answered[r.self.FailureDomain] {
		answer = r.appendVector(answer, r.self.FailureDomain, false, now)
	}
	return answer
}

// Merge takes the vectors of a response.
func (r *Registry) Merge(records []rattangossip.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, record := range records {
		r.merge(record, now)
	}
}

// appendVector appends the vector of a failure domain with its members whose
// counters move. Counters that have stopped are not passed on: their low byte
// would be ambiguous some time later.
func (r *Registry) appendVector(records []rattangossip.Record, name string, sparse bool, now time.Time) []rattangossip.Record {
	domain := r.domains[name]
	if domain == nil {
		return records
	}
	domain.rebuild(r.daemons)
	r.vectors.built++
	v := vector{
		sparse:      sparse,
		hash:        domain.hash,
		entries:     make([]vectorEntry, 0, len(domain.members)),
		withRunning: r.vectors.built%runningEvery == 0,
	}
	for i, d := range domain.members {
		if !r.moving(d, now) {
			continue
		}
		v.entries = append(v.entries, vectorEntry{
			tag:       d.tag,
			index:     i,
			counter:   byte(d.counter),
			revisions: d.revisions,
			running:   d.running,
		})
	}
	return append(records, rattangossip.Record{
		Kind:  rattanv1.RecordKind_RECORD_KIND_DAEMON,
		Name:  name,
		Value: v.encode(len(domain.members)),
	})
}

// merge takes one vector. behind says that this daemon knows newer counters of
// the failure domain than the vector; unknown says that the members differ, so
// that a dense vector cannot be read.
func (r *Registry) merge(record rattangossip.Record, now time.Time) (behind, unknown bool) {
	domain := r.domains[record.Name]
	if record.Kind != rattanv1.RecordKind_RECORD_KIND_DAEMON || domain == nil {
		return false, false
	}
	domain.rebuild(r.daemons)
	v, err := decodeVector(record.Value, len(domain.members), domain.hash)
	if err != nil {
		return false, false
	}
	if !v.sparse && v.hash != domain.hash {
		return false, true
	}
	present := make([]bool, len(domain.members))
	for _, e := range v.entries {
		index, ok := domain.find(v.sparse, e)
		if !ok {
			continue
		}
		d := domain.members[index]
		present[index] = true
		if r.advance(d, e, v.withRunning, now) {
			behind = true
		}
	}
	for i, d := range domain.members {
		if !present[i] && r.moving(d, now) {
			behind = true
		}
	}
	return behind, false
}

// find returns the index of an entry's member.
func (d *domain) find(sparse bool, e vectorEntry) (int, bool) {
	if !sparse {
		return e.index, true
	}
	index, ok := d.byTag[e.tag]
	return index, ok && index != ambiguous
}

// advance takes one heartbeat and reports whether d's own counter is ahead of
// it. Counters are compared modulo 256, half of which is 64 s of steps.
func (r *Registry) advance(d *daemon, e vectorEntry, withRunning bool, now time.Time) (ahead bool) {
	if d.identity.VM == r.self.VM {
		return byte(d.counter) != e.counter
	}
	step := e.counter - byte(d.counter)
	if d.heard && step == 0 {
		if withRunning {
			d.running = e.running
		}
		return false
	}
	if d.heard && step >= 128 && rattanclock.Elapsed(d.moved, now) < wrapTime {
		return true
	}
	d.counter += uint64(step)
	d.heard = true
	d.moved = now
	d.revisions = e.revisions
	if withRunning {
		d.running = e.running
	}
	return false
}
