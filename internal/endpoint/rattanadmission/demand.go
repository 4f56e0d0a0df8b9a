package rattanadmission

import (
	"math"
	"time"
)

// demandMemory is the time over which the work of each priority is averaged: long enough
// for a mean of a few requests a second, short enough to follow a burst.
const demandMemory = time.Second

// minDemand is the number of slots below which an account counts as one without demand.
const minDemand = 0.001

// A demand is the work that arrives at one priority: slot time for each unit of time.
type demand struct {
	work  float64
	since time.Time
}

// add records the cost of a request that gets a slot or waits for one, and takes it back,
// with a negative cost, when the request is refused after all.
func (d *demand) add(cost time.Duration, now time.Time) {
	d.work = max(d.rate(now)+float64(cost)/float64(demandMemory), 0)
	d.since = now
}

// rate returns how many slots the work keeps busy.
func (d *demand) rate(now time.Time) float64 {
	if d.work == 0 {
		return 0
	}
	return d.work * math.Exp(-float64(max(now.Sub(d.since), 0))/float64(demandMemory))
}
