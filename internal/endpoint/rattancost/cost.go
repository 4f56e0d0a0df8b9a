// Package rattancost learns what requests of a kind cost at one endpoint: how long they
// hold one of its slots. It answers the load in which an 11 ms write and a 55 ms lookup
// wait for the same slots. The package does no locking, input or output.
package rattancost

import (
	"math"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// assumedMean is the mean cost before the first sample of any kind.
	assumedMean = 15 * time.Millisecond
	// assumedDeviationShare is the assumed deviation before the second sample, as a
	// share of the mean.
	assumedDeviationShare = 0.5
	// smoothing is the weight of a new sample once a kind has many.
	smoothing = 0.1
	// maxSample limits one sample, so that a few requests without a response do not
	// make a queue refuse all others.
	maxSample = 600 * time.Millisecond
	// maxKinds bounds the kinds that are told apart; further ones count together.
	maxKinds = 256
)

// An estimate holds the moving mean and variance, in nanoseconds, of some samples.
type estimate struct {
	samples        int
	mean, variance float64
}

// add weighs the first samples equally, so that the assumed cost is forgotten at once.
func (e *estimate) add(sample time.Duration) {
	e.samples++
	weight := max(smoothing, 1/float64(e.samples))
	difference := float64(sample) - e.mean
	e.mean += weight * difference
	e.variance = (1 - weight) * (e.variance + weight*difference*difference)
}

func (e *estimate) cost() rattanwork.Cost {
	cost := rattanwork.Cost{Mean: time.Duration(e.mean), Deviation: time.Duration(math.Sqrt(e.variance))}
	if e.samples < 2 {
		cost.Deviation = time.Duration(assumedDeviationShare * e.mean)
	}
	return cost
}

// Costs are the learnt costs of one endpoint.
type Costs struct {
	all    estimate
	byKind map[rattanwork.Kind]*estimate
}

// New returns Costs without samples.
func New() *Costs { return &Costs{byKind: make(map[rattanwork.Kind]*estimate)} }

// Observe records that a request held a slot for a time.
func (c *Costs) Observe(kind rattanwork.Kind, held time.Duration) {
	held = min(max(held, 0), maxSample)
	c.all.add(held)
	e, ok := c.byKind[kind]
	if !ok {
		if len(c.byKind) >= maxKinds {
			return
		}
		e = &estimate{}
		c.byKind[kind] = e
	}
	e.add(held)
}

// Of returns the cost of a kind. Without a sample of the kind, it is the cost of all
// kinds together.
func (c *Costs) Of(kind rattanwork.Kind) rattanwork.Cost {
	if e, ok := c.byKind[kind]; ok {
		return e.cost()
	}
	return c.All()
}

// All returns the cost of a request of unknown kind.
func (c *Costs) All() rattanwork.Cost {
	if c.all.samples == 0 {
		return rattanwork.Cost{Mean: assumedMean, Deviation: time.Duration(assumedDeviationShare * float64(assumedMean))}
	}
	return c.all.cost()
}
