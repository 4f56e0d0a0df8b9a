package rattanoutlier

import (
	"math"
	"time"
)

const (
	// serviceSmoothing and failureSmoothing are the weights of a new answer in the mean
	// time of a read and in the share of failures.
	serviceSmoothing = 0.1
	failureSmoothing = 0.1
	// idleHalving is the time without an answer after which the mean time and the share
	// of failures are halved, so that an endpoint that gets little because it was slow or
	// failed is tried again.
	idleHalving = 4 * time.Second
	// maxHalvings limits the halvings.
	maxHalvings = 10
)

// Answers are the time and the failures of an endpoint's last answers. The zero value has
// seen none.
type Answers struct {
	service    time.Duration
	serviceAt  time.Time
	failures   float64
	failuresAt time.Time
}

// ObserveRead records the time of a read that was answered with success, or that was not
// answered for that time. Failures do not count: a fast one is no speed.
func (a *Answers) ObserveRead(took time.Duration, now time.Time) {
	if a.serviceAt.IsZero() {
		a.service, a.serviceAt = took, now
	}
	a.service = a.Service(now)
	a.service += time.Duration(serviceSmoothing * float64(took-a.service))
	a.serviceAt = now
}

// ObserveAnswer records whether the endpoint has failed.
func (a *Answers) ObserveAnswer(isFailure bool, now time.Time) {
	sample := 0.0
	if isFailure {
		sample = 1
	}
	a.failures = a.FailureShare(now)
	a.failures += failureSmoothing * (sample - a.failures)
	a.failuresAt = now
}

// Service returns the mean time of a read, zero before the first one.
func (a *Answers) Service(now time.Time) time.Duration {
	return a.service >> halvings(a.serviceAt, now)
}

// FailureShare returns the share of failures, from 0 to 1. It falls with the time since
// the last answer.
func (a *Answers) FailureShare(now time.Time) float64 {
	return a.failures * math.Exp2(-float64(max(now.Sub(a.failuresAt), 0))/float64(idleHalving))
}

// halvings returns how often the mean time is halved after the last read.
func halvings(at, now time.Time) uint {
	if at.IsZero() {
		return 0
	}
	return uint(min(max(now.Sub(at), 0)/idleHalving, maxHalvings))
}
