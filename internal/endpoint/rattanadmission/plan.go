package rattanadmission

import (
	"container/heap"
	"time"
)

// minLateShare is the least share of the slots, beside the demand of requests in time,
// in which late requests wait for a slot.
const minLateShare = 1.0 / lowestEvery

// arrivalMarginDivisor says by which part of its expected wait an arriving request must be
// early. Without a margin every second request that is admitted just in time would be
// displaced soon after.
const arrivalMarginDivisor = 4

// A plan is the expected course of the waiting requests.
type plan[C comparable] struct {
	// inTime can meet their objective, late only their deadline, each in order.
	// hopeless can meet neither, or nobody can spare the room for them.
	inTime, late, hopeless []*Waiter[C]
	// slots are the times at which the slots become free after all requests in time.
	slots slotTimes
}

// order returns the requests that stay, in the order in which they go.
func (p *plan[C]) order() []*Waiter[C] {
	return append(p.inTime[:len(p.inTime):len(p.inTime)], p.late...)
}

// newPlan walks the waiting requests in their order and gives each the slot that becomes
// free first. A request that would end after its objective leaves its place to those
// behind it.
func (q *Queue[C]) newPlan(now time.Time) *plan[C] {
	p := &plan[C]{slots: q.slotTimes()}
	var late []*Waiter[C]
	lowest, aheadOfLowest := q.lowestWaiting(), 0
	for _, w := range q.ordered() {
		mean := q.costs.Of(w.Kind).Mean
		start := q.expectedStart(w, p.slots[0], now)
		if w.Priority == lowest {
			start = min(start, q.guaranteedStart(aheadOfLowest))
		}
		expected := start + mean
		if w.isArriving && q.limits.IsShared {
			expected += start / arrivalMarginDivisor
		}
		if now.Add(expected).After(w.Objective) {
			late = append(late, w)
			continue
		}
		if w.Priority == lowest {
			aheadOfLowest++
		}
		p.slots.occupy(mean)
		p.inTime = append(p.inTime, w)
	}
	q.planLate(p, late, now)
	return p
}

// planLate decides which late requests stay: those that can still meet their deadline in
// the room that requests in time leave. There is some when a slot is free, no request in
// time waits, or arrivals do not ask for all slots.
func (q *Queue[C]) planLate(p *plan[C], late []*Waiter[C], now time.Time) {
	slots := append(slotTimes(nil), p.slots...)
	share := q.lateShare(now)
	for _, w := range late {
		mean := q.costs.Of(w.Kind).Mean
		isSpare := slots[0] == 0 || len(p.inTime) == 0 || share >= minLateShare
		if !isSpare || now.Add(stretched(slots[0], max(share, minLateShare))+mean).After(w.Deadline) {
			p.hopeless = append(p.hopeless, w)
			continue
		}
		slots.occupy(mean)
		p.late = append(p.late, w)
	}
}

// stretched returns the time that work takes in a share of the slots.
func stretched(work time.Duration, share float64) time.Duration {
	return time.Duration(float64(work) / share)
}

// shareFor returns the share of the slots that more urgent arrivals leave to a priority,
// at least that of the bound of starvation.
func (q *Queue[C]) shareFor(priority int, now time.Time) float64 {
	if !q.limits.IsShared {
		return 1
	}
	busy := 0.0
	for other, c := range q.classes {
		if other < priority {
			busy += c.admitted.rate(now)
		}
	}
	return max(1-busy/float64(q.limits.InFlight), 1.0/lowestEvery)
}

// expectedStart returns the time from now at which a waiting request can expect to start
// when a slot becomes free for it after the given time. Arrivals that go before it delay
// it: those more urgent, and those of accounts that have had less service than its own,
// which each make up for the difference at most.
func (q *Queue[C]) expectedStart(w *Waiter[C], slotFree time.Duration, now time.Time) time.Duration {
	share := q.shareFor(w.Priority, now)
	start := stretched(slotFree, share)
	class := q.class(w.Priority)
	lead := w.tag - class.virtual
	if !q.limits.IsShared || lead <= 0 {
		return start
	}
	slots := float64(q.limits.InFlight)
	others, accounts := class.othersDemand(w.Account, now)
	behindAll := start + time.Duration(float64(lead)*float64(accounts-1)/(slots*share))
	return min(stretched(slotFree, max(share-others/slots, 1.0/lowestEvery)), behindAll)
}

// lateShare returns the share of the slots that arrivals of all priorities leave.
// Requests that are refused count too: they would use the room.
func (q *Queue[C]) lateShare(now time.Time) float64 {
	if !q.limits.IsShared {
		return 1
	}
	busy := 0.0
	for _, c := range q.classes {
		busy += c.asked.rate(now)
	}
	return 1 - busy/float64(q.limits.InFlight)
}

// guaranteedStart returns the time after which the bound of starvation has started a
// request of the least urgent priority that waits, behind others of that priority.
func (q *Queue[C]) guaranteedStart(ahead int) time.Duration {
	return q.costs.All().Mean * time.Duration(lowestEvery*(ahead+1)) / time.Duration(q.limits.InFlight)
}

// lowestWaiting returns the least urgent priority that waits.
func (q *Queue[C]) lowestWaiting() int {
	lowest := 0
	for _, w := range q.waiting {
		lowest = max(lowest, w.Priority)
	}
	return lowest
}

// slotTimes are the times from now at which slots become free, the first at index 0.
type slotTimes []time.Duration

// slotTimes returns the expected ends of the requests that run. They end evenly over the
// mean cost, since they began at different times.
func (q *Queue[C]) slotTimes() slotTimes {
	slots := make(slotTimes, q.limits.InFlight)
	mean, free := q.costs.All().Mean, q.FreeSlots()
	for i := free; i < len(slots); i++ {
		slots[i] = mean * time.Duration(i-free+1) / time.Duration(q.limits.InFlight)
	}
	return slots
}

// occupy gives the slot that becomes free first to a request.
func (s *slotTimes) occupy(cost time.Duration) {
	(*s)[0] += cost
	heap.Fix(s, 0)
}

// Len implements heap.Interface.
func (s slotTimes) Len() int { return len(s) }

// Less implements heap.Interface.
func (s slotTimes) Less(i, j int) bool { return s[i] < s[j] }

// Swap implements heap.Interface.
func (s slotTimes) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface. The number of slots does not change.
func (s *slotTimes) Push(x any) { *s = append(*s, x.(time.Duration)) }

// Pop implements heap.Interface. The number of slots does not change.
func (s *slotTimes) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
