// Package rattanoutlier finds endpoints that are slow or fail beside their peers of the
// same group, by their answers alone: what an endpoint says of its own health does not
// count. An outlier gets few reads, which probe it, and comes back by steps. The package
// does no locking, input or output, and takes the current time as an argument.
package rattanoutlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor and minSlowBy say how much longer than at its peers a read takes at a
	// slow endpoint. Kinds of reads differ by less between the endpoints of a group.
	slowFactor = 3
	minSlowBy  = 20 * time.Millisecond
	// minFailures is the share of failures, beyond that of its peers, of a failing
	// endpoint. A single failure does not reach it.
	minFailures = 0.15
	// probeWeight is the share of the reads that an outlier gets at first.
	probeWeight = 0.02
	// stepInterval is how long an outlier must answer as its peers do before its share
	// is doubled.
	stepInterval = 500 * time.Millisecond
	// maxOutShare is the share of a group's endpoints that are outliers at once. The
	// others could not serve the reads of more.
	maxOutShare = 0.5
)

// A Peer is an endpoint of a group with its last answers.
type Peer struct {
	ID string
	// StartedUnixMS is the start of the endpoint's process.
	StartedUnixMS int64
	IsPrimary     bool
	// Service is the mean time of a successful read, zero when it is not known.
	Service time.Duration
	// FailureShare is the share of failures, from 0 to 1.
	FailureShare float64
}

// A Reason says why an endpoint is an outlier.
type Reason string

// The reasons.
const (
	Slow    Reason = "slow"
	Failing Reason = "failing"
)

// A Change is an endpoint that has become an outlier or is none any more.
type Change struct {
	Peer
	IsOut  bool
	Reason Reason
}

// outlier is the state of an endpoint that is one.
type outlier struct {
	startedUnixMS int64
	reason        Reason
	weight        float64
	// steppedAt is when its answers were last bad or its weight was last changed.
	steppedAt time.Time
}

// A Detector holds the outliers of all groups.
type Detector struct {
	outliers map[string]*outlier
}

// New returns a Detector without outliers.
func New() *Detector { return &Detector{outliers: make(map[string]*outlier)} }

// Weight returns the share of its reads that an endpoint gets, 1 unless it is an outlier.
func (d *Detector) Weight(id string) float64 {
	if o, ok := d.outliers[id]; ok {
		return o.weight
	}
	return 1
}

// Forget forgets an endpoint.
func (d *Detector) Forget(id string) { delete(d.outliers, id) }

// Judge compares all endpoints of a group and returns what has changed.
func (d *Detector) Judge(peers []Peer, now time.Time) []Change {
	var changes []Change
	out := 0
	for _, peer := range peers {
		if change, ok := d.review(peer, peers, now); ok {
			changes = append(changes, change)
		}
		if d.isOut(peer) {
			out++
		}
	}
	for _, peer := range d.suspects(peers) {
		if out+1 > int(maxOutShare*float64(len(peers))) {
			break
		}
		out++
		reason, _ := judge(peer, peers)
		d.outliers[peer.ID] = &outlier{startedUnixMS: peer.StartedUnixMS, reason: reason, weight: probeWeight, steppedAt: now}
		changes = append(changes, Change{Peer: peer, IsOut: true, Reason: reason})
	}
	return changes
}

func (d *Detector) isOut(peer Peer) bool {
	_, ok := d.outliers[peer.ID]
	return ok
}

// review takes an outlier back by a step, or to its first share if it answers badly
// still. While nothing is known of it, it stays as it is. Review returns a change when the
// endpoint is no outlier any more, which a new process is not.
func (d *Detector) review(peer Peer, peers []Peer, now time.Time) (Change, bool) {
	o, ok := d.outliers[peer.ID]
	if !ok {
		return Change{}, false
	}
	if o.startedUnixMS != peer.StartedUnixMS {
		delete(d.outliers, peer.ID)
		return Change{Peer: peer, Reason: o.reason}, true
	}
	if reason, isBad := judge(peer, peers); isBad {
		o.reason, o.weight, o.steppedAt = reason, probeWeight, now
		return Change{}, false
	}
	if peer.Service == 0 || now.Sub(o.steppedAt) < stepInterval {
		return Change{}, false
	}
	o.weight, o.steppedAt = 2*o.weight, now
	if o.weight < 1 {
		return Change{}, false
	}
	delete(d.outliers, peer.ID)
	return Change{Peer: peer, Reason: o.reason}, true
}

// suspects returns the endpoints that answer badly and are no outliers yet, the worst
// first.
func (d *Detector) suspects(peers []Peer) []Peer {
	var bad []Peer
	for _, peer := range peers {
		if _, isBad := judge(peer, peers); isBad && !d.isOut(peer) {
			bad = append(bad, peer)
		}
	}
	slices.SortStableFunc(bad, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(b.Service, a.Service))
	})
	return bad
}

// judge reports whether an endpoint fails or is slow beside its peers. Times are compared
// with those of replicas: a primary's mean is that of other, shorter reads too.
func judge(peer Peer, peers []Peer) (Reason, bool) {
	var services []time.Duration
	var failures []float64
	for _, other := range peers {
		if other.ID == peer.ID {
			continue
		}
		failures = append(failures, other.FailureShare)
		if !other.IsPrimary && other.Service > 0 {
			services = append(services, other.Service)
		}
	}
	if len(failures) == 0 {
		return "", false
	}
	if peer.FailureShare >= minFailures+median(failures) {
		return Failing, true
	}
	if len(services) == 0 {
		return "", false
	}
	if usual := median(services); peer.Service > slowFactor*usual && peer.Service > usual+minSlowBy {
		return Slow, true
	}
	return "", false
}

// median returns the middle value, the lower one of two.
func median[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
