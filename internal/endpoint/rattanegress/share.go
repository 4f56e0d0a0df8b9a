package rattanegress

import (
	"math"
	"time"
)

const (
	// minMargin and marginDivisor give by how much the endpoints outside have to be
	// faster for the share to rise: by this time, and by this part of the time inside.
	// The share falls when they are no faster, and between the two it stays as it is.
	// Objectives are some hundreds of milliseconds: to gain less does not help a caller.
	minMargin     = 20 * time.Millisecond
	marginDivisor = 4
	// stepInterval separates two steps of a share: the load reports have to show the
	// effect of a step before the next one.
	stepInterval = 100 * time.Millisecond
	// maxStepTime is the time for which a step counts at most, when reads are rare.
	maxStepTime = 250 * time.Millisecond
	// changePerSecond is how much a share changes in a second at most.
	changePerSecond = 1.0
	// firstShare is the share with which a group begins to leave.
	firstShare = 0.05
	// minShare is the least share, below which nothing leaves.
	minShare = 0.01
	// turnPause is how long a share stays as it is before it changes the other way.
	turnPause = 500 * time.Millisecond
	// settledPart is the change of the gain between two steps, as a part of the completion
	// inside, from which on the gain counts as moving by itself: no step adds to it.
	settledPart = 0.05
	// smoothingTime is the time constant of the mean of the comparisons.
	smoothingTime = 350 * time.Millisecond
	// maxWeight is the weight of one comparison at most, when reads are rare.
	maxWeight = 0.5
	// maxSilence is how long a share stays as it is when no read is compared.
	maxSilence = 2 * time.Second
)

// A share is the part of a group's reads that may leave the failure domain. The zero
// share is 0.
type share struct {
	value float64
	// gain and local are means of how much earlier a read completes outside, and of its
	// completion inside, as of comparedAt.
	gain, local time.Duration
	comparedAt  time.Time
	// steppedAt is when the value was last checked; stepGain is the gain at that time.
	steppedAt time.Time
	stepGain  time.Duration
	// isRising is the direction of the last change, which was at changedAt.
	isRising  bool
	changedAt time.Time
}

// at returns the value at a time, without a further comparison.
func (s *share) at(now time.Time) float64 {
	silence := now.Sub(s.comparedAt) - maxSilence
	if s.value == 0 || silence <= 0 {
		return s.value
	}
	return math.Max(s.value-silence.Seconds()*changePerSecond, 0)
}

// update changes the value in steps after a comparison. Without a budget it does not
// rise.
func (s *share) update(comparison Comparison, mayRise bool, now time.Time) Reason {
	if !comparison.HasReport {
		return s.decay(now)
	}
	if silent := s.at(now); silent < s.value {
		s.value = silent
	}
	s.compare(comparison, now)
	if now.Sub(s.steppedAt) >= stepInterval {
		s.step(mayRise, now)
	}
	return s.reason()
}

// step moves the value by the gain, unless the gain already moves the same way by itself
// or the value has just changed the other way.
func (s *share) step(mayRise bool, now time.Time) {
	size := min(now.Sub(s.steppedAt), maxStepTime).Seconds() * changePerSecond
	growth := s.gain - s.stepGain
	s.steppedAt, s.stepGain = now, s.gain
	settled := time.Duration(settledPart * float64(s.local))
	margin := margin(s.local)
	switch {
	case s.gain > margin && mayRise && growth >= -settled && s.mayTurn(true, now):
		strength := min(float64(s.gain-margin)/float64(margin), 1)
		s.rise(size*strength, now)
	case s.gain <= 0 && growth <= settled && s.mayTurn(false, now):
		s.change(s.value-size, false, now)
	}
}

func (s *share) rise(size float64, now time.Time) {
	if s.value == 0 {
		s.change(firstShare, true, now)
		return
	}
	s.change(s.value+size, true, now)
}

// margin returns by how much the endpoints outside have to be faster than a completion
// inside.
func margin(local time.Duration) time.Duration { return max(local/marginDivisor, minMargin) }

// compare adds a comparison to the means.
func (s *share) compare(comparison Comparison, now time.Time) {
	weight := 1.0
	if elapsed := now.Sub(s.comparedAt); elapsed < maxSilence {
		weight = min(1-math.Exp(-elapsed.Seconds()/smoothingTime.Seconds()), maxWeight)
	}
	gain := comparison.Local - comparison.Remote
	s.gain += time.Duration(weight * float64(gain-s.gain))
	s.local += time.Duration(weight * float64(comparison.Local-s.local))
	s.comparedAt = now
}

// decay lowers the value while no recent report is known.
func (s *share) decay(now time.Time) Reason {
	if elapsed := now.Sub(s.steppedAt); elapsed >= stepInterval {
		s.steppedAt, s.stepGain = now, 0
		s.change(s.value-elapsed.Seconds()*changePerSecond, false, now)
	}
	s.gain, s.local, s.comparedAt = 0, 0, now
	return NoReport
}

// mayTurn reports whether the value may change in a direction now.
func (s *share) mayTurn(isRising bool, now time.Time) bool {
	return s.value == 0 || s.isRising == isRising || now.Sub(s.changedAt) >= turnPause
}

func (s *share) change(value float64, isRising bool, now time.Time) {
	value = min(value, 1)
	if value < minShare {
		value = 0
	}
	if value == s.value {
		return
	}
	s.value, s.isRising, s.changedAt = value, isRising, now
}

func (s *share) reason() Reason {
	if s.isRising {
		return FasterOutside
	}
	return EnoughInside
}
