package rattanfreshness

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

const (
	// lagWindow is how far back the sightings of a replica reach that its lag is
	// computed from.
	lagWindow = 500 * time.Millisecond
	// minSightingInterval limits the number of sightings.
	minSightingInterval = 50 * time.Millisecond
	// minBehindPause is how long a replica that lacked a position is expected to lack
	// it at least.
	minBehindPause = 20 * time.Millisecond
	// minTrend is the time that sightings must span to show how a lag grows, and maxGrowth
	// limits the growth: a replica that receives nothing grows by 1.
	minTrend  = 100 * time.Millisecond
	maxGrowth = 0.9
	// maxUnseen is the time after which a replica that is expected to lack a position
	// is asked nevertheless: it may have caught up unseen.
	maxUnseen = time.Second
)

// A sighting is a position that a replica held at a time.
type sighting struct {
	position rattanmodel.Position
	at       time.Time
}

// A replica is what is known of the position of one replica.
type replica struct {
	startedUnixMS int64
	sightings     []sighting
	// probedAt is when it was last asked although it was expected to lack the position.
	probedAt time.Time
}

// Replicas holds the recent positions of replicas, and expects from their lag behind the
// history of their primary when they hold a position. It answers replicas that lag for
// seconds: a read that a replica cannot serve yet is not sent there. All times are those
// of the clock of the histories. Replicas is safe for concurrent use.
type Replicas struct {
	mu       sync.Mutex
	replicas map[string]*replica
}

// NewReplicas returns an empty Replicas.
func NewReplicas() *Replicas { return &Replicas{replicas: make(map[string]*replica)} }

// process returns the replica's state, empty for a process that was not seen before.
// The caller holds r.mu.
func (r *Replicas) process(endpoint string, startedUnixMS int64) *replica {
	known, ok := r.replicas[endpoint]
	if !ok || known.startedUnixMS < startedUnixMS {
		known = &replica{startedUnixMS: startedUnixMS}
		r.replicas[endpoint] = known
	}
	return known
}

// Observe records the position in an answer of an endpoint's process at a time.
func (r *Replicas) Observe(endpoint string, startedUnixMS int64, position rattanmodel.Position, at time.Time) {
	if position == (rattanmodel.Position{}) {
		return
	}
	seen := sighting{position: position, at: at}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.process(endpoint, startedUnixMS)
	if known.startedUnixMS != startedUnixMS {
		return
	}
	n := len(known.sightings)
	if n > 0 {
		last := known.sightings[n-1]
		if seen.position.Compare(last.position) < 0 || seen.at.Before(last.at) {
			return
		}
		if n > 1 && seen.at.Sub(known.sightings[n-2].at) < minSightingInterval {
			known.sightings = known.sightings[:n-1]
		}
	}
	known.sightings = append(known.sightings, seen)
	known.prune()
}

// prune removes the sightings beyond the lag window.
func (r *replica) prune() {
	newest := r.sightings[len(r.sightings)-1].at
	expired := 0
	for newest.Sub(r.sightings[expired].at) > lagWindow {
		expired++
	}
	r.sightings = append(r.sightings[:0], r.sightings[expired:]...)
}

// A trend is how a replica lags.
type trend struct {
	// lag is how long after the primary the replica reaches a position, the longest in
	// the lag window; zero when it is not known to lack anything.
	lag time.Duration
	// growth is how much the lag grows in a time, as a share of that time.
	growth float64
	// stuck is how long the replica has stayed at its position although the primary had
	// gone beyond it.
	stuck time.Duration
	// isAtLeast is true when the replica's position is older than the history, so that it
	// may lag more.
	isAtLeast bool
}

func (r *replica) trend(history *History) trend {
	var t trend
	var first, last time.Duration
	for i, seen := range r.sightings {
		passedAt, isCovered, ok := history.passedAt(seen.position)
		if !ok {
			continue
		}
		last = seen.at.Sub(passedAt)
		if i == 0 {
			first = last
		}
		t.lag, t.isAtLeast = max(t.lag, last), t.isAtLeast || !isCovered
		if newest := r.sightings[len(r.sightings)-1]; seen.position == newest.position {
			t.stuck = max(t.stuck, newest.at.Sub(maxTime(seen.at, passedAt)))
		}
	}
	if n := len(r.sightings); n > 1 {
		if span := r.sightings[n-1].at.Sub(r.sightings[0].at); span >= minTrend {
			t.growth = min(max(float64(last-first)/float64(span), 0), maxGrowth)
		}
	}
	return t
}

// holdsAt returns when a replica with this trend, last seen at a time, holds what its
// primary reached at another.
func (t trend) holdsAt(reachedAt, seenAt time.Time) time.Time {
	holdsAt := reachedAt.Add(t.lag)
	if ahead := holdsAt.Sub(seenAt); ahead > 0 {
		holdsAt = seenAt.Add(time.Duration(float64(ahead) / (1 - t.growth)))
	}
	if t.isAtLeast {
		holdsAt = maxTime(holdsAt, seenAt.Add(t.lag/2))
	}
	return maxTime(holdsAt, seenAt.Add(max(minBehindPause, t.stuck)))
}

// An Expectation is when a replica is expected to hold a position.
type Expectation struct {
	// In is the time until then, zero when it holds the position now.
	In time.Duration
	// IsProbe is true when the replica was expected to lack the position, but has not
	// been seen for so long that it may be asked.
	IsProbe bool
}

// Expect returns when an endpoint's process is expected to hold a position. One of which
// nothing is known is expected to hold it.
func (r *Replicas) Expect(endpoint string, startedUnixMS int64, history *History, needed rattanmodel.Position, now time.Time) Expectation {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.process(endpoint, startedUnixMS)
	if len(known.sightings) == 0 {
		return Expectation{}
	}
	newest := known.sightings[len(known.sightings)-1]
	if newest.position.Compare(needed) >= 0 {
		return Expectation{}
	}
	holdsAt := known.trend(history).holdsAt(history.reachedAt(needed, now), newest.at)
	if !holdsAt.After(now) {
		return Expectation{}
	}
	if now.Sub(maxTime(newest.at, known.probedAt)) > maxUnseen {
		return Expectation{IsProbe: true}
	}
	return Expectation{In: holdsAt.Sub(now)}
}

// MarkProbe records that an endpoint is asked for a position that it is expected to
// lack, so that only one statement asks.
func (r *Replicas) MarkProbe(endpoint string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.replicas[endpoint]; ok {
		known.probedAt = now
	}
}

// Forget forgets an endpoint.
func (r *Replicas) Forget(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replicas, endpoint)
}

// Lag returns how far an endpoint is known to be behind a primary's history.
func (r *Replicas) Lag(endpoint string, history *History) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.replicas[endpoint]
	if !ok {
		return 0
	}
	return known.trend(history).lag
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// passedAt returns when the primary went beyond a position. It returns false when it is
// not known to have done so. Unless the history covers the position, it was earlier.
func (h *History) passedAt(p rattanmodel.Position) (at time.Time, isCovered, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, observed := range h.observations {
		if observed.position.Compare(p) > 0 {
			return h.timeOf(i, p), i > 0, true
		}
	}
	return time.Time{}, false, false
}

// reachedAt returns when the primary reached a position, now for one that it is not yet
// known to have reached.
func (h *History) reachedAt(p rattanmodel.Position, now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, observed := range h.observations {
		if observed.position.Compare(p) >= 0 {
			return h.timeOf(i, p)
		}
	}
	return now
}

// timeOf returns the time of a position between an observation and the one before it, as
// if the log had grown evenly between them. The caller holds h.mu.
func (h *History) timeOf(i int, p rattanmodel.Position) time.Time {
	after := h.observations[i]
	if i == 0 {
		return after.sentAt
	}
	before := h.observations[i-1]
	if before.position.Term != p.Term || after.position.Term != p.Term || after.position.Index <= before.position.Index || p.Index < before.position.Index {
		return after.sentAt
	}
	share := float64(p.Index-before.position.Index) / float64(after.position.Index-before.position.Index)
	return before.sentAt.Add(time.Duration(share * float64(after.sentAt.Sub(before.sentAt))))
}
