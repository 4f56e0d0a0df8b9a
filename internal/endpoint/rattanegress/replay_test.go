package rattanegress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// path is the time to an endpoint of another failure domain and back.
	path = 2 * time.Millisecond
	// reportInterval is the age that the load reports of the replay reach.
	reportInterval = 100 * time.Millisecond
	// objective is the latency objective of the reads.
	objective = 400 * time.Millisecond
	// serviceTime is the mean time of a read at an endpoint.
	serviceTime = 20 * time.Millisecond
	slots       = 6
	// capacity is how many reads an endpoint completes a second.
	capacity = float64(slots) * float64(time.Second) / float64(serviceTime)
	// readBytes is what a read sends across failure domains.
	readBytes = 560
)

// A fakeEndpoint has slots that are each free from a time on.
type fakeEndpoint struct {
	slots [slots]time.Time
	// reported is the wait in its last load report.
	reported time.Duration
}

func (e *fakeEndpoint) wait(now time.Time) time.Duration {
	return max(slices.MinFunc(e.slots[:], time.Time.Compare).Sub(now), 0)
}

// run returns when a read that arrives at a time is complete.
func (e *fakeEndpoint) run(now time.Time, service time.Duration) time.Time {
	first := 0
	for i, free := range e.slots {
		if free.Before(e.slots[first]) {
			first = i
		}
	}
	e.slots[first] = now.Add(e.wait(now) + service)
	return e.slots[first]
}

// A fakeDomain is a failure domain with its endpoints and daemons. The rate is in reads
// a second.
type fakeDomain struct {
	endpoints []*fakeEndpoint
	policies  []*Policy
	rate      func(elapsed time.Duration) float64
	isCutOff  func(elapsed time.Duration) bool
}

// A readRecord is one completed read.
type readRecord struct {
	at, took time.Duration
	domain   int
	isRemote bool
}

// A replay plays reads against failure domains that share one group.
type replay struct {
	domains []*fakeDomain
	random  *rand.Rand
	start   time.Time
	// hasReport is whether reports from outside are recent at a time.
	hasReport func(elapsed time.Duration) bool
	records   []readRecord
	// runs counts the rises and falls of each daemon's share, each of any number of
	// steps.
	runs map[*Policy]int
}

func newReplay(seed uint64, domains ...*fakeDomain) *replay {
	return &replay{
		domains: domains, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(0, 0),
		hasReport: func(time.Duration) bool { return true }, runs: make(map[*Policy]int),
	}
}

// newDomain returns a failure domain. A policy that may send nothing stands for a
// daemon that never leaves.
func newDomain(seed uint64, endpoints, daemons int, bytesPerSecond int64, rate func(time.Duration) float64) *fakeDomain {
	d := &fakeDomain{rate: rate, isCutOff: func(time.Duration) bool { return false }}
	for range endpoints {
		d.endpoints = append(d.endpoints, &fakeEndpoint{})
	}
	for i := range daemons {
		d.policies = append(d.policies, New(bytesPerSecond, rand.New(rand.NewPCG(seed, uint64(i))), time.Unix(0, 0)))
	}
	return d
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns a rate that is higher from one time to another.
func between(from, to time.Duration, rate, higher float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < to {
			return higher
		}
		return rate
	}
}

func (r *replay) run(length time.Duration) *replay {
	const tick = time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		now := r.start.Add(elapsed)
		for i, d := range r.domains {
			if elapsed%reportInterval == 0 {
				for _, e := range d.endpoints {
					e.reported = e.wait(now)
				}
			}
			for expected := d.rate(elapsed) * tick.Seconds(); expected > 0; expected-- {
				if r.random.Float64() < expected {
					r.read(i, elapsed)
				}
			}
		}
	}
	return r
}

// read runs one read of a failure domain, at a random daemon of it.
func (r *replay) read(domain int, elapsed time.Duration) {
	d, now := r.domains[domain], r.start.Add(elapsed)
	policy := d.policies[r.random.IntN(len(d.policies))]
	local, remote := r.best(domain, elapsed, true), r.best(domain, elapsed, false)
	target, isRemote := local, false
	switch {
	case local == nil:
		target, isRemote = remote, true
		policy.Sent("orders", readBytes, false, now)
	case remote != nil:
		comparison := Comparison{Local: local.reported + serviceTime, Remote: remote.reported + serviceTime + path, HasReport: r.hasReport(elapsed)}
		g := policy.group("orders")
		wasRising, before := g.isRising, g.value
		isAllowed := policy.Decide("orders", comparison, now).IsAllowed
		if g.value != before && g.isRising != wasRising {
			r.runs[policy]++
		}
		if isAllowed && comparison.Remote < comparison.Local {
			target, isRemote = remote, true
			policy.Sent("orders", readBytes, true, now)
		}
	}
	service := time.Duration((0.5 + r.random.Float64()) * float64(serviceTime))
	took := target.run(now, service).Sub(now)
	if isRemote {
		took += path
	}
	r.records = append(r.records, readRecord{at: elapsed, took: took, domain: domain, isRemote: isRemote})
}

// best returns an endpoint with nearly the least reported wait inside or outside of a
// failure domain, chosen at random as the placement does, nil if none can be reached.
func (r *replay) best(domain int, elapsed time.Duration, isLocal bool) *fakeEndpoint {
	var list []*fakeEndpoint
	for i, d := range r.domains {
		isApart := i != domain && (d.isCutOff(elapsed) || r.domains[domain].isCutOff(elapsed))
		if (i == domain) != isLocal || isApart {
			continue
		}
		list = append(list, d.endpoints...)
	}
	if len(list) == 0 {
		return nil
	}
	least := slices.MinFunc(list, func(a, b *fakeEndpoint) int { return cmp.Compare(a.reported, b.reported) }).reported
	near := slices.DeleteFunc(list, func(e *fakeEndpoint) bool { return e.reported > least+serviceTime })
	return near[r.random.IntN(len(near))]
}

// between returns the records of a failure domain from one time to another.
func (r *replay) between(domain int, from, to time.Duration) []readRecord {
	var list []readRecord
	for _, record := range r.records {
		if record.domain == domain && record.at >= from && record.at < to {
			list = append(list, record)
		}
	}
	return list
}

// inTime returns the part of the reads that completed within the objective.
func inTime(records []readRecord) float64 {
	count := 0
	for _, record := range records {
		if record.took <= objective {
			count++
		}
	}
	return float64(count) / float64(max(len(records), 1))
}

func median(records []readRecord) time.Duration {
	var took []time.Duration
	for _, record := range records {
		took = append(took, record.took)
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// remotePart returns the part of the reads that left their failure domain.
func remotePart(records []readRecord) float64 {
	count := 0
	for _, record := range records {
		if record.isRemote {
			count++
		}
	}
	return float64(count) / float64(max(len(records), 1))
}

// assertWithin checks that a value is from low to high.
func assertWithin(t *testing.T, what string, value, low, high float64) {
	t.Helper()
	if value < low || value > high {
		t.Errorf("%s is %.3f, want %.3f to %.3f", what, value, low, high)
	}
}
