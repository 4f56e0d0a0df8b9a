package rattanadmission

import (
	"cmp"
	"slices"
	"time"
)

// lowestEvery is the bound of starvation: of this many starts at least one is of the
// least urgent priority that waits.
const lowestEvery = 16

// ordered returns the waiting requests in the order in which they go if all of them can
// meet their objective.
func (q *Queue[C]) ordered() []*Waiter[C] {
	waiting := slices.Clone(q.waiting)
	if q.limits.IsShared {
		q.setTags(waiting)
	}
	slices.SortFunc(waiting, q.compare)
	return waiting
}

// compare orders requests by priority, then by start tag and objective, then by arrival.
func (q *Queue[C]) compare(a, b *Waiter[C]) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	if q.limits.IsShared {
		if order := cmp.Compare(a.tag, b.tag); order != 0 {
			return order
		}
		if order := a.Objective.Compare(b.Objective); order != 0 {
			return order
		}
	}
	return cmp.Or(a.arrival.Compare(b.arrival), cmp.Compare(a.number, b.number))
}

// setTags gives the requests of each priority and account their start tags, the earliest
// objective first.
func (q *Queue[C]) setTags(waiting []*Waiter[C]) {
	slices.SortFunc(waiting, func(a, b *Waiter[C]) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Account, b.Account),
			a.Objective.Compare(b.Objective), cmp.Compare(a.number, b.number))
	})
	var finish time.Duration
	for i, w := range waiting {
		if i == 0 || waiting[i-1].Priority != w.Priority || waiting[i-1].Account != w.Account {
			finish = q.class(w.Priority).finish[w.Account]
		}
		w.tag = max(w.floor, finish)
		finish = w.tag + q.costs.Of(w.Kind).Mean
	}
}

// class returns the sharing state of a priority.
func (q *Queue[C]) class(priority int) *class {
	c, ok := q.classes[priority]
	if !ok {
		c = newClass()
		q.classes[priority] = c
	}
	return c
}

// next returns the request that goes next: the first of the plan, but of each lowestEvery
// starts one of the least urgent priority that waits.
func (q *Queue[C]) next(planned []*Waiter[C]) *Waiter[C] {
	if q.startsWithoutLowest < lowestEvery-1 {
		return planned[0]
	}
	lowest := planned[0]
	for _, w := range planned {
		if w.Priority > lowest.Priority {
			lowest = w
		}
	}
	return lowest
}

// countStart counts the starts since the least urgent priority that waits had one.
func (q *Queue[C]) countStart(started *Waiter[C]) {
	for _, w := range q.waiting {
		if w.Priority > started.Priority {
			q.startsWithoutLowest++
			return
		}
	}
	q.startsWithoutLowest = 0
}
