package rattanadmission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A callKind is one kind of call of a load.
type callKind struct {
	kind                rattanwork.Kind
	priority            int
	work                time.Duration
	objective, deadline time.Duration
}

// The kinds of calls of a service in which a notice matters most and a status lookup
// least.
var (
	noticeWrite = callKind{kind: rattanwork.Kind{Route: "notice", Operation: rattanwork.Write}, work: 11 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 2 * time.Second}
	familyRead  = callKind{kind: rattanwork.Kind{Route: "family", Operation: rattanwork.Read}, priority: 1, work: 33 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 2 * time.Second}
	statusRead  = callKind{kind: rattanwork.Kind{Route: "status", Operation: rattanwork.Read}, priority: 2, work: 55 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 8 * time.Second}
)

// A call is one request of a load with what became of it, as times since the start.
type call struct {
	callKind
	account string
	arrived time.Duration
	work    time.Duration
	// statements is how many statements run in the call's transaction, 0 for none. The
	// caller rests before each but the first.
	statements int
	// returnsLeft is how often the caller comes back after a refusal.
	returnsLeft int

	waiter              *Waiter[int]
	started, ended      time.Duration
	refused, hopelessAt time.Duration
	// retryAfter is that of the refusal.
	retryAfter time.Duration
}

func (c *call) isServed() bool { return c.ended > 0 }

func (c *call) isInTime() bool { return c.isServed() && c.ended-c.arrived <= c.objective }

func (c *call) wait() time.Duration { return c.started - c.arrived }

// poisson returns the calls of a kind and account at a rate per second between two times,
// with run times that have a long tail.
func poisson(random *rand.Rand, kind callKind, account string, rate float64, from, to time.Duration) []*call {
	var calls []*call
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return calls
		}
		const sigma = 0.4
		work := float64(kind.work) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
		calls = append(calls, &call{callKind: kind, account: account, arrived: at, work: time.Duration(work)})
	}
}

// A replay plays a load at one endpoint, in virtual time.
type replay struct {
	queue *Queue[int]
	// slots is how many statements the endpoint runs at once, the others in flight wait
	// there.
	slots int
	// slowFrom is when each statement begins to take slowFactor times as long.
	slowFrom   time.Duration
	slowFactor float64

	now      time.Duration
	events   eventHeap
	queued   []*call
	running  int
	atSlots  []*call
	finished []*call
}

func newReplay(limits Limits, slots int) *replay {
	limits.IsShared = true
	return &replay{queue: New[int](limits), slots: slots, slowFrom: time.Hour, slowFactor: 1}
}

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *replay) at(at time.Duration, run func()) { heap.Push(&r.events, event{at: at, run: run}) }

func (r *replay) time() time.Time { return startTime().Add(r.now) }

// play plays calls to their ends and returns all of them, with the returns of refused
// callers.
func (r *replay) play(calls []*call) []*call {
	for _, c := range calls {
		r.at(c.arrived, func() { r.arrive(c) })
	}
	const checkInterval = 5 * time.Millisecond
	for check := time.Duration(0); r.events.Len() > 0; {
		next := heap.Pop(&r.events).(event)
		for ; check < next.at; check += checkInterval {
			r.now = check
			r.recordHopeless()
			r.queue.Sweep(r.time())
			r.collect()
		}
		r.now = next.at
		next.run()
		r.collect()
	}
	return r.finished
}

// recordHopeless records since when each waiting call has been without hope.
func (r *replay) recordHopeless() {
	hopeless := r.queue.newPlan(r.time()).hopeless
	for _, c := range r.queued {
		switch {
		case !slices.Contains(hopeless, c.waiter):
			c.hopelessAt = 0
		case c.hopelessAt == 0:
			c.hopelessAt = r.now
		}
	}
}

func (r *replay) arrive(c *call) {
	c.waiter = &Waiter[int]{
		Account: c.account, Kind: c.kind, Priority: c.priority,
		Objective: startTime().Add(c.arrived + c.objective), Deadline: startTime().Add(c.arrived + c.deadline),
	}
	switch r.queue.Request(c.waiter, r.time()) {
	case Assigned:
		r.start(c)
	case Queued:
		r.queued = append(r.queued, c)
	case Refused:
		c.hopelessAt = r.now
		r.refuse(c)
	}
}

// collect starts and refuses the waiting calls that the queue has decided on.
func (r *replay) collect() {
	r.queued = slices.DeleteFunc(r.queued, func(c *call) bool {
		select {
		case <-c.waiter.Ready:
		default:
			return false
		}
		if c.waiter.Refusal != nil {
			r.refuse(c)
		} else {
			r.start(c)
		}
		return true
	})
}

func (r *replay) refuse(c *call) {
	c.refused, c.retryAfter = r.now, c.waiter.Refusal.RetryAfter
	r.finished = append(r.finished, c)
	if c.returnsLeft > 0 {
		again := &call{callKind: c.callKind, account: c.account, work: c.work, arrived: r.now + c.retryAfter, returnsLeft: c.returnsLeft - 1}
		r.at(again.arrived, func() { r.arrive(again) })
	}
}

// callerRest is how long callers rest inside their transactions.
const callerRest = 300 * time.Millisecond

func (r *replay) start(c *call) {
	c.started = r.now
	if c.statements > 0 {
		r.queue.BeginStatement()
		if !r.queue.Pin(r.time()) {
			r.queue.EndStatement(r.time())
			c.waiter.Refusal = r.queue.RefusePin(c.waiter, r.time())
			r.refuse(c)
			r.release(c)
			return
		}
	}
	r.run(c)
}

func (r *replay) run(c *call) {
	r.atSlots = append(r.atSlots, c)
	r.runNext()
}

// runNext runs the calls at the endpoint while it has free slots.
func (r *replay) runNext() {
	for r.running < r.slots && len(r.atSlots) > 0 {
		c := r.atSlots[0]
		r.atSlots = r.atSlots[1:]
		r.running++
		work := c.work
		if r.now >= r.slowFrom {
			work = time.Duration(float64(work) * r.slowFactor)
		}
		r.at(r.now+work, func() { r.end(c) })
	}
}

func (r *replay) end(c *call) {
	r.running--
	r.runNext()
	if c.statements > 0 {
		c.statements--
		r.queue.EndStatement(r.time())
		if c.statements > 0 {
			r.at(r.now+callerRest, func() {
				r.queue.BeginStatement()
				r.run(c)
			})
			return
		}
		r.queue.Unpin(r.time())
	} else {
		r.queue.Charge(c.account, c.priority, r.now-c.started-r.queue.Cost(c.kind).Mean)
		r.queue.Observe(c.kind, r.now-c.started)
	}
	c.ended = r.now
	r.finished = append(r.finished, c)
	r.release(c)
}

func (r *replay) release(c *call) {
	if _, ok := r.queue.Release(len(r.finished), c.account, r.time()); ok {
		r.queue.Closed(r.time())
	}
}
