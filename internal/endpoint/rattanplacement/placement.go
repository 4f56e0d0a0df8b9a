// Package rattanplacement chooses the endpoint at which a read completes soonest, from
// the path to each endpoint, the work that waits there, the time that a read takes
// there and the moment at which it is expected to hold the read's position. It does no
// locking, input or output, and all its times are durations from now.
package rattanplacement

import (
	"math"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// remotePenalty is how much sooner an endpoint outside the failure domain must
	// complete a read without a policy for that.
	remotePenalty = 20 * time.Millisecond
	// maxLocalLag is how much longer than for a slot a read waits for its position inside
	// the failure domain while an endpoint outside holds it.
	maxLocalLag = 20 * time.Millisecond
	// minPrimaryReserve is how much sooner the primary must at least complete a read
	// that a replica can serve: only the primary can run writes.
	minPrimaryReserve = 10 * time.Millisecond
	// minNear, maxNear and nearDivisor say which completions are nearly equal:
	// expectations are no better than that.
	minNear     = 3 * time.Millisecond
	maxNear     = 25 * time.Millisecond
	nearDivisor = 4
	// evenRoom is the share of free slots that an account's preferred endpoint must
	// have, measured by the one that has most, to be preferred.
	evenRoom = 0.5
	// calmRoom and tightRoom are the shares of free slots from which all reads of an
	// account and none go to its preferred endpoint for that alone.
	calmRoom  = 0.75
	tightRoom = 0.25
	// maxMixRatio limits how much shorter the primary's reads are taken to be than those
	// of replicas because of their kinds.
	maxMixRatio = 5
	// maxFailureShare limits the failure share by which the time of a read is raised.
	maxFailureShare = 0.9
	// minRoom is the least share of free slots that is expected of an endpoint.
	minRoom = 0.05
	// maxBusy limits the share of busy slots from which a wait is expected.
	maxBusy = 0.9
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller is
	// asked to come back.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// A Candidate is an endpoint that may run a read.
type Candidate struct {
	ID string
	// IsLocal is true when the endpoint is in the daemon's failure domain.
	IsLocal   bool
	IsPrimary bool
	// IsSuspect is true when the endpoint did not answer lately.
	IsSuspect bool
	// Path is the round trip to the endpoint.
	Path time.Duration
	// Wait is the expected wait for a slot at the read's priority.
	Wait time.Duration
	// Service is the mean time of a successful read there, zero when it is not known.
	Service time.Duration
	// FailureShare is the share of failures among the last answers.
	FailureShare float64
	// Slots and FreeSlots are how many statements the endpoint runs at once and how many
	// more it can run now; zero Slots when that is not known.
	Slots, FreeSlots int
	// Age is the time since the slots were counted. Busy is the mean share of busy slots
	// in the time before.
	Age  time.Duration
	Busy float64
	// HoldsIn is the time until the endpoint is expected to hold the read's position.
	HoldsIn time.Duration
	// IsProbe is true when the endpoint is expected to lack the position but has not
	// been seen for long.
	IsProbe bool
	// NotBefore is the time until the statement may be sent there again after an attempt.
	NotBefore time.Duration
	// IsFull is true when the endpoint has refused the statement for lack of room.
	IsFull bool
	// IsBehind is true when the endpoint has lacked the statement's position when it was
	// expected to hold it, and will not hold it soon: it is not waited for again.
	IsBehind bool
	// Weight is 1, and less for an outlier of its group: the share of the reads that probe
	// it. It gets others only when no peer can serve them.
	Weight float64
}

// A Read is what is placed.
type Read struct {
	Group   string
	Account string
	// ObjectiveIn and DeadlineIn are the times left until the latency objective and the
	// deadline.
	ObjectiveIn, DeadlineIn time.Duration
}

// A Choice is the endpoint for a read.
type Choice struct {
	ID string
	// SendIn is the time after which the read is sent.
	SendIn time.Duration
	// Completion is the expected time until the answer.
	Completion time.Duration
	IsProbe    bool
}

// Egress decides whether a read may leave the failure domain. It is asked when endpoints
// inside and outside can serve the read, with the expected completions of the best ones.
type Egress interface {
	Allows(group string, local, remote time.Duration) bool
}

// FixedEgress lets a read leave the failure domain when it completes sooner outside by a
// fixed time.
type FixedEgress struct{}

var _ Egress = FixedEgress{}

// Allows implements Egress.
func (FixedEgress) Allows(_ string, local, remote time.Duration) bool {
	return remote+remotePenalty < local
}

// A Placer places reads.
type Placer struct {
	egress Egress
	random func() float64
}

// New returns a Placer. Random returns numbers from 0 up to but not including 1.
func New(egress Egress, random func() float64) *Placer {
	return &Placer{egress: egress, random: random}
}

// option is a candidate that can serve the read, with its expected completion and its
// cost: the completion and what the read takes from other work there.
type option struct {
	Candidate
	completion, cost time.Duration
	// isDemoted is true for an outlier, which gets this read only if no peer can serve
	// it.
	isDemoted bool
}

// Place chooses the endpoint for a read among candidates of which at least one is not
// suspect. The refusal says when a read is expected to be served again if none of them
// completes this one in time.
func (p *Placer) Place(read Read, candidates []Candidate) (Choice, *rattanwork.Refusal) {
	options := make([]option, 0, len(candidates))
	service := expectedService(candidates)
	soonest := maxRetryAfter
	for _, c := range candidates {
		if c.IsSuspect {
			continue
		}
		start := max(c.Wait+c.crowding(service(c)), c.HoldsIn, c.NotBefore)
		soonest = min(soonest, start)
		if c.IsFull || c.IsBehind {
			continue
		}
		o := option{Candidate: c, completion: c.Path + start + service(c)}
		if o.completion <= read.ObjectiveIn || c.Wait == 0 && o.completion <= read.DeadlineIn {
			o.cost = o.completion
			if c.Weight < 1 && c.Wait == 0 && c.HoldsIn == 0 && p.random() < c.Weight {
				return o.choice(), nil
			}
			o.isDemoted = c.Weight < 1
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return Choice{}, &rattanwork.Refusal{
			Reason: "no endpoint completes the statement in time", RetryAfter: min(max(soonest, minRetryAfter), maxRetryAfter),
		}
	}
	reservePrimary(options)
	return p.choose(read, p.preferred(read, options)).choice(), nil
}

func (o option) choice() Choice {
	return Choice{ID: o.ID, SendIn: max(o.HoldsIn, o.NotBefore), Completion: o.completion, IsProbe: o.IsProbe}
}

// outdated is the share to which the count of free slots says nothing any more: after the
// time of a read, other reads have taken them.
func (c Candidate) outdated(service time.Duration) float64 {
	return min(float64(c.Age)/float64(max(service, time.Millisecond)), 1)
}

// crowding returns the expected wait behind what others have sent since the slots were
// counted, by Sakasegawa's approximation for a queue with several servers.
func (c Candidate) crowding(service time.Duration) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	slots, busy := float64(c.Slots), min(c.Busy, maxBusy)
	wait := math.Pow(busy, math.Sqrt(2*(slots+1))-1) / (slots * (1 - busy)) * float64(service)
	return time.Duration(wait * c.outdated(service))
}

// expectedService returns the expected time of a read at each candidate. The same read
// takes as long at the primary as at a replica, also when the primary's mean is that of
// shorter ones. Failures make it longer, since the read is then run elsewhere: a fast
// failure is no speed.
func expectedService(candidates []Candidate) func(Candidate) time.Duration {
	atReplica, sum, known := time.Duration(0), time.Duration(0), 0
	for _, c := range candidates {
		if c.Service <= 0 || c.IsSuspect {
			continue
		}
		sum += c.Service
		known++
		if !c.IsPrimary && (atReplica == 0 || c.Service < atReplica) {
			atReplica = c.Service
		}
	}
	mean := sum / time.Duration(max(known, 1))
	return func(c Candidate) time.Duration {
		service := c.Service
		if service <= 0 {
			service = mean
		}
		if c.IsPrimary {
			service = max(service, min(atReplica, maxMixRatio*service))
		}
		return time.Duration(float64(service) / (1 - min(c.FailureShare, maxFailureShare)))
	}
}

// reservePrimary raises the cost of the primary while a replica can serve the read, the
// more the fewer slots its writes leave free.
func reservePrimary(options []option) {
	if !slices.ContainsFunc(options, func(o option) bool { return !o.IsPrimary && !o.isDemoted }) {
		return
	}
	for i, o := range options {
		if !o.IsPrimary {
			continue
		}
		reserve := minPrimaryReserve
		if o.Slots > 0 {
			reserve = max(reserve, o.Service*time.Duration(o.Slots-o.FreeSlots+1)/time.Duration(o.Slots))
		}
		options[i].cost += reserve
	}
}

// preferred returns the options that are to be considered, by cost: those that are not
// demoted if there are any, and of these only the ones inside the failure domain unless
// the egress policy lets the read leave it. The policy is not asked when nothing inside
// serves the read in time: then it has no choice.
func (p *Placer) preferred(read Read, options []option) []option {
	if kept := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.isDemoted }); len(kept) > 0 {
		options = kept
	}
	slices.SortStableFunc(options, func(a, b option) int { return int(a.cost - b.cost) })
	local := slices.IndexFunc(options, func(o option) bool { return o.isServedInside(read) })
	remote := slices.IndexFunc(options, func(o option) bool { return !o.IsLocal })
	if local < 0 || remote < 0 {
		return options
	}
	if p.egress.Allows(read.Group, options[local].cost, options[remote].cost) {
		return options
	}
	return slices.DeleteFunc(options, func(o option) bool { return !o.IsLocal })
}

// isServedInside reports whether the endpoint is inside the failure domain, holds the
// read's position soon, and completes the read within its objective.
func (o option) isServedInside(read Read) bool {
	return o.IsLocal && o.HoldsIn-o.Wait <= maxLocalLag && o.completion <= read.ObjectiveIn
}

// choose chooses among the options that are nearly as good as the first one: the one
// that the account prefers while the room is even, the less often the tighter it gets, so
// that few accounts use the connections of an endpoint, and else one at random by room, so
// that the daemons that see the same free slot do not all go there.
func (p *Placer) choose(read Read, options []option) option {
	limit := options[0].cost + min(max(minNear, options[0].cost/nearDivisor), maxNear)
	near := slices.DeleteFunc(slices.Clone(options), func(o option) bool { return o.cost > limit })
	if len(near) == 1 {
		return near[0]
	}
	most := 0.0
	for _, o := range near {
		most = max(most, o.room())
	}
	rattanrendezvous.Sort(near, read.Account, func(o option) string { return o.ID })
	if near[0].Wait == 0 && near[0].room() >= evenRoom*most && p.random() < near[0].calm() {
		return near[0]
	}
	return p.byRoom(near)
}

// calm is the share of an account's reads that go to its preferred endpoint.
func (o option) calm() float64 { return (o.room() - tightRoom) / (calmRoom - tightRoom) }

// room is the share of slots that are expected to be free, with a little for an endpoint
// without any, so that every option can be chosen.
func (o option) room() float64 {
	if o.Slots == 0 {
		return 1
	}
	outdated := o.outdated(o.Service)
	free := (1-outdated)*float64(o.FreeSlots)/float64(o.Slots) + outdated*(1-o.Busy)
	return max(free, minRoom)
}

func (p *Placer) byRoom(options []option) option {
	sum := 0.0
	for _, o := range options {
		sum += o.room()
	}
	drawn := p.random() * sum
	for _, o := range options {
		drawn -= o.room()
		if drawn < 0 {
			return o
		}
	}
	return options[len(options)-1]
}
