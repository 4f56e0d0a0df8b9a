package rattanoutlier

import (
	"testing"
	"time"
)

// TestAnswers guards against fast failures that look like speed, single failures that
// look like a fault, and endpoints that are never tried again.
func TestAnswers(t *testing.T) {
	observed := func(count int, isFailure bool) *Answers {
		a := &Answers{}
		for i := range count {
			now := at(time.Duration(i) * 10 * ms)
			a.ObserveAnswer(isFailure, now)
			if !isFailure {
				a.ObserveRead(40*ms, now)
			}
		}
		return a
	}
	t.Run("failures have no time", func(t *testing.T) {
		if service := observed(50, true).Service(at(500 * ms)); service != 0 {
			t.Errorf("service time %s of failures alone", service)
		}
	})
	t.Run("one failure is below the share of a failing endpoint", func(t *testing.T) {
		if share := observed(1, true).FailureShare(at(0)); share <= 0 || share >= minFailures {
			t.Errorf("share %.2f after one failure, want one below %.2f", share, minFailures)
		}
	})
	t.Run("failures in a row are above it", func(t *testing.T) {
		if share := observed(3, true).FailureShare(at(30 * ms)); share < minFailures {
			t.Errorf("share %.2f after three failures, want %.2f or more", share, minFailures)
		}
	})
	t.Run("without answers both fall", func(t *testing.T) {
		a := observed(20, false)
		a.ObserveAnswer(true, at(200*ms))
		share := a.FailureShare(at(200 * ms))
		later := at(200*ms + idleHalving)
		if got := a.Service(later); got != 20*ms {
			t.Errorf("service time %s, want half of 40ms", got)
		}
		if got := a.FailureShare(later); got > 0.51*share {
			t.Errorf("share %.3f, want half of %.3f", got, share)
		}
	})
}
