package rattanmember

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// runningEvery: one of this many vectors carries the running counts.
const runningEvery = 8

// vectorRotation chooses the vectors of a request: always that of this daemon's
// own failure domain, and one of another failure domain, which changes from
// request to request.
type vectorRotation struct {
	// next counts through the names of the failure domains.
	next int
	// built is the number of vectors built so far; see runningEvery.
	built int
}

// Outgoing returns the vectors of a request: that of this daemon's own failure
// domain and that of one other.
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

// otherDomain returns the next of the other failure domains in rotation.
func (r *Registry) otherDomain() (string, bool) {
	names := r.domainNames()
	if len(names) == 1 {
		return "", false
	}
	r.rotation.next++
	name := names[r.rotation.next%len(names)]
	if name == r.self.FailureDomain {
		r.rotation.next++
		name = names[r.rotation.next%len(names)]
	}
	return name, true
}

// domainNames returns the names of the known failure domains in order.
func (r *Registry) domainNames() []string {
	return slices.Sorted(maps.Keys(r.domains))
}

// Answer merges a request's vectors. It returns the vectors of those failure
// domains in the request of which this daemon has newer counters or other
// members, and that of its own failure domain if the request had none.
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

// Merge merges the vectors of a response.
func (r *Registry) Merge(records []rattangossip.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, record := range records {
		r.merge(record, now)
	}
}

// appendVector appends the vector of a failure domain. It has only the members
// whose counters have advanced within HeartbeatTimeout: a vector carries the
// lowest byte of a counter, which a receiver could not compare with the counter
// that it holds if it came much later.
func (r *Registry) appendVector(records []rattangossip.Record, name string, sparse bool, now time.Time) []rattangossip.Record {
	domain := r.domains[name]
	if domain == nil {
		return records
	}
	domain.rebuild(r.daemons)
	r.rotation.built++
	v := vector{
		sparse:      sparse,
		hash:        domain.hash,
		entries:     make([]vectorEntry, 0, len(domain.members)),
		withRunning: r.rotation.built%runningEvery == 0,
	}
	for i, d := range domain.members {
		if !r.advancing(d, now) {
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

// merge merges one vector. behind says that this daemon has newer counters of
// the failure domain than the vector; unknown says that sender and receiver know
// different members, so that the dense vector cannot be decoded.
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
		if !present[i] && r.advancing(d, now) {
			behind = true
		}
	}
	return behind, false
}

// find returns the index of the member that an entry is about. It is false for a
// tag that no member, or more than one, has.
func (d *domain) find(sparse bool, e vectorEntry) (int, bool) {
	if !sparse {
		return e.index, true
	}
	index, ok := d.byTag[e.tag]
	return index, ok && index != ambiguous
}

// advance merges one heartbeat into d and reports whether d's counter is ahead of
// it. Counters are compared modulo 256: a step below half of that, which is 64 s
// of heartbeats, is an advance, and a larger one comes from an old message unless
// d's counter has not advanced for counterWrapTime.
func (r *Registry) advance(d *daemon, e vectorEntry, withRunning bool, now time.Time) (ahead bool) {
	if d.identity.VM == r.self.VM {
		return byte(d.counter) != e.counter
	}
	step := e.counter - byte(d.counter)
	if d.heartbeatSeen && step == 0 {
		if withRunning {
			d.running = e.running
		}
		return false
	}
	if d.heartbeatSeen && step >= 128 && rattanclock.Elapsed(d.advancedAt, now) < counterWrapTime {
		return true
	}
	d.counter += uint64(step)
	d.heartbeatSeen = true
	d.advancedAt = now
	d.revisions = e.revisions
	if withRunning {
		d.running = e.running
	}
	return false
}
